#pragma once

#include "caller_call.h"
#include "relay/relay_server.h"
#include "upstream_attempt.h"
#include "upstream_link.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <string>

namespace hornbeampick
{

/// Counters of a relay, shared by its sessions.
struct relay_state {
    std::atomic<bool> draining {false};
    // Requests are no longer taken.
    std::atomic<bool> closed {false};
    std::atomic<std::size_t> connections {0};
    std::atomic<std::size_t> active {0};
};

/// An answer that the relay itself gives.
struct own_answer {
    unsigned status = 503;
    errc error = errc::overloaded;
    // Given with answers that say the request has not run.
    milliseconds retryAfter {0};
    // What the choice of an upstream saw; empty when none was tried.
    std::optional<dispatch_refusal> decidedBy;
};

/// One connection of a caller, one request after the other. Single-threaded.
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(boost::asio::ip::tcp::socket socket, const relay_parts &parts, relay_state &state, upstream_links &links);

    boost::asio::awaitable<void> run();

private:
    // Returns true when the connection stays open.
    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<bool> carry(caller_call &call);
    boost::asio::awaitable<bool> readHeldBody(caller_call &call);
    boost::asio::awaitable<bool> tryUpstreams(caller_call &call);
    [[nodiscard]] own_answer prepare(caller_call &call) const;
    [[nodiscard]] dispatch_verdict choose(const caller_call &call, steady_time now);
    [[nodiscard]] bool mayTryAgain(const caller_call &call, const attempt_outcome &outcome);
    void noteFailure(const caller_call &call, const dispatch_grant &grant, const attempt_outcome &outcome) const;
    void noteDeath(const caller_call &call, const dispatch_grant &grant);

    boost::asio::awaitable<bool> deliver(caller_call &call, attempt_outcome &outcome, const dispatch_grant &grant, upstream_attempt &attempt);
    boost::asio::awaitable<bool> deliverLong(caller_call &call, upstream_answer &answer, const dispatch_grant &grant, upstream_attempt &attempt);
    boost::asio::awaitable<bool> refuse(const caller_call *call, const own_answer &answer);
    boost::asio::awaitable<bool> write(std::string_view head, std::string_view body);
    boost::asio::awaitable<void> linger();

    void watchCaller();
    void onCallerReadable();
    [[nodiscard]] bool staysOpen(const caller_call &call) const;
    [[nodiscard]] caller_limits limits() const;

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    relay_parts m_parts;
    relay_state &m_state;
    upstream_links &m_links;
    // The attempt under way that ends when the caller leaves; null when there is none.
    upstream_attempt *m_abandonable = nullptr;
    bool m_watching = false;
    bool m_callerLeft = false;
    bool m_lingers = false;
};

} // namespace hornbeampick
