#pragma once

#include "core/digest.h"
#include "core/names.h"

#include <cstdint>

namespace hornbeampick
{

/// Identifies an upstream incarnation that terminated while it ran a request.
struct upstream_death {
    /// Content digest of the request.
    digest request;
    instance_name instance;
    std::uint64_t incarnation = 0;

    bool operator==(const upstream_death &) const = default;
};

} // namespace hornbeampick
