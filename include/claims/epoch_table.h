#pragma once

#include "claims/claim_types.h"
#include "core/clock.h"
#include "replica/replica_types.h"

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <vector>

namespace hornbeampick
{

/// The group that grants the keys of one epoch.
struct claim_group {
    epoch_id epoch;
    std::vector<epoch_member> members;
    wall_ms openedAt = 0;
};

/// The claim epochs that this host knows from the rules in force. Thread-safe.
class epoch_table
{
public:
    /// Takes over the epochs of a newer ledger state.
    void update(std::span<const claim_epoch> epochs);

    /// Newest epoch of a region; empty when none is open yet.
    [[nodiscard]] std::optional<claim_group> current(const region_name &region) const;
    /// Empty when the epoch is closed or not known here.
    [[nodiscard]] std::optional<claim_group> find(const epoch_id &epoch) const;
    /// True when a later epoch than `epoch` is known and `epoch` itself is not.
    [[nodiscard]] bool isClosed(const epoch_id &epoch) const;
    /// Lowest open number of each region.
    [[nodiscard]] std::map<region_name, std::uint64_t> firstOpen() const;

private:
    mutable std::mutex m_lock;
    std::map<region_name, std::map<std::uint64_t, claim_group>> m_groups;
};

} // namespace hornbeampick
