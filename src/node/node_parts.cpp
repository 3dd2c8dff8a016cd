#include "node_parts.h"

#include "core/text.h"

namespace hornbeampick
{

std::string withPort(std::string_view address, std::uint16_t port)
{
    return parseEndpoint(address).ip + ":" + std::to_string(port);
}

tls_files nodeTls()
{
    return {.certificate = {}, .key = {}, .authority = {}, .plainText = true};
}

metrics_page::metrics_page(metrics &counters, std::function<void()> refresh)
    : m_counters(counters)
    , m_refresh(std::move(refresh))
{
}

boost::asio::awaitable<http_response> metrics_page::handle(http_request)
{
    m_refresh();
    co_return http_response {.status = 200, .headers = {}, .body = m_counters.text(), .contentType = "text/plain; version=0.0.4"};
}

bool metrics_page::mayAbandon(const http_request &) const
{
    return false;
}

http_response metrics_page::refuse(errc error) const
{
    return {.status = 400, .headers = {}, .body = std::string(errorCode(error)), .contentType = "text/plain"};
}

result<std::unique_ptr<http_server>> serveAt(const std::string &address, boost::asio::io_context &context, http_handler &handler, std::size_t bodyBytes)
{
    if (address.empty()) {
        return std::unique_ptr<http_server>();
    }
    const auto [ip, port] = parseEndpoint(address);
    return makeHttpServer({.address = ip, .port = port, .bodyBytes = bodyBytes}, context, handler);
}

} // namespace hornbeampick
