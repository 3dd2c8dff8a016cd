#include "steering/ownership.h"

#include "core/digest.h"

#include <tuple>

namespace hornbeampick
{

std::optional<host_name> ownerOf(std::string_view key, std::span<const host_name> candidates)
{
    const host_name *best = nullptr;
    std::uint64_t bestWeight = 0;
    const std::uint64_t seed = stableHash(key);
    for (const auto &candidate : candidates) {
        const std::uint64_t weight = stableHash(candidate.view(), seed);
        if (best == nullptr || std::tie(weight, candidate) > std::tie(bestWeight, *best)) {
            best = &candidate;
            bestWeight = weight;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return *best;
}

} // namespace hornbeampick
