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

/// What a control host knows of the entry hosts at one time, for log lines.
struct entry_host_presence {
    std::uint32_t listed = 0;
    /// Listed hosts without a recent watch query.
    std::uint32_t absent = 0;
    /// Time since the last known contact with a majority of the log's voters; 0 when there was none.
    milliseconds contactAge {0};
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
    /// Returns true when every host that may still serve callers has the announcements up to `position` and at least one host is present. A host
    /// that is silent counts as out of service only when this control host was in contact with the log's voters meanwhile: otherwise the
    /// silence may be that of a partition around this control host. Always false until `isFleetKnown`.
    [[nodiscard]] bool allCaughtUp(std::uint64_t position, steady_time now) const;
    /// Returns true once this process has been in contact for long enough to have heard of all hosts that are in touch.
    [[nodiscard]] bool isFleetKnown() const;
    /// Returns the number of listed hosts, absent ones included.
    [[nodiscard]] std::uint32_t count() const;
    /// Returns the number of listed hosts without a watch query for `age` or longer.
    [[nodiscard]] std::uint32_t countQuietFor(milliseconds age, steady_time now) const;
    /// Returns how many hosts are listed and absent, and the age of the contact that proves absence.
    [[nodiscard]] entry_host_presence presence(steady_time now) const;
    /// Returns the position of `host` among the listed hosts of its region, absent ones included, from 1 on; 0 when it is not listed.
    [[nodiscard]] std::uint32_t placeInRegion(const entry_host &host) const;
    /// Returns the number of listed hosts in `region`, absent ones included.
    [[nodiscard]] std::uint32_t countIn(const region_name &region) const;

    /// Removes hosts whose retention period has passed. A host whose silence may be that of a partition stays listed.
    void expire(steady_time now);

    /// Records that this control host was in contact with a majority of the log's voters at `contactAt`; times that are not later than one that
    /// was recorded have no effect. To be called at least twice within `absentAfter`.
    void recordContact(steady_time contactAt);

private:
    struct record {
        entry_host host;
        std::uint64_t position = 0;
        steady_time lastQueryAt {};
    };

    struct contact_period {
        steady_time since {};
        steady_time until {};
    };

    [[nodiscard]] bool isServing(const record &known, steady_time now) const;
    // True when the host was silent for `absentAfter` while this control host was in contact. Requires m_lock.
    [[nodiscard]] bool isOutOfService(const record &known) const;

    entry_host_list_options m_options;
    mutable std::mutex m_lock;
    // Guarded by m_lock.
    std::map<host_name, record> m_records;
    std::optional<steady_time> m_lastQueryAt;
    // Since when hosts could query this control host without a pause.
    steady_time m_listeningSince;
    // The latest period of uninterrupted contact with a majority of the log's voters.
    std::optional<contact_period> m_contact;
    // One such period lasted for as long as it takes all hosts in touch to query this control host.
    bool m_isFleetKnown = false;
};

} // namespace hornbeampick
