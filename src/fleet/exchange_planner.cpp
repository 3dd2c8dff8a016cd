#include "fleet/exchange_planner.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

void addOnce(std::vector<exchange_target> &targets, exchange_target target)
{
    const bool known = std::ranges::any_of(targets, [&](const exchange_target &each) { return each.address == target.address; });
    if (!known) {
        targets.push_back(std::move(target));
    }
}

} // namespace

exchange_planner::exchange_planner(host_name self, std::vector<std::string> seeds, const exchange_planner_options &options)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_options(options)
{
}

std::vector<exchange_target> exchange_planner::round(std::span<const fleet_member> members, std::span<const host_name> watched, random_source &random)
{
    ++m_rounds;
    std::vector<exchange_target> targets;
    addRandom(targets, members, random);
    addWatched(targets, members, watched);
    const bool alone = members.size() <= 1;
    if (alone || m_rounds % m_options.repairEvery == 0) {
        addLost(targets, members, random);
    }
    return targets;
}

void exchange_planner::addRandom(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const
{
    std::vector<const fleet_member *> living;
    for (const auto &member : members) {
        if (member.host != m_self && member.state != member_state::dead) {
            living.push_back(&member);
        }
    }
    for (std::size_t i = 0; i < m_options.fanout && !living.empty(); ++i) {
        const auto position = random.below(living.size());
        addOnce(targets, {.host = living[position]->host, .address = living[position]->rpcAddress});
        living.erase(living.begin() + static_cast<std::ptrdiff_t>(position));
    }
}

void exchange_planner::addWatched(std::vector<exchange_target> &targets, std::span<const fleet_member> members, std::span<const host_name> watched)
{
    if (watched.empty()) {
        return;
    }
    const auto &turn = watched[m_rounds % watched.size()];
    const auto found = std::ranges::find(members, turn, &fleet_member::host);
    if (found != members.end() && found->host != m_self) {
        addOnce(targets, {.host = found->host, .address = found->rpcAddress});
    }
}

void exchange_planner::addLost(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const
{
    std::vector<exchange_target> lost;
    for (const auto &seed : m_seeds) {
        lost.push_back({.host = {}, .address = seed});
    }
    for (const auto &member : members) {
        if (member.state == member_state::dead) {
            lost.push_back({.host = member.host, .address = member.rpcAddress});
        }
    }
    if (!lost.empty()) {
        addOnce(targets, lost[random.below(lost.size())]);
    }
}

} // namespace hornbeampick
