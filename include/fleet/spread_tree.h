#pragma once

#include "core/names.h"
#include "fleet/member_table.h"

#include <cstddef>
#include <span>
#include <vector>

namespace hornbeampick
{

/// Whom `self` tells of a new rule version that started at `root`.
///
/// The root tells the first host of each region, that one the first of each failure domain of its region,
/// and within a failure domain the hosts form a heap of `fanout`. Every daemon derives the same
/// tree from the same table; exchanges repair what a stale table misses.
std::vector<fleet_member> spreadChildren(std::span<const fleet_member> members, const host_name &self, const host_name &root, std::size_t fanout);

} // namespace hornbeampick
