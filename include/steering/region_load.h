#pragma once

#include "core/names.h"

#include <cstdint>

namespace hornbeampick
{

/// A region's slots of one service, as hosts reported them last.
struct region_load {
    region_name region;
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
};

} // namespace hornbeampick
