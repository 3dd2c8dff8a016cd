#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "rules/rule_set.h"

#include <span>
#include <vector>

namespace hornbeampick
{

/// Busy slots of one service in one region.
struct region_demand {
    region_name region;
    double busy = 0;
    std::uint32_t slots = 0;
};

/// Where the present demand of a service would go under `rules` at `now`, with shifts at their full share.
///
/// Drained and resting regions give all they have to the others, in proportion to slots. An estimate: the
/// demand of a region is taken for that of its own clients.
std::vector<region_demand> planDemand(const rule_set &rules, const service_name &service, std::span<const region_demand> present, wall_ms now);

} // namespace hornbeampick
