#pragma once

#include "http/intake_meter.h"
#include "relay/relay_server.h"
#include "request_context.h"
#include "upstream_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <memory>
#include <optional>
#include <string>

namespace hornbeampick
{

/// An upstream's response, either complete or with the rest of its body still to be read.
struct upstream_response {
    using parser_type = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    std::unique_ptr<parser_type> parser;
    // The body, or only its beginning while the parser is not done.
    std::string body;
    // Set while part of the body remains to be read.
    std::unique_ptr<upstream_connection> connection;

    [[nodiscard]] bool isComplete() const
    {
        return parser->is_done();
    }
    [[nodiscard]] unsigned status() const
    {
        return parser->get().result_int();
    }
};

/// Result of one attempt.
struct attempt_outcome {
    dispatch_outcome end = dispatch_outcome::abandoned;
    // The upstream or entry host that was tried.
    dispatch_grant grant;
    // Bytes of the request may have reached the upstream, and it did not state that it has not executed the request.
    bool mayHaveRun = false;
    // Before any of the request was sent, the time in which it could start ended, or its allowed regions changed.
    bool isTooLate = false;
    // The upstream's address refuses connections: the upstream died during the attempt.
    bool upstreamDied = false;
    std::optional<load_report> load;
    std::optional<milliseconds> warmupRemaining;
    // Time for which the upstream wants no requests.
    std::optional<milliseconds> retryAfter;
    // Set only when `end` is `answered` or `failed`.
    std::optional<upstream_response> response;
    // Number of upstreams to which another entry host sent the request before it gave up.
    std::uint32_t attemptsByPeer = 0;
    // The caller's body was truncated, or exceeded its limit, while it was streamed.
    errc callerError = errc::ok;
};

/// Returns false when the request is restricted to regions and the routes of this host may be outdated.
[[nodiscard]] bool mayHandleRestricted(const relay_parts &parts, const request_context &context);

/// Sends one request to one upstream and reads the response. Single-threaded; the attempts of one request use it one after another.
class upstream_attempt
{
public:
    /// All references must outlive the attempt. The rest of a long request body is read from `callerStream` and `callerBuffer`.
    upstream_attempt(const relay_parts &parts, upstream_connection_pool &pool, const published<drain_schedule> &drain, boost::beast::tcp_stream &callerStream,
                     boost::beast::flat_buffer &callerBuffer, intake_meter &callerMeter);

    /// Sends the request to the upstream of `grant` and reads the response, the body only up to `maxBufferedBodyBytes`.
    boost::asio::awaitable<attempt_outcome> run(request_context &context, const dispatch_grant &grant);
    /// Sends the request to the entry host at the address of `grant`, which sends it to an upstream. The response is that of the
    /// upstream, or the entry host's own: `shed` when it states that the request was not executed.
    boost::asio::awaitable<attempt_outcome> runThroughPeer(request_context &context, const dispatch_grant &grant);
    /// Cancels the attempt. Its connection to the upstream is closed, and the upstream then drops the request.
    void cancel();
    /// Returns the connection to the pool, if it can be reused, after the last byte of a response.
    void releaseConnection(std::unique_ptr<upstream_connection> connection, const upstream_response::parser_type &parser, const dispatch_grant &grant);

private:
    boost::asio::awaitable<attempt_outcome> exchange(request_context &context, const dispatch_grant &grant);
    boost::asio::awaitable<bool> connect(request_context &context, const dispatch_grant &grant);
    boost::asio::awaitable<bool> sendRequest(request_context &context, const dispatch_grant &grant, attempt_outcome &outcome);
    boost::asio::awaitable<bool> streamBody(request_context &context, attempt_outcome &outcome);
    boost::asio::awaitable<bool> resumeBody(request_context &context, attempt_outcome &outcome);
    // Called when part of the body could not be written. The upstream may have responded before it closed the connection.
    void onBodyWriteFailed(const boost::system::error_code &failed);
    boost::asio::awaitable<void> readResponse(request_context &context, const dispatch_grant &grant, attempt_outcome &outcome);
    // Passes what the upstream states of itself in a response on to the dispatcher.
    void recordUpstreamState(const request_context &context, const dispatch_grant &grant, const upstream_response &response, const response_metadata &metadata,
                             attempt_outcome &outcome);
    // With `isLimited`, stops early when callers hold all the memory that they may; the rest is then streamed.
    boost::asio::awaitable<bool> bufferBody(upstream_response &response, steady_time deadline, bool isLimited);
    boost::asio::awaitable<bool> refusesConnections(const std::string &address);
    boost::asio::awaitable<bool> reachesAnotherThan(const std::string &address);
    [[nodiscard]] dispatch_outcome endOf(const boost::system::error_code &error) const;

    relay_parts m_parts;
    upstream_connection_pool &m_pool;
    const published<drain_schedule> &m_drain;
    boost::beast::tcp_stream &m_callerStream;
    boost::beast::flat_buffer &m_callerBuffer;
    intake_meter &m_callerMeter;
    std::unique_ptr<upstream_connection> m_connection;
    bool m_cancelled = false;
    bool m_throughPeer = false;
    // The connection must not be used for another request.
    bool m_notReusable = false;
};

} // namespace hornbeampick
