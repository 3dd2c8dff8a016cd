#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "limits/intake_budget.h"
#include "rpc/peer_types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace hornbeampick
{

/// A parsed HTTP request.
struct http_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    /// IPv4 address of the caller in host byte order; 0 when it is unknown.
    std::uint32_t callerAddress = 0;

    /// Returns the value of the first header with this name, ignoring case; empty when there is none.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// Returns true when more than one header has this name, ignoring case.
    [[nodiscard]] bool hasDuplicate(std::string_view name) const;
};

/// An HTTP response. `contentType` applies unless `headers` has a Content-Type.
struct http_response {
    std::uint32_t status = 200;
    http_headers headers;
    std::string body;
    std::string contentType = "application/json";
};

/// Handles the requests of an HTTP server. Called from any of the server's threads.
class http_handler
{
public:
    virtual ~http_handler() = default;
    /// Produces the response to a request.
    virtual boost::asio::awaitable<http_response> handle(http_request request) = 0;
    /// Returns true when the request may be abandoned once its caller has disconnected.
    [[nodiscard]] virtual bool mayAbandon(const http_request &request) const = 0;
    /// Returns true when requests with this method and target need their body. Long bodies of others are not read; `handle` gets the
    /// request without its body, and the connection is closed after the response.
    [[nodiscard]] virtual bool needsBody(std::string_view method, std::string_view target) const;
    /// Returns the response to input that is not a valid request or, with `stopping`, to a request that arrives while the server drains.
    [[nodiscard]] virtual http_response makeErrorResponse(errc error) const = 0;
};

/// Address and limits of an HTTP server.
struct http_server_options {
    std::string address;
    std::uint16_t port = 0;
    /// Maximum size of the header section.
    std::size_t headerBytes = 16384;
    /// Maximum size of a request body.
    std::size_t bodyBytes = 1048576;
    /// Maximum number of open connections; further ones are closed at once.
    std::size_t connections = 4096;
    /// Timeout for the first byte of the next request, and for writing a response.
    milliseconds idleTimeout {30000};
    /// Timeout from the first byte of a request until its header and body have arrived.
    milliseconds headerTimeout {5000};
    /// Limits what callers hold; null for no limit. Must outlive the server's threads.
    intake_budget *intake = nullptr;
};

/// An HTTP/1.1 server. Slow, oversized and malformed requests get a 4xx response, and their connection is closed.
class http_server
{
public:
    virtual ~http_server() = default;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    [[nodiscard]] virtual std::size_t openConnections() const = 0;
    /// Returns the number of requests that are being handled.
    [[nodiscard]] virtual std::size_t activeRequests() const = 0;
    /// Stops accepting connections; open ones are closed after their current request, and further requests on them are refused.
    virtual void drain() = 0;
};

/// Starts an HTTP server on the threads of `context`. `handler` and `context` must outlive the server. Errors: ioFailed when the
/// port cannot be bound.
result<std::unique_ptr<http_server>> makeHttpServer(const http_server_options &options, boost::asio::io_context &context, http_handler &handler);

} // namespace hornbeampick
