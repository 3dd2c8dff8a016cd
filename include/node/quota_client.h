#pragma once

#include "core/clock.h"
#include "fleet/entry_host.h"
#include "limits/quota_account.h"
#include "rpc/control_client.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace hornbeampick
{

/// Dependencies of a quota client. All must outlive it.
struct quota_client_parts {
    control_client &peers;
    quota_account &account;
    clock_source &clock;
};

struct quota_client_options {
    host_name host;
    std::uint64_t incarnation = 0;
    /// Time between two draws while organisations have demand, for fleets of up to `smallFleet` hosts. Larger fleets draw more rarely, so that
    /// the grantor's load does not grow with them.
    milliseconds interval {200};
    std::uint32_t smallFleet = 100;
    /// Shortest time between two draws when tokens run short.
    milliseconds urgentInterval {30};
    milliseconds timeout {500};
};

/// Draws tokens from the grantor that control hosts name, one draw at a time. Runs on the only thread of its io_context.
class quota_client
{
public:
    quota_client(const quota_client_parts &parts, const quota_client_options &options, boost::asio::io_context &context);

    void start();
    /// Sets the grantor and the size of the fleet, as control hosts tell them. An empty address leaves the grantor as it is.
    void setFleet(const std::string &grantor, std::uint32_t hosts, std::uint32_t place);
    /// Wakes the client when a request needs a token. Thread-safe.
    void notifyDemand();

private:
    boost::asio::awaitable<void> drawLoop();
    boost::asio::awaitable<void> draw(quota_draw request);

    quota_client_parts m_parts;
    quota_client_options m_options;
    boost::asio::io_context &m_context;
    boost::asio::steady_timer m_timer;
    std::string m_grantor;
    std::uint32_t m_hosts = 1;
    std::atomic<bool> m_isWoken {false};
};

} // namespace hornbeampick
