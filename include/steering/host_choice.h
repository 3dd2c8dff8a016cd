#pragma once

#include "core/names.h"
#include "steering/load_view.h"
#include "steering/service_pool.h"

#include <span>
#include <vector>

namespace hornbeampick
{

/// Returns at most `limit` hosts to ask for a slot, best first.
///
/// This host comes first while it has a free slot, since that saves a hop, or when no other host is known to have more free
/// slots. `own` has no slots when this host owns no upstream of the service in the region.
std::vector<host_name> orderHosts(const host_name &self, const pool_load &own, std::span<const load_candidate> candidates, std::size_t limit);

} // namespace hornbeampick
