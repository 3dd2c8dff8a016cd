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

struct epoch_keeper_options {
    // An epoch is followed by the next after this long.
    milliseconds epochLength {600000};
};

/// The leader's choice of the next claim epoch: a group of three for each region, a host in
/// each of its first failure domains and the rest outside of it.
class epoch_keeper
{
public:
    static constexpr std::size_t groupSize = 3;

    epoch_keeper(const topology &fleet, const epoch_keeper_options &options);

    /// The epoch to open next; empty when every region has a sound one.
    [[nodiscard]] std::optional<claim_epoch> next(std::span<const claim_epoch> epochs, std::span<const fleet_member> members, wall_ms now) const;

private:
    [[nodiscard]] bool isSound(const claim_epoch &epoch, std::span<const fleet_member> members, wall_ms now) const;
    [[nodiscard]] std::vector<epoch_member> chooseGroup(const region_domains &region, const claim_epoch *former, std::span<const fleet_member> members) const;

    const topology &m_fleet;
    epoch_keeper_options m_options;
};

} // namespace hornbeampick
