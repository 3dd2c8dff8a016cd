#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/topology.h"
#include "fleet/member_list.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

struct member_table_options {
    /// A suspect that does not refute the suspicion within this time is declared dead; so is a leaving member.
    milliseconds deadAfter {3000};
    /// A change is gossiped for this long. Changes that a peer misses are repaired by comparing table digests.
    milliseconds disseminationPeriod {30000};
    /// The record of a dead member is removed after this time.
    milliseconds deadRetention {seconds(86400)};
};

/// The membership table of one daemon, maintained by gossip and direct failure detection.
///
/// Records are ordered by (incarnation, sequence); the larger pair wins, and between equal pairs the worse state. A daemon
/// that receives a worse state of itself refutes it with a larger sequence. Thread-safe; a single lock guards the table,
/// because every decision reads the whole of it.
class member_table
{
public:
    member_table(fleet_member self, const member_table_options &options);

    /// Sets the addresses of this daemon, which are known once its ports are open.
    void setAddresses(std::string httpAddress, std::string rpcAddress);
    /// Merges a record received from a peer. Returns true when it replaced or added a record; records without an RPC address
    /// are ignored.
    bool merge(const fleet_member &incoming, steady_time now);
    /// Records a successful direct exchange with `host`.
    void onExchangeSucceeded(const host_name &host, steady_time now);
    /// Records a failed direct exchange with `host`; consecutive failures make an alive member suspect.
    void onExchangeFailed(const host_name &host, steady_time now);
    /// Declares suspect and leaving members dead after their timeout and removes expired records of dead members.
    void tick(steady_time now);
    /// Marks this daemon as leaving, so that other daemons no longer select it.
    void leave(steady_time now);

    [[nodiscard]] fleet_member self() const;
    [[nodiscard]] std::optional<fleet_member> find(const host_name &host) const;
    [[nodiscard]] member_list members() const;
    /// Returns the members whose record changed within the dissemination period.
    [[nodiscard]] std::vector<fleet_member> recentChanges(steady_time now) const;
    /// Returns the serving members of a failure domain, sorted by host.
    [[nodiscard]] std::vector<fleet_member> servingIn(const domain_name &domain) const;
    /// Returns the serving members of a region, sorted by host.
    [[nodiscard]] std::vector<fleet_member> servingIn(const region_name &region) const;
    /// Returns the members with a direct exchange within `window`, and this one.
    [[nodiscard]] std::vector<fleet_member> contactedWithin(milliseconds window, steady_time now) const;
    /// Returns a digest of the table, which is equal on daemons with equal tables.
    [[nodiscard]] std::uint64_t tableDigest() const;
    /// Returns a counter that increases with every change of the table.
    [[nodiscard]] std::uint64_t revision() const;

private:
    struct record {
        fleet_member member;
        steady_time changedAt {};
        steady_time lastContactAt {};
        int consecutiveFailures = 0;
    };

    void setState(record &updated, member_state state, steady_time now);
    void refute(const fleet_member &incoming, steady_time now);

    host_name m_self;
    member_table_options m_options;
    mutable std::mutex m_lock;
    std::map<host_name, record> m_records;
    std::uint64_t m_revision = 1;
    // Cached results, each with the revision that it was computed at.
    mutable std::optional<member_list> m_list;
    mutable std::uint64_t m_listRevision = 0;
    mutable std::uint64_t m_digest = 0;
    mutable std::uint64_t m_digestRevision = 0;
};

} // namespace hornbeampick
