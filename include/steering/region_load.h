#pragma once

#include "core/names.h"

#include <cstdint>

namespace hornbeampick
{

/// Slots and requests in flight of one service in a region, summed over the latest reports of its hosts.
struct region_load {
    region_name region;
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
};

} // namespace hornbeampick
