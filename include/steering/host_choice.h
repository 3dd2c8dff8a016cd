#pragma once

#include "core/names.h"
#include "steering/load_view.h"
#include "steering/service_pool.h"

#include <span>
#include <vector>

namespace hornbeampick
{

/// Hosts to ask for a slot, best first, at most `most`.
///
/// This host goes first while it has a slot free, since that saves a hop, or when no other is thought to have
/// more. `own` has no slots when this host owns no upstream of the service in the region.
std::vector<host_name> orderHosts(const host_name &self, const pool_load &own, std::span<const load_candidate> candidates, std::size_t most);

} // namespace hornbeampick
