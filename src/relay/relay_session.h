#pragma once

#include "active_requests.h"
#include "http/intake_meter.h"
#include "relay/relay_server.h"
#include "request_context.h"
#include "upstream_attempt.h"
#include "upstream_connection.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// State of a relay that its sessions share.
struct relay_state {
    // Null until the drain begins.
    published<drain_schedule> drain;
    // New requests are refused.
    std::atomic<bool> refusing {false};
    std::atomic<std::size_t> connections {0};
    std::atomic<std::size_t> active {0};
};

/// Who opened the connection of a session.
enum class session_origin {
    caller,
    // Another entry host, which passes on requests because it reaches no upstream itself.
    entryHost,
};

/// A response that the relay itself generates.
struct local_response {
    unsigned status = 503;
    errc error = errc::overloaded;
    // Sent only with responses that state that the request was not executed.
    milliseconds retryAfter {0};
    // The dispatcher's refusal, with the load it was based on; empty when the dispatcher did not refuse.
    std::optional<dispatch_refusal> refusal;
};

/// Serves one caller connection, one request after another. Single-threaded.
class relay_session final : public std::enable_shared_from_this<relay_session>, public intake_connection
{
public:
    /// `pool` and `requests` belong to the thread of the socket's executor. All references must outlive the session.
    relay_session(boost::asio::ip::tcp::socket socket, const relay_parts &parts, relay_state &state, upstream_connection_pool &pool, active_requests &requests,
                  session_origin origin);

    /// Opens the account of the connection. Returns false when there is no room. Must not be called once `run` was.
    [[nodiscard]] bool openAccount(intake_budget &budget);
    boost::asio::awaitable<void> run();
    void requestClose() override;

private:
    // Reads and serves one request. Here and below, true means that the connection stays open.
    boost::asio::awaitable<bool> serveRequest();
    boost::asio::awaitable<bool> processRequest(request_context &context);
    boost::asio::awaitable<bool> serveAdmitted(request_context &context);
    boost::asio::awaitable<bool> bufferBody(request_context &context);
    boost::asio::awaitable<bool> tryUpstreams(request_context &context);
    boost::asio::awaitable<bool> tryPeers(request_context &context, attempt_outcome outcome);
    // Returns the response with which the request is refused when its organisation's quota is used up.
    boost::asio::awaitable<std::optional<local_response>> takeFromQuota(request_context &context);
    [[nodiscard]] local_response matchRoute(request_context &context) const;
    [[nodiscard]] errc checkAttempt(request_context &context, steady_time now) const;
    [[nodiscard]] dispatch_result chooseUpstream(const request_context &context, steady_time now);
    [[nodiscard]] bool mayRetry(const request_context &context, const attempt_outcome &outcome);
    void logRestricted(std::string_view event, const request_context &context, const region_name &region, std::string_view address) const;
    void logFailure(const request_context &context, const dispatch_grant &grant, const attempt_outcome &outcome) const;
    void reportDeath(const request_context &context, const dispatch_grant &grant);

    boost::asio::awaitable<bool> sendResponse(request_context &context, attempt_outcome &outcome, upstream_attempt &attempt);
    boost::asio::awaitable<bool> streamResponse(request_context &context, upstream_response &response, const dispatch_grant &grant, upstream_attempt &attempt);
    boost::asio::awaitable<bool> sendLocalResponse(const request_context *context, const local_response &response);
    boost::asio::awaitable<bool> write(std::string_view head, std::string_view body);
    boost::asio::awaitable<bool> writeUntil(steady_time deadline, std::string_view head, std::string_view body);
    boost::asio::awaitable<void> drainInput();

    void watchForCallerClose();
    void onCallerReadable();
    // Returns what was received of the next request.
    [[nodiscard]] std::string_view receivedBytes() const;
    [[nodiscard]] bool isKeepAlive(const request_context &context) const;
    [[nodiscard]] caller_limits limits() const;

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    relay_parts m_parts;
    relay_state &m_state;
    upstream_connection_pool &m_pool;
    active_requests &m_requests;
    session_origin m_origin;
    intake_meter m_meter;
    // The attempt in progress that is cancelled when the caller disconnects; null when there is none.
    upstream_attempt *m_cancellableAttempt = nullptr;
    // Bytes written to the caller.
    std::size_t m_bytesWritten = 0;
    bool m_watchingCaller = false;
    bool m_callerLeft = false;
    bool m_lingerOnClose = false;
};

} // namespace hornbeampick
