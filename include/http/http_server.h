#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "rpc/peer_types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace hornbeampick
{

/// One request as the HTTP front end read it.
struct http_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;
    // Address of the caller, host byte order.
    std::uint32_t callerAddress = 0;

    /// The first value of a header, by name in any case; empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// True when more than one header has the name.
    [[nodiscard]] bool repeats(std::string_view name) const;
};

struct http_response {
    std::uint32_t status = 200;
    http_headers headers;
    std::string body;
    std::string contentType = "application/json";
};

/// What the front end does with a request. Called from any of the server's threads.
class http_handler
{
public:
    virtual ~http_handler() = default;
    virtual boost::asio::awaitable<http_response> handle(http_request request) = 0;
    /// True when the request may be given up once its caller has left.
    [[nodiscard]] virtual bool mayAbandon(const http_request &request) const = 0;
    /// The answer to input that is no request: the code names what is wrong.
    [[nodiscard]] virtual http_response refuse(errc error) const = 0;
};

struct http_server_options {
    std::string address;
    std::uint16_t port = 0;
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 1048576;
    std::size_t connections = 4096;
    milliseconds idle {30000};
    milliseconds headerTime {5000};
};

/// Serves HTTP/1.1 until stopped. Slow, oversized and malformed input gets a 4xx and a closed connection.
class http_server
{
public:
    virtual ~http_server() = default;
    [[nodiscard]] virtual std::uint16_t port() const = 0;
    [[nodiscard]] virtual std::size_t openConnections() const = 0;
    /// Requests being handled now.
    [[nodiscard]] virtual std::size_t activeRequests() const = 0;
    /// Takes no further connection; open ones end after their current request.
    virtual void drain() = 0;
};

/// `handler` and `context` must outlive the server. Errors: ioFailed when the port is taken.
result<std::unique_ptr<http_server>> makeHttpServer(const http_server_options &options, boost::asio::io_context &context, http_handler &handler);

} // namespace hornbeampick
