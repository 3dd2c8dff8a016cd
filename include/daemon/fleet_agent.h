#pragma once

#include "claims/epoch_table.h"
#include "core/clock.h"
#include "daemon/request_runner.h"
#include "daemon/rule_keeper.h"
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

/// The parts a fleet agent works with. All outlive it.
struct fleet_agent_parts {
    member_table &members;
    load_view &loads;
    request_gate &gate;
    rule_keeper &rules;
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
    milliseconds exchangeEvery {250};
    milliseconds exchangeTimeout {500};
    // Without an answer from another failure domain for this long, this one counts as cut off.
    milliseconds cutOffAfter {3000};
    // Wait before a changed split of the caps is used in full.
    milliseconds settle {1000};
    std::size_t spreadFanout = 4;
};

/// Keeps this daemon in touch with the fleet: exchanges, suspicion, ownership of upstreams, the spreading of rules.
/// Thread-safe.
class fleet_agent final : public death_reporter
{
public:
    fleet_agent(const fleet_agent_parts &parts, const fleet_agent_options &options);

    /// Runs until `stop`.
    boost::asio::awaitable<void> run();
    void stop();

    /// Merges what a peer said and tells it what it lacks.
    exchange_message onExchange(const exchange_message &message);
    void onNotice(const rules_notice &notice);
    /// An upstream, or a peer for it, announced itself here.
    void onAnnounce(const upstream_report &report, bool relay);
    /// Takes over a newer state of the log; the leader passes it down the tree at once.
    void onLedger(const ledger_state &state, bool leads);
    boost::asio::awaitable<void> spread(const upstream_death &death) override;

    /// The host that owns an upstream as the fleet now stands; empty when no host serves its region.
    [[nodiscard]] std::optional<host_name> ownerOfUpstream(const upstream_report &report) const;
    [[nodiscard]] bool knowsDomain(const domain_name &domain) const;
    /// True when hosts of other failure domains are known and none answers.
    [[nodiscard]] bool isCutOff() const;
    /// Hosts of `group` that answered lately, this one included.
    [[nodiscard]] std::size_t reachableOf(const claim_group &group) const;

private:
    exchange_message makeMessage(bool whole) const;
    void exchangeWith(const exchange_target &target);
    void take(const exchange_message &message);
    [[nodiscard]] std::uint64_t upstreamsDigest() const;
    void fetchFrom(const std::string &address, const host_name &root);
    void notifyChildren(const host_name &root);
    void beginRound();
    void place();
    void placeCapSeat();
    [[nodiscard]] std::vector<host_name> candidatesFor(const domain_name &domain) const;
    [[nodiscard]] std::vector<host_name> watched() const;

    fleet_agent_parts m_parts;
    fleet_agent_options m_options;
    exchange_planner m_planner;
    std::atomic<bool> m_stopped {false};
    std::atomic<bool> m_fetching {false};
    // The last patches that were fetched did not fit.
    std::atomic<bool> m_wholeWanted {false};

    // Upstream records that changed lately, by instance, to be passed on.
    struct fresh_report {
        upstream_report report;
        steady_time changedAt {};
    };
    mutable std::mutex m_freshLock;
    std::map<instance_name, fresh_report> m_fresh;
};

} // namespace hornbeampick
