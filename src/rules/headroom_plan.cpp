#include "rules/headroom_plan.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

bool acceptsTraffic(const rule_set &rules, const service_name &service, const region_name &region, wall_ms now)
{
    return !rules.isDrained(drain_target::region, region.view(), now) && !rules.isResting(service, region, now);
}

region_demand *find(std::vector<region_demand> &demands, const region_name &region)
{
    const auto found = std::ranges::find(demands, region, &region_demand::region);
    return found == demands.end() ? nullptr : &*found;
}

void applyShifts(const rule_set &rules, const service_name &service, std::span<const region_demand> present, std::vector<region_demand> &planned, wall_ms now)
{
    for (const auto &shift : rules.shifts) {
        const auto source = std::ranges::find(present, shift.from, &region_demand::region);
        auto *from = find(planned, shift.from);
        auto *to = find(planned, shift.to);
        const bool applies = shift.service == service && shift.window.contains(now) && from != nullptr && to != nullptr && source != present.end();
        if (!applies || !acceptsTraffic(rules, service, shift.to, now)) {
            continue;
        }
        const double moved = source->busy * shift.numerator / shift.denominator;
        from->busy -= moved;
        to->busy += moved;
    }
}

void redistribute(const rule_set &rules, const service_name &service, region_demand &drained, std::vector<region_demand> &planned, wall_ms now)
{
    double slots = 0;
    for (const auto &each : planned) {
        slots += acceptsTraffic(rules, service, each.region, now) ? each.slots : 0;
    }
    if (slots == 0) {
        return;
    }
    for (auto &each : planned) {
        if (acceptsTraffic(rules, service, each.region, now)) {
            each.busy += drained.busy * each.slots / slots;
        }
    }
    drained.busy = 0;
}

} // namespace

std::vector<region_demand> planDemand(const rule_set &rules, const service_name &service, std::span<const region_demand> present, wall_ms now)
{
    std::vector<region_demand> planned(present.begin(), present.end());
    applyShifts(rules, service, present, planned, now);
    for (auto &each : planned) {
        if (!acceptsTraffic(rules, service, each.region, now)) {
            redistribute(rules, service, each, planned, now);
        }
    }
    return planned;
}

} // namespace hornbeampick
