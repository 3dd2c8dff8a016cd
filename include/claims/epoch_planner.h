#pragma once

#include "core/clock.h"
#include "core/topology.h"
#include "fleet/member_table.h"
#include "replica/replica_types.h"

#include <optional>
#include <span>
#include <vector>

namespace hornbeampick
{

struct epoch_planner_options {
    // Age at which the next epoch replaces an epoch.
    milliseconds epochLength {600000};
};

/// Chooses the next claim epoch on the leader: for each region a group of three hosts, one in
/// each of the region's first failure domains and the rest in other regions.
class epoch_planner
{
public:
    static constexpr std::size_t groupSize = 3;

    epoch_planner(const topology &fleet, const epoch_planner_options &options);

    /// Returns the epoch to open next; empty when every region has a current one or no complete new group is available.
    [[nodiscard]] std::optional<claim_epoch> next(std::span<const claim_epoch> epochs, std::span<const fleet_member> members, wall_ms now) const;

private:
    [[nodiscard]] bool isCurrent(const claim_epoch &epoch, std::span<const fleet_member> members, wall_ms now) const;
    [[nodiscard]] std::vector<epoch_member> chooseGroup(const region_domains &region, const claim_epoch *previous, std::span<const fleet_member> members) const;

    const topology &m_fleet;
    epoch_planner_options m_options;
};

} // namespace hornbeampick
