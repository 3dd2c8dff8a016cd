#pragma once

#include "core/clock.h"
#include "fleet/entry_host.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

struct entry_host_list_options {
    /// An entry host without a watch query for this long is absent. Hosts query at least twice within this time.
    milliseconds absentAfter {1500};
    /// An entry host without a watch query for this long is removed and no longer counts when limits are divided among hosts.
    milliseconds removedAfter {15000};
    /// Start of this control host. Until `absentAfter` has passed, and again after a pause in all queries, a region may have hosts that have
    /// not queried it yet.
    steady_time startedAt = steady_time::min();
};

/// What a look-up asks for.
struct entry_host_query {
    region_name region;
    /// Other regions whose hosts may be named instead; empty allows all.
    std::span<const region_name> allowedRegions;
};

/// The entry hosts that must have applied a change before it is confirmed.
enum class required_hosts {
    /// Hosts with a recent watch query.
    present,
    /// All listed hosts, absent ones included: an absent host may be partitioned from this control host only, and still serve callers.
    includingAbsent,
};

/// What a control host knows of the entry hosts at one time, for log lines.
struct entry_host_presence {
    std::uint32_t listed = 0;
    /// Listed hosts without a recent watch query.
    std::uint32_t absent = 0;
    bool knowsLeader = false;
};

/// The entry hosts that a look-up names.
struct entry_selection {
    std::vector<std::string> addresses;
    /// The region that was asked for has no serving host, and the addresses are those of other regions.
    bool isOutsideRegion = false;
};

/// The entry hosts that watch this control host, each with the position up to which it has its announcements. Thread-safe.
class entry_host_list
{
public:
    explicit entry_host_list(const entry_host_list_options &options = {});

    /// Records a watch query from `host`, which has the announcements up to `position`.
    void recordProgress(const entry_host &host, std::uint64_t position, steady_time now);

    /// Selects the serving hosts in the region of `query`, or those in allowed regions once it is known that the region has none. Isolated hosts are
    /// left out unless they are the majority: then the other hosts could not bear the load of all callers, which isolated hosts
    /// spread over the fleet.
    [[nodiscard]] entry_selection select(const entry_host_query &query, steady_time now) const;
    /// Returns serving hosts that are not isolated, at most `limit`, those in the region of `watcher` first. Each watcher gets another
    /// order, so that together they use all hosts.
    [[nodiscard]] std::vector<relay_peer> relayPeersFor(const entry_host &watcher, std::size_t limit, steady_time now) const;
    /// Returns true when every required host has the announcements up to `position` and at least one host is present.
    [[nodiscard]] bool allCaughtUp(std::uint64_t position, required_hosts required, steady_time now) const;
    /// Returns the number of listed hosts, absent ones included.
    [[nodiscard]] std::uint32_t count() const;
    /// Returns the number of listed hosts without a watch query for `age` or longer.
    [[nodiscard]] std::uint32_t countQuietFor(milliseconds age, steady_time now) const;
    [[nodiscard]] entry_host_presence presence(steady_time now) const;
    /// Returns the position of `host` among the listed hosts of its region, absent ones included, from 1 on; 0 when it is not listed.
    [[nodiscard]] std::uint32_t placeInRegion(const entry_host &host) const;
    /// Returns the number of listed hosts in `region`, absent ones included.
    [[nodiscard]] std::uint32_t countIn(const region_name &region) const;

    /// Removes hosts whose retention period has passed. While no leader of the log is known, hosts stay listed: they may be cut off from this
    /// control host only.
    void expire(steady_time now);

    /// Records whether this control host knows a leader of the log. To be called at least twice within `absentAfter`.
    void recordLeader(bool isKnown, steady_time now);
    /// Returns the hosts that must have applied a change before it is confirmed. Empty when nothing can be confirmed: this process has never
    /// known a leader for long enough to have heard of all hosts that are in touch.
    [[nodiscard]] std::optional<required_hosts> requiredForConfirmation(steady_time now) const;

private:
    struct record {
        entry_host host;
        std::uint64_t position = 0;
        steady_time lastQueryAt {};
    };

    [[nodiscard]] bool isServing(const record &known, steady_time now) const;
    // True while a leader has been known for as long as it takes all hosts in touch to query this control host. Requires m_lock.
    [[nodiscard]] bool isInTouch(steady_time now) const;

    entry_host_list_options m_options;
    mutable std::mutex m_lock;
    // Guarded by m_lock.
    std::map<host_name, record> m_records;
    std::optional<steady_time> m_lastQueryAt;
    // Since when hosts could query this control host without a pause.
    steady_time m_listeningSince;
    std::optional<steady_time> m_leaderKnownSince;
    std::optional<steady_time> m_leaderRecordedAt;
    // This process has been in touch at some time since its start, so that the list has all hosts of then.
    bool m_wasInTouch = false;
};

} // namespace hornbeampick
