#include "caller_call.h"

#include <limits>

namespace hornbeampick
{

const service_name &chooseService(const route &matched, std::string_view id)
{
    double total = 0;
    for (const auto &part : matched.services) {
        total += part.weight;
    }
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double left = static_cast<double>(stableHash(id)) / range * total;
    for (const auto &part : matched.services) {
        left -= part.weight;
        if (left < 0) {
            return part.service;
        }
    }
    return matched.services.back().service;
}

} // namespace hornbeampick
