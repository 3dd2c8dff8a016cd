#include "claims/epoch_planner.h"

#include "core/digest.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

const claim_epoch *newestOf(std::span<const claim_epoch> epochs, const region_name &region)
{
    const claim_epoch *newest = nullptr;
    for (const auto &epoch : epochs) {
        if (epoch.region == region && (newest == nullptr || epoch.number > newest->number)) {
            newest = &epoch;
        }
    }
    return newest;
}

bool contains(std::span<const epoch_member> group, const host_name &host)
{
    return std::ranges::find(group, host, &epoch_member::host) != group.end();
}

// Returns the candidate that was a member of `previous` with the same incarnation, otherwise the one chosen by rendezvous hashing.
const fleet_member *chooseMember(std::span<const fleet_member *const> candidates, const claim_epoch *previous, std::string_view placementKey)
{
    const fleet_member *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const auto *candidate : candidates) {
        if (previous != nullptr) {
            const auto previousMember = std::ranges::find(previous->members, candidate->host, &epoch_member::host);
            if (previousMember != previous->members.end() && previousMember->incarnation == candidate->incarnation) {
                return candidate;
            }
        }
        const std::uint64_t weight = stableHash(candidate->host.view(), stableHash(placementKey));
        if (best == nullptr || weight > bestWeight) {
            best = candidate;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace

epoch_planner::epoch_planner(const topology &fleet, const epoch_planner_options &options)
    : m_fleet(fleet)
    , m_options(options)
{
}

std::optional<claim_epoch> epoch_planner::next(std::span<const claim_epoch> epochs, std::span<const fleet_member> members, wall_ms now) const
{
    for (const auto &region : m_fleet.regions()) {
        const auto *newest = newestOf(epochs, region.name);
        if (newest != nullptr && isCurrent(*newest, members, now)) {
            continue;
        }
        auto group = chooseGroup(region, newest, members);
        const bool complete = group.size() == groupSize;
        const bool unchanged = newest != nullptr && newest->members == group && now < newest->openedAt + m_options.epochLength.count();
        if (!complete || unchanged) {
            continue;
        }
        return claim_epoch {
            .region = region.name,
            .number = newest == nullptr ? 1 : newest->number + 1,
            .members = std::move(group),
            .openedAt = now,
        };
    }
    return std::nullopt;
}

bool epoch_planner::isCurrent(const claim_epoch &epoch, std::span<const fleet_member> members, wall_ms now) const
{
    const bool unexpired = now < epoch.openedAt + m_options.epochLength.count();
    return unexpired && std::ranges::all_of(epoch.members, [&](const epoch_member &member) {
               const auto found = std::ranges::find(members, member.host, &fleet_member::host);
               return found != members.end() && found->serves() && found->incarnation == member.incarnation;
           });
}

std::vector<epoch_member> epoch_planner::chooseGroup(const region_domains &region, const claim_epoch *previous, std::span<const fleet_member> members) const
{
    std::vector<epoch_member> group;
    const auto addMember = [&](std::string_view placementKey, auto matches) {
        std::vector<const fleet_member *> candidates;
        for (const auto &member : members) {
            if (member.state == member_state::alive && !contains(group, member.host) && matches(member)) {
                candidates.push_back(&member);
            }
        }
        if (const auto *chosen = chooseMember(candidates, previous, placementKey)) {
            group.push_back({.host = chosen->host, .incarnation = chosen->incarnation, .address = chosen->rpcAddress});
        }
    };
    // One member is always in another region, so that the region's own hosts are a majority but not the whole group.
    for (const auto &domain : region.domains) {
        if (group.size() + 1 < groupSize) {
            addMember(domain.view(), [&](const fleet_member &member) { return member.domain == domain; });
        }
    }
    while (group.size() < groupSize) {
        const std::size_t before = group.size();
        addMember(region.name.view(), [&](const fleet_member &member) { return member.region != region.name; });
        if (group.size() == before) {
            break;
        }
    }
    return group;
}

} // namespace hornbeampick
