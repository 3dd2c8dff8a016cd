#pragma once

#include "claims/epoch_table.h"
#include "core/clock.h"
#include "daemon/active_rules.h"
#include "daemon/request_runner.h"
#include "fleet/exchange_planner.h"
#include "fleet/member_table.h"
#include "rpc/peer_client.h"
#include "steering/load_view.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <mutex>

namespace hornbeampick
{

/// Dependencies of a fleet agent. All of them must outlive it.
struct fleet_agent_parts {
    member_table &members;
    load_view &loads;
    request_gate &gate;
    active_rules &rules;
    epoch_table &epochs;
    cap_table &caps;
    poison_registry &poison;
    peer_client &peers;
    control_meter &meter;
    clock_source &clock;
    random_source &random;
    const topology &fleet;
    location self;
};

struct fleet_agent_options {
    std::vector<std::string> seeds;
    milliseconds exchangeInterval {250};
    milliseconds exchangeTimeout {500};
    // Time without an answer from any other failure domain after which this host considers itself cut off.
    milliseconds cutOffAfter {3000};
    // Delay until a changed partition of the caps takes full effect, in which the other hosts learn of it.
    milliseconds capSettleTime {1000};
    // Children of a host in the tree that distributes rules.
    std::size_t spreadFanout = 4;
};

/// Connects this daemon with the fleet: runs gossip exchanges and failure detection, assigns ownership of upstreams and distributes
/// rules. Thread-safe.
class fleet_agent final : public death_reporter
{
public:
    fleet_agent(const fleet_agent_parts &parts, const fleet_agent_options &options);

    /// Exchanges state with peers at intervals until `stop`.
    boost::asio::awaitable<void> run();
    void stop();

    /// Merges a peer's message and returns what the peer lacks.
    exchange_message onExchange(const exchange_message &message);
    /// Fetches newer rules from the peer that sent the notice.
    void onNotice(const rules_notice &notice);
    /// Handles an announcement of an upstream, sent by itself or relayed by a peer; `relayToOwner` passes it on to the owning host.
    void onAnnounce(const upstream_report &report, bool relayToOwner);
    /// Applies a newer state of the log; the leader then notifies its children in the distribution tree.
    void onLedger(const ledger_state &state, bool isLeader);
    boost::asio::awaitable<void> broadcast(const upstream_death &death) override;

    /// Returns the host that owns an upstream according to the current members; empty when no host serves its region.
    [[nodiscard]] std::optional<host_name> ownerOfUpstream(const upstream_report &report) const;
    [[nodiscard]] bool isKnownDomain(const domain_name &domain) const;
    /// Returns true when hosts of other failure domains are known and none of them answers.
    [[nodiscard]] bool isCutOff() const;
    /// Returns the number of hosts of `group` that answered recently, including this host.
    [[nodiscard]] std::size_t reachableMemberCount(const claim_group &group) const;

private:
    exchange_message makeMessage(bool full) const;
    void exchangeWith(const exchange_target &target);
    void mergeMessage(const exchange_message &message);
    [[nodiscard]] std::uint64_t upstreamsDigest() const;
    void fetchFrom(const std::string &address, const host_name &root);
    void notifyChildren(const host_name &root);
    void startExchangeRound();
    void updatePlacement();
    void updateCapPartition();
    [[nodiscard]] std::vector<host_name> candidatesFor(const domain_name &domain) const;
    [[nodiscard]] std::vector<host_name> watchedHosts() const;

    fleet_agent_parts m_parts;
    fleet_agent_options m_options;
    exchange_planner m_planner;
    std::atomic<bool> m_stopped {false};
    std::atomic<bool> m_fetching {false};
    // Set when the last fetched patches were not against the text in force: the next fetch asks for the full text.
    std::atomic<bool> m_fullTextWanted {false};

    // Upstream records that changed recently, by instance; exchanges pass them on.
    struct recent_report {
        upstream_report report;
        steady_time changedAt {};
    };
    mutable std::mutex m_recentReportsLock;
    std::map<instance_name, recent_report> m_recentReports;
};

} // namespace hornbeampick
