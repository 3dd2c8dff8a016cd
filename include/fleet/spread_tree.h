#pragma once

#include "core/names.h"
#include "fleet/member_table.h"

#include <cstddef>
#include <span>
#include <vector>

namespace hornbeampick
{

/// Returns the members that `self` notifies of a new rule version in the dissemination tree rooted at `root`.
///
/// The root notifies the first host of each other region; the first host of a region notifies the first host of each failure
/// domain in it; within a failure domain the hosts form a `fanout`-ary heap. Every daemon derives the same tree from the same
/// membership table. Hosts that are missed because of a stale table catch up through gossip exchanges.
std::vector<fleet_member> spreadChildren(std::span<const fleet_member> members, const host_name &self, const host_name &root, std::size_t fanout);

} // namespace hornbeampick
