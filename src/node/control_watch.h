#pragma once

#include "core/published.h"
#include "fleet/entry_host.h"
#include "fleet/upstream_directory.h"
#include "rpc/control_client.h"
#include "rules/routing_table.h"
#include "steering/dispatcher.h"
#include "steering/poison_registry.h"
#include "steering/retry_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hornbeampick
{

/// What an entry host learns from control hosts goes here. All outlive the watch.
struct control_watch_parts {
    control_client &peers;
    dispatcher &dispatch;
    published<route_index> &routes;
    retry_budget &retries;
    poison_registry &poison;
    clock_source &clock;
};

struct control_watch_options {
    entry_host self;
    // Peer addresses of control hosts asked first.
    std::vector<std::string> seeds;
    // Retries that all entry hosts together may save up.
    double retrySlack = 20;
};

/// Follows all control hosts at once: routes and evacuations by the log's index, which only rises; announcements of
/// upstreams joined over the hosts. What was learnt stays in use while none answers. Runs on one thread, its own.
class control_watch
{
public:
    control_watch(const control_watch_parts &parts, const control_watch_options &options, boost::asio::io_context &context);

    void start();
    /// More addresses to ask.
    void addSeeds(std::span<const std::string> addresses);
    /// Tells all control hosts at once whether this host takes callers.
    void setServing(bool serving);
    /// Passed on with the next question to each control host. Thread-safe.
    void reportDeath(const upstream_death &death);

    /// Knows routes and upstreams. Thread-safe.
    [[nodiscard]] bool isInformed() const
    {
        return m_informed;
    }

private:
    // A control host, and how far its announcements are known.
    struct source {
        std::uint64_t incarnation = 0;
        std::uint64_t position = 0;
        std::size_t deathsTold = 0;
        bool reachable = false;
    };

    boost::asio::awaitable<void> follow(std::string address);
    boost::asio::awaitable<bool> ask(const std::string &address, milliseconds wait);
    void take(const std::string &address, const watch_answer &answer);
    void takeState(const ledger_state &state);

    control_watch_parts m_parts;
    control_watch_options m_options;
    boost::asio::io_context &m_context;
    std::map<std::string, source> m_sources;
    upstream_directory m_directory;
    log_index m_applied = 0;
    entry_host m_self;
    std::atomic<bool> m_informed {false};
    bool m_upstreamsKnown = false;

    std::mutex m_deathLock;
    // Guarded by m_deathLock; grows by each death that this host saw.
    std::vector<upstream_death> m_deaths;
};

} // namespace hornbeampick
