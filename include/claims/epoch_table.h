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

/// The group of hosts that grants the keys of one epoch.
struct claim_group {
    epoch_id epoch;
    std::vector<epoch_member> members;
    wall_ms openedAt = 0;
};

/// The open claim epochs, as this host knows them from its newest ledger state. Thread-safe.
class epoch_table
{
public:
    /// Replaces the known epochs by those of a newer ledger state.
    void update(std::span<const claim_epoch> epochs);

    /// Returns the newest epoch of a region; empty when none is open yet.
    [[nodiscard]] std::optional<claim_group> current(const region_name &region) const;
    /// Returns the group of an epoch; empty when the epoch is closed or unknown to this host.
    [[nodiscard]] std::optional<claim_group> find(const epoch_id &epoch) const;
    /// Returns true when a later epoch of the region is known but `epoch` is not.
    [[nodiscard]] bool isClosed(const epoch_id &epoch) const;
    /// Returns the lowest open epoch number of each region.
    [[nodiscard]] std::map<region_name, std::uint64_t> firstOpen() const;

private:
    mutable std::mutex m_lock;
    std::map<region_name, std::map<std::uint64_t, claim_group>> m_groups;
};

} // namespace hornbeampick
