#pragma once

#include "core/error.h"
#include "rules/routing_table.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// How a caller identifies itself.
struct caller_identity {
    // Empty when the request carries no key, or several.
    std::string_view key;
    // The organisation that another entry host has found for the request; empty for requests that come from callers.
    std::string_view organisation {};
    bool isVouchedFor = false;
};

/// Whether a request may be handled, and the policy that follows from its route and organisation together.
struct access_decision {
    // ok, unknownKey, or noRegionAllowed when route and organisation allow no region in common.
    errc error = errc::ok;
    // Null when the request is anonymous. Belongs to the routes.
    const organisation *caller = nullptr;
    // 0 is the highest.
    std::uint32_t priority = 0;
    // Empty: all regions are allowed.
    std::vector<region_name> allowedRegions {};
};

/// Decides access by the organisations of `routes`. Without organisations, every request is anonymous and has the policy of its route.
/// `matched` belongs to `routes`.
[[nodiscard]] access_decision decideAccess(const route_index &routes, const route &matched, const caller_identity &identity);

} // namespace hornbeampick
