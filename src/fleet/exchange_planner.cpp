#include "fleet/exchange_planner.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

void addUnique(std::vector<exchange_target> &targets, exchange_target target)
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

std::vector<exchange_target> exchange_planner::nextTargets(std::span<const fleet_member> members, std::span<const host_name> watched, random_source &random)
{
    ++m_rounds;
    std::vector<exchange_target> targets;
    addRandom(targets, members, random);
    addWatched(targets, members, watched);
    const bool knowsNoPeer = members.size() <= 1;
    if (knowsNoPeer || m_rounds % m_options.recoveryInterval == 0) {
        addSeedOrDead(targets, members, random);
    }
    return targets;
}

void exchange_planner::addRandom(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const
{
    std::vector<const fleet_member *> eligible;
    for (const auto &member : members) {
        if (member.host != m_self && member.state != member_state::dead) {
            eligible.push_back(&member);
        }
    }
    for (std::size_t i = 0; i < m_options.fanout && !eligible.empty(); ++i) {
        const auto position = random.below(eligible.size());
        addUnique(targets, {.host = eligible[position]->host, .address = eligible[position]->rpcAddress});
        eligible.erase(eligible.begin() + static_cast<std::ptrdiff_t>(position));
    }
}

void exchange_planner::addWatched(std::vector<exchange_target> &targets, std::span<const fleet_member> members, std::span<const host_name> watched)
{
    if (watched.empty()) {
        return;
    }
    const auto &next = watched[m_rounds % watched.size()];
    const auto found = std::ranges::find(members, next, &fleet_member::host);
    if (found != members.end() && found->host != m_self) {
        addUnique(targets, {.host = found->host, .address = found->rpcAddress});
    }
}

void exchange_planner::addSeedOrDead(std::vector<exchange_target> &targets, std::span<const fleet_member> members, random_source &random) const
{
    std::vector<exchange_target> candidates;
    for (const auto &seed : m_seeds) {
        candidates.push_back({.host = {}, .address = seed});
    }
    for (const auto &member : members) {
        if (member.state == member_state::dead) {
            candidates.push_back({.host = member.host, .address = member.rpcAddress});
        }
    }
    if (!candidates.empty()) {
        addUnique(targets, candidates[random.below(candidates.size())]);
    }
}

} // namespace hornbeampick
