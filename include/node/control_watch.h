#pragma once

#include "core/published.h"
#include "fleet/entry_host.h"
#include "fleet/upstream_directory.h"
#include "node/quota_client.h"
#include "rpc/control_client.h"
#include "rules/routing_table.h"
#include "steering/dispatcher.h"
#include "steering/poison_registry.h"
#include "steering/relay_peers.h"
#include "steering/retry_budget.h"
#include "steering/routes_lease.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Dependencies of a control watch, most of which it updates with what control hosts report. All must outlive the watch.
struct control_watch_parts {
    control_client &peers;
    dispatcher &dispatch;
    published<route_index> &routes;
    retry_budget &retries;
    poison_registry &poison;
    relay_peers &relayPeers;
    routes_lease &lease;
    clock_source &clock;
    quota_account &quota;
    quota_client &quotaClient;
};

struct control_watch_options {
    entry_host self;
    // Peer addresses of the control hosts to poll first.
    std::vector<std::string> seeds;
    // Capacity of the retry budget, summed over all entry hosts.
    double retrySlack = 20;
};

/// Long-polls all control hosts concurrently. Applies routes and evacuations in order of the log index, which only increases, and
/// merges the upstream announcements of all control hosts. The last known state stays in use while no control host answers. Runs
/// on the only thread of its io_context.
///
/// The long polls tell the log index of each control host only. The state itself is fetched from one host that has a newer one, the nearest
/// first; from another one beside it when that takes long. Control hosts of a former release send the state with each answer.
class control_watch
{
public:
    control_watch(const control_watch_parts &parts, const control_watch_options &options, boost::asio::io_context &context);

    void start();
    /// Adds control hosts to poll; known addresses are ignored.
    void addSeeds(std::span<const std::string> addresses);
    /// Immediately reports to all control hosts that this host no longer serves callers. Final: later answers do not change it.
    void stopServing();
    /// Immediately reports to all control hosts whether this host reaches no upstream, and asks them for peers if so.
    void setIsolated(bool isolated);
    /// Queues an upstream's death for the next poll of each control host. Thread-safe.
    void reportDeath(const upstream_death &death);

    /// Returns true once routes and upstreams are known. Thread-safe.
    [[nodiscard]] bool hasInitialState() const
    {
        return m_hasInitialState;
    }

private:
    // The entry hosts among which limits are divided, as a control host tells.
    struct fleet_share {
        std::uint32_t hosts = 0;
        share_of_hosts region;
    };
    // A control host, with the position up to which its announcements have been received.
    struct watched_host {
        std::uint64_t incarnation = 0;
        std::uint64_t position = 0;
        std::size_t deathsReported = 0;
        bool reachable = false;
        // Index of the state that it told last.
        log_index appliedIndex = 0;
        bool isSendingState = false;
        // The shortest time in which it has answered, an upper bound of the round-trip time.
        steady_time::duration fastestAnswer = steady_time::duration::max();
        // What the control host told last of the entry hosts, and when.
        fleet_share fleet {};
        steady_time fleetToldAt {};
    };

    // Immediately reports to all control hosts whether this host serves callers.
    void setServing(bool serving);
    void pollAllNow();
    boost::asio::awaitable<void> pollLoop(std::string address);
    // What a query asks for, and how long it may take.
    struct query_options {
        bool wantsState = false;
        milliseconds wait {0};
        milliseconds timeout {0};
    };
    boost::asio::awaitable<bool> poll(const std::string &address, milliseconds wait);
    boost::asio::awaitable<bool> ask(const std::string &address, const query_options &options);
    // Fetches the state until no control host is known to have a newer one.
    boost::asio::awaitable<void> fetchLoop();
    boost::asio::awaitable<void> fetchFrom(std::string address);
    [[nodiscard]] bool isBehind() const;
    // Returns the address of the nearest control host that is known to have a newer state and does not send it already; null when there is none.
    [[nodiscard]] const std::string *chooseSource() const;
    // Returns true when a nearer control host than all those that have a newer state may soon have it too.
    [[nodiscard]] bool mayNearerHostFollow() const;
    void applyAnswer(const std::string &address, const watch_answer &answer);
    void applyState(const ledger_state &state);
    // Adopts the share in what entry hosts divide among them. A control host that has just started, or is cut off, knows too few hosts: the one
    // that knows most of them decides.
    void updateFleetShare(watched_host &teller, const watch_answer &answer, steady_time now);

    control_watch_parts m_parts;
    control_watch_options m_options;
    boost::asio::io_context &m_context;
    std::map<std::string, watched_host> m_controlHosts;
    upstream_directory m_directory;
    log_index m_appliedIndex = 0;
    bool m_isFetching = false;
    boost::asio::steady_timer m_fetchTimer;
    entry_host m_self;
    bool m_servingStopped = false;
    std::atomic<bool> m_hasInitialState {false};
    bool m_upstreamsKnown = false;

    std::mutex m_deathLock;
    // Guarded by m_deathLock. Append-only: all deaths that this host has observed.
    std::vector<upstream_death> m_deaths;
};

} // namespace hornbeampick
