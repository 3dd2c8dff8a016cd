#include "caller.h"

#include "core/text.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http.hpp>

namespace hornbeampick::soak
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// An answer that does not come this long after its deadline is given up; the promise on times has then long been broken.
constexpr milliseconds giveUpAfter {5000};
constexpr milliseconds connectLimit {1000};

} // namespace

caller::caller(std::string address)
    : m_address(std::move(address))
{
}

bool caller::connect()
{
    const auto [ip, port] = parseEndpoint(m_address);
    m_stream.emplace(m_context);
    m_buffer.clear();
    bool connected = false;
    m_stream->expires_after(connectLimit);
    m_stream->async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(ip), port), [&](const beast::error_code &failed) { connected = !failed; });
    run();
    if (!connected) {
        m_stream.reset();
    }
    return connected;
}

void caller::run()
{
    m_context.restart();
    m_context.run();
}

caller_answer caller::ask(const std::string &target, const std::string &id, milliseconds deadline)
{
    if (!m_stream && !connect()) {
        return {};
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, "x");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", std::to_string(deadline.count()));
    http::response<http::string_body> response;
    bool whole = false;
    m_stream->expires_after(deadline + giveUpAfter);
    http::async_write(*m_stream, request, [&](const beast::error_code &unsent, std::size_t) {
        if (unsent) {
            return;
        }
        http::async_read(*m_stream, m_buffer, response, [&](const beast::error_code &unread, std::size_t) { whole = !unread; });
    });
    run();
    if (!whole || !response.keep_alive()) {
        m_stream.reset();
    }
    if (!whole) {
        return {};
    }
    return {.status = response.result_int(), .body = response.body()};
}

} // namespace hornbeampick::soak
