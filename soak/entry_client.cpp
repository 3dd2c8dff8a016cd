#include "entry_client.h"

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

// Time after a request's deadline at which the client stops waiting. Far beyond the bound that answers-in-time checks.
constexpr milliseconds answerGrace {5000};
constexpr milliseconds connectTimeout {1000};

} // namespace

entry_client::entry_client(std::string address)
    : m_address(std::move(address))
{
}

bool entry_client::connect()
{
    const auto [ip, port] = parseEndpoint(m_address);
    m_stream.emplace(m_context);
    m_buffer.clear();
    bool connected = false;
    m_stream->expires_after(connectTimeout);
    m_stream->async_connect(asio::ip::tcp::endpoint(asio::ip::make_address(ip), port),
                            [&](const beast::error_code &connectError) { connected = !connectError; });
    run();
    if (!connected) {
        m_stream.reset();
    }
    return connected;
}

void entry_client::run()
{
    m_context.restart();
    m_context.run();
}

client_answer entry_client::send(const std::string &target, const std::string &id, milliseconds deadline)
{
    const bool onKeptConnection = m_stream.has_value();
    if (!onKeptConnection && !connect()) {
        return {};
    }
    auto answer = exchange(target, id, deadline);
    answer.onKeptConnection = onKeptConnection;
    return answer;
}

client_answer entry_client::exchange(const std::string &target, const std::string &id, milliseconds deadline)
{
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, "x");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", std::to_string(deadline.count()));
    http::response<http::string_body> response;
    auto end = request_end::notSent;
    m_stream->expires_after(deadline + answerGrace);
    http::async_write(*m_stream, request, [&](const beast::error_code &writeError, std::size_t) {
        if (writeError) {
            return;
        }
        http::async_read(*m_stream, m_buffer, response, [&](const beast::error_code &readError, std::size_t) {
            end = !readError ? request_end::answered : readError == beast::error::timeout ? request_end::timedOut : request_end::closed;
        });
    });
    run();
    const bool answered = end == request_end::answered;
    if (!answered || !response.keep_alive()) {
        m_stream.reset();
    }
    if (!answered) {
        return {.end = end};
    }
    return {.status = response.result_int(), .body = response.body(), .end = end};
}

} // namespace hornbeampick::soak
