#pragma once

#include "core/clock.h"
#include "rpc/peer_types.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace hornbeampick
{

/// How an attempt at an upstream ended.
enum class attempt_status {
    answered,
    /// The upstream rejected the request and stated that it did not run it.
    shed,
    /// No connection could be made: no byte of the request was sent.
    refused,
    /// The connection failed after bytes of the request may have been sent.
    broke,
    timedOut,
};

/// The outcome of an attempt; status, headers and body are set when the upstream answered or shed the request.
struct attempt_result {
    attempt_status end = attempt_status::refused;
    std::uint32_t status = 0;
    http_headers headers;
    std::string body;
};

/// HTTP client for requests to upstreams. Cancelling a coroutine closes its connection.
class upstream_client
{
public:
    virtual ~upstream_client() = default;
    /// Sends a request to the upstream at "ip:port" and waits for the response, at most until the request's deadline.
    virtual boost::asio::awaitable<attempt_result> send(const std::string &address, const proxied_request &request) = 0;
    /// Returns true when connections to `address` are refused, that is, no process listens there, or when it is malformed.
    virtual boost::asio::awaitable<bool> refusesConnections(const std::string &address) = 0;
};

/// Limits of an upstream client.
struct upstream_client_options {
    /// Maximum number of pooled idle connections per upstream.
    std::size_t maxIdlePerUpstream = 32;
    /// Idle connections are not reused after this time. The upstream may close them earlier; a closed connection is detected and
    /// not used.
    milliseconds idleTimeout {5000};
    milliseconds connectTimeout {500};
    /// Maximum size of a response body.
    std::size_t maxResponseBytes = 8U << 20U;
};

/// Creates an upstream client that pools its connections.
std::unique_ptr<upstream_client> makeUpstreamClient(const upstream_client_options &options);

} // namespace hornbeampick
