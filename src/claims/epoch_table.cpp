#include "claims/epoch_table.h"

namespace hornbeampick
{

void epoch_table::update(std::span<const claim_epoch> epochs)
{
    std::map<region_name, std::map<std::uint64_t, claim_group>> groups;
    for (const auto &epoch : epochs) {
        const epoch_id id {.region = epoch.region, .host = {}, .number = epoch.number};
        groups[epoch.region][epoch.number] = {.epoch = id, .members = epoch.members, .openedAt = epoch.openedAt};
    }
    const std::lock_guard guard(m_lock);
    m_groups = std::move(groups);
}

std::optional<claim_group> epoch_table::current(const region_name &region) const
{
    const std::lock_guard guard(m_lock);
    const auto found = m_groups.find(region);
    if (found == m_groups.end()) {
        return std::nullopt;
    }
    return found->second.rbegin()->second;
}

std::optional<claim_group> epoch_table::find(const epoch_id &epoch) const
{
    const std::lock_guard guard(m_lock);
    const auto region = m_groups.find(epoch.region.value_or(region_name()));
    if (region == m_groups.end()) {
        return std::nullopt;
    }
    const auto group = region->second.find(epoch.number);
    if (group == region->second.end()) {
        return std::nullopt;
    }
    return group->second;
}

bool epoch_table::isClosed(const epoch_id &epoch) const
{
    const std::lock_guard guard(m_lock);
    const auto region = m_groups.find(epoch.region.value_or(region_name()));
    return region != m_groups.end() && !region->second.contains(epoch.number) && region->second.rbegin()->first > epoch.number;
}

std::map<region_name, std::uint64_t> epoch_table::firstOpen() const
{
    const std::lock_guard guard(m_lock);
    std::map<region_name, std::uint64_t> first;
    for (const auto &[region, groups] : m_groups) {
        first[region] = groups.begin()->first;
    }
    return first;
}

} // namespace hornbeampick
