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
    // Peers asked a round.
    std::size_t fanout = 2;
    // One round in so many also asks a seed or a dead member, so that a healed cut is noticed.
    std::uint64_t repairEvery = 5;
};

/// A peer to exchange with. Seeds have no host name yet.
struct exchange_target {
    host_name host;
    std::string address;

    bool operator==(const exchange_target &) const = default;
};

/// Whom a daemon exchanges with in each round: random members, its watched hosts in turn, and now and then
/// one that is lost. Single-threaded.
class exchange_planner
{
public:
    exchange_planner(host_name self, std::vector<std::string> seeds, const exchange_planner_options &options);

    /// `watched`: hosts whose reachability matters to decisions, such as the region's claim group.
    std::vector<exchange_target> round(std::span<const fleet_member> members, std::span<const host_name> watched, random_source &random);

private:
    void addRandom(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const;
    void addWatched(std::vector<exchange_target> &targets, std::span<const fleet_member> members, std::span<const host_name> watched);
    void addLost(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const;

    host_name m_self;
    std::vector<std::string> m_seeds;
    exchange_planner_options m_options;
    std::uint64_t m_rounds = 0;
};

} // namespace hornbeampick
