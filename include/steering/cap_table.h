#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/shards.h"
#include "core/topology.h"
#include "rules/rule_set.h"
#include "steering/window_limiter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// The quantity that a cap limits.
enum class cap_kind {
    // Requests per second of a service in this host's region.
    regionCapacity,
    // Requests per second that a shift moves into this host's region.
    shift,
    // Bytes per second that this host's region sends to another region.
    link,
};

/// Identifies one cap from the point of view of this host.
struct cap_key {
    cap_kind kind = cap_kind::regionCapacity;
    service_name service;
    // For a shift, the source region; for a link, the destination region; otherwise empty.
    region_name other;

    auto operator<=>(const cap_key &) const = default;
    /// Returns a description of the cap for log lines and operators.
    [[nodiscard]] std::string text() const;
};

/// Units reserved under a cap. The holder returns them with `cap_table::refund` when the work did not take place.
struct cap_reservation {
    cap_key key;
    std::uint64_t units = 0;
    steady_time takenAt {};
};

/// Identifies one of the equal partitions into which a failure domain's quota of every cap is divided, one per serving host.
struct cap_partition {
    std::size_t index = 0;
    std::size_t count = 1;

    bool operator==(const cap_partition &) const = default;
};

/// Enforces this host's quota of the caps in the rules in force.
///
/// A cap is divided evenly among the failure domains of the region that uses it, so that it holds during a network partition
/// between them. `setPartition` divides a domain's quota among its hosts. Thread-safe; one lock per shard.
class cap_table
{
public:
    cap_table(const topology &fleet, location self);

    /// Replaces the rules with immediate effect. Units already used within the window stay counted.
    void setRules(std::shared_ptr<const rule_set> rules);
    /// Sets this host's partition of its failure domain's quota. Until `from`, this host also stays within every previous
    /// partition that has not expired; before the first call its quota is zero. The caller chooses `from` such that by then
    /// all other hosts know the new division and the units they used under the old one have left the window.
    void setPartition(const cap_partition &partition, steady_time now, steady_time from);

    /// Reserves `units` under a cap. Returns nothing when the quota is used up, and a reservation of zero units when no cap is set.
    std::optional<cap_reservation> reserve(const cap_key &key, std::uint64_t units, steady_time now);
    /// Returns reserved units to the cap because the work did not take place.
    void refund(const cap_reservation &reservation, steady_time now);
    /// Counts bytes that have to be sent even beyond the cap. Returns the delay after which to send them.
    milliseconds chargeBytes(const region_name &to, std::uint64_t bytes, steady_time now);
    /// Returns the units used within the last window.
    [[nodiscard]] std::uint64_t used(const cap_key &key, steady_time now);
    /// Returns the units that this host may use per second, or nothing when no cap is set.
    [[nodiscard]] std::optional<std::uint64_t> limitOf(const cap_key &key, steady_time now) const;

private:
    [[nodiscard]] std::optional<std::uint64_t> capOf(const rule_set &rules, const cap_key &key) const;

    struct previous_partition {
        std::optional<cap_partition> partition;
        steady_time until {};
    };

    struct allocation {
        std::shared_ptr<const rule_set> rules;
        std::optional<cap_partition> current;
        // Previous partitions that still limit this host; one without a value allows zero units.
        std::vector<previous_partition> previous;
    };

    [[nodiscard]] std::uint64_t quotaOf(std::uint64_t total, const std::optional<cap_partition> &partition) const;

    using limiters = std::map<cap_key, window_limiter>;

    location m_self;
    std::size_t m_domainCount;
    std::size_t m_domainIndex;
    mutable std::mutex m_lock;
    allocation m_allocation;
    shards<limiters> m_limiters;
};

} // namespace hornbeampick
