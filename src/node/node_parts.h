#pragma once

#include "core/error.h"
#include "http/http_server.h"
#include "observe/metrics.h"
#include "rpc/peer_client.h"

#include "settings.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// The address of the same service on the host of `address`: ports are the same on all hosts.
std::string withPort(std::string_view address, std::uint16_t port);

/// Plain text between the processes of a node's deployment.
tls_files nodeTls();

/// Serves Prometheus text at any path.
class metrics_page final : public http_handler
{
public:
    /// `refresh` is called before each text is made.
    metrics_page(metrics &counters, std::function<void()> refresh);

    boost::asio::awaitable<http_response> handle(http_request request) override;
    [[nodiscard]] bool mayAbandon(const http_request &request) const override;
    [[nodiscard]] http_response refuse(errc error) const override;

private:
    metrics &m_counters;
    std::function<void()> m_refresh;
};

/// An HTTP server at "ip:port"; null when `address` is empty. Errors: ioFailed.
result<std::unique_ptr<http_server>> serveAt(const std::string &address, boost::asio::io_context &context, http_handler &handler, std::size_t bodyBytes);

} // namespace hornbeampick
