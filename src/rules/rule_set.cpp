#include "rules/rule_set.h"

#include <algorithm>

namespace hornbeampick
{

bool time_window::contains(wall_ms now, milliseconds lead) const
{
    const bool begun = !from || now >= *from - lead.count();
    const bool ended = until && now >= *until;
    return begun && !ended;
}

bool time_window::overlaps(const time_window &other) const
{
    const bool endsBefore = until && other.from && *until <= *other.from;
    const bool startsAfter = from && other.until && *from >= *other.until;
    return !endsBefore && !startsAfter;
}

std::string_view keywordOf(drain_target target)
{
    switch (target) {
    case drain_target::region:
        return "region";
    case drain_target::failureDomain:
        return "failure-domain";
    case drain_target::host:
        return "host";
    case drain_target::upstream:
        return "upstream";
    }
    return "";
}

bool rule_set::isDrained(drain_target target, std::string_view name, wall_ms now, milliseconds lead) const
{
    return std::ranges::any_of(drains,
                               [&](const drain_rule &drain) { return drain.target == target && drain.name == name && drain.window.contains(now, lead); });
}

bool rule_set::isResting(const service_name &service, const region_name &region, wall_ms now, milliseconds lead) const
{
    return std::ranges::any_of(rests,
                               [&](const rest_rule &rest) { return rest.service == service && rest.region == region && rest.window.contains(now, lead); });
}

const capacity_rule *rule_set::capacityOf(const region_name &region, const service_name &service) const
{
    const auto found = std::ranges::find_if(capacities, [&](const capacity_rule &rule) { return rule.region == region && rule.service == service; });
    return found == capacities.end() ? nullptr : &*found;
}

const link_rule *rule_set::linkBetween(const region_name &a, const region_name &b) const
{
    const auto found
        = std::ranges::find_if(links, [&](const link_rule &rule) { return (rule.first == a && rule.second == b) || (rule.first == b && rule.second == a); });
    return found == links.end() ? nullptr : &*found;
}

std::optional<region_name> rule_set::homeOf(ipv4 client) const
{
    const region_index home = homes.homeOf(client);
    if (home == block_table::noHome) {
        return std::nullopt;
    }
    return homeRegions[home];
}

} // namespace hornbeampick
