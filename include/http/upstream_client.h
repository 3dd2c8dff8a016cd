#pragma once

#include "core/clock.h"
#include "rpc/peer_types.h"

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

namespace hornbeampick
{

/// How an attempt at an upstream ended.
enum class attempt_end {
    answered,
    // The upstream said that it did not run the request.
    shed,
    // No connection: no byte of the request left.
    refused,
    // The connection broke after bytes had left.
    broke,
    timedOut,
};

struct attempt_result {
    attempt_end end = attempt_end::refused;
    std::uint32_t status = 0;
    http_headers headers;
    std::string body;
};

/// Sends one request to one upstream. Cancelling the coroutine closes the connection.
class upstream_client
{
public:
    virtual ~upstream_client() = default;
    /// `address` is "ip:port". Waits no longer than the request's deadline.
    virtual boost::asio::awaitable<attempt_result> send(const std::string &address, const carried_request &request) = 0;
    /// True when nothing listens at `address` any more.
    virtual boost::asio::awaitable<bool> isGone(const std::string &address) = 0;
};

struct upstream_client_options {
    // Idle connections kept to one upstream.
    std::size_t idleAnUpstream = 32;
    // An upstream may close sooner; a connection found closed is not used.
    milliseconds idle {5000};
    milliseconds connectTime {500};
    std::size_t answerBytes = 8U << 20U;
};

std::unique_ptr<upstream_client> makeUpstreamClient(const upstream_client_options &options);

} // namespace hornbeampick
