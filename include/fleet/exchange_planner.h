#pragma once

#include "core/names.h"
#include "core/random_source.h"
#include "fleet/member_table.h"

#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

struct exchange_planner_options {
    /// Random peers per round.
    std::size_t fanout = 2;
    /// One round in this many also contacts a seed or a dead member, so that a healed network partition is detected.
    std::uint64_t recoveryInterval = 5;
};

/// A peer for one gossip exchange. `host` is empty for a seed, of which only the address is known.
struct exchange_target {
    host_name host;
    std::string address;

    bool operator==(const exchange_target &) const = default;
};

/// Chooses the peers of each gossip round: random members, one of the watched hosts in turn, and periodically a seed or a
/// dead member. Not thread-safe.
class exchange_planner
{
public:
    exchange_planner(host_name self, std::vector<std::string> seeds, const exchange_planner_options &options);

    /// Returns the peers of the next round. `watched` are the hosts whose reachability decisions depend on, such as the
    /// region's claim group.
    std::vector<exchange_target> nextTargets(std::span<const fleet_member> members, std::span<const host_name> watched, random_source &random);

private:
    void addRandom(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const;
    void addWatched(std::vector<exchange_target> &targets, std::span<const fleet_member> members, std::span<const host_name> watched);
    void addSeedOrDead(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const;

    host_name m_self;
    std::vector<std::string> m_seeds;
    exchange_planner_options m_options;
    std::uint64_t m_rounds = 0;
};

} // namespace hornbeampick
