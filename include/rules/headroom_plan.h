#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "rules/rule_set.h"

#include <span>
#include <vector>

namespace hornbeampick
{

/// Demand and capacity of one service in one region, in slots.
struct region_demand {
    region_name region;
    double busy = 0;
    std::uint32_t slots = 0;
};

/// Estimates how the present demand of a service would be distributed under `rules` at `now`, with shifts at their full share.
///
/// The demand of drained and resting regions is redistributed to the other regions in proportion to their slots. This is an
/// estimate: it treats the demand in a region as the demand of that region's own clients.
std::vector<region_demand> planDemand(const rule_set &rules, const service_name &service, std::span<const region_demand> present, wall_ms now);

} // namespace hornbeampick
