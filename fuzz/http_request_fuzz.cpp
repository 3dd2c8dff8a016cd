// Fuzzes the HTTP front end's handling of untrusted bytes: the request parser with its limits, and the announcement, epoch and IPv4 parsers.

#include "announcement.h"
#include "claims/claim_types.h"
#include "rules/block_table.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    namespace http = boost::beast::http;
    using namespace hornbeampick;
    http::request_parser<http::string_body> parser;
    constexpr std::uint32_t headerBytes = 2048;
    constexpr std::uint64_t bodyBytes = 4096;
    parser.header_limit(headerBytes);
    parser.body_limit(bodyBytes);
    parser.eager(true);
    boost::beast::error_code error;
    parser.put(boost::asio::buffer(data, size), error);
    if (!error && parser.is_done()) {
        if (parser.get().body().size() > bodyBytes) {
            std::abort();
        }
        const auto report = readAnnouncement(parser.get().body());
        if (report && (report->service.empty() || report->instance.empty())) {
            std::abort();
        }
    }
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    (void)readAnnouncement(text);
    if (const auto epoch = epoch_id::parse(text); epoch && epoch_id::parse(epoch->text()) != epoch) {
        std::abort();
    }
    (void)parseIpv4(text);
    return 0;
}
