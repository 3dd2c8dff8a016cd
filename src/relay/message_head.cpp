#include "message_head.h"

#include "core/text.h"
#include "peer_fields.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cstdio>
#include <vector>

namespace hornbeampick
{

namespace
{

namespace http = boost::beast::http;

constexpr std::array hopByHopFields {
    http::field::connection, http::field::keep_alive, http::field::proxy_connection,  http::field::te,
    http::field::trailer,    http::field::upgrade,    http::field::transfer_encoding, http::field::content_length,
};

// Returns the field names listed in the Connection header, which apply to this connection only.
std::vector<std::string> connectionOptions(const http::fields &fields)
{
    std::vector<std::string> names;
    for (const auto &token : http::token_list(fields[http::field::connection])) {
        if (!equalIgnoringCase(token, "close") && !equalIgnoringCase(token, "keep-alive")) {
            names.emplace_back(token);
        }
    }
    return names;
}

template <typename Skip> void appendEndToEndFields(const http::fields &fields, std::string &head, const Skip &skip)
{
    const auto options = connectionOptions(fields);
    for (const auto &field : fields) {
        const std::string_view name = field.name_string();
        const bool isHopByHop = std::ranges::find(hopByHopFields, field.name()) != hopByHopFields.end()
            || std::ranges::any_of(options, [&](const std::string &each) { return equalIgnoringCase(each, name); });
        if (isHopByHop || skip(field.name(), name)) {
            continue;
        }
        head.append(name).append(": ").append(std::string_view(field.value())).append("\r\n");
    }
}

void appendFraming(const body_framing &framing, std::string &head)
{
    if (framing.chunked) {
        head += "Transfer-Encoding: chunked\r\n";
    } else if (framing.length) {
        head += "Content-Length: " + std::to_string(*framing.length) + "\r\n";
    }
}

} // namespace

std::string makeUpstreamRequestHead(const http::request_header<> &request, const body_framing &framing, const header_codec &headerCodec,
                                    const upstream_metadata &metadata, bool hidesCaller, std::string_view moreFields)
{
    std::string head;
    head.append(request.method_string()).append(" ").append(request.target()).append(" HTTP/1.1\r\n");
    appendEndToEndFields(request, head, [&](http::field field, std::string_view name) {
        return field == http::field::expect || headerCodec.replaces(name) || isPeerField(name) || (hidesCaller && headerCodec.identifiesCaller(name));
    });
    headerCodec.encodeForUpstream(metadata, head);
    head += moreFields;
    appendFraming(framing, head);
    head += "\r\n";
    return head;
}

std::string makeCallerResponseHead(const http::response_header<> &response, const body_framing &framing, bool keepAlive)
{
    std::string head = "HTTP/1.1 " + std::to_string(response.result_int()) + " ";
    head.append(response.reason()).append("\r\n");
    appendEndToEndFields(response, head, [](http::field, std::string_view) { return false; });
    appendFraming(framing, head);
    if (!keepAlive) {
        head += "Connection: close\r\n";
    }
    head += "\r\n";
    return head;
}

std::string encodeChunk(std::string_view payload)
{
    std::array<char, 24> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", payload.size());
    return std::string(size.data()).append(payload).append("\r\n");
}

std::optional<seconds> keepAliveTimeout(std::string_view field)
{
    for (const auto &parameter : http::param_list(";" + std::string(field))) {
        if (!equalIgnoringCase(parameter.first, "timeout")) {
            continue;
        }
        const std::string_view digits = parameter.second;
        std::int64_t value = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), value);
        if (parsed.ec == std::errc() && value >= 0) {
            return seconds(value);
        }
    }
    return std::nullopt;
}

} // namespace hornbeampick
