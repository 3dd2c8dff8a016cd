#include "steering/host_choice.h"

namespace hornbeampick
{

std::vector<host_name> orderHosts(const host_name &self, const pool_load &own, std::span<const load_candidate> candidates, std::size_t limit)
{
    std::vector<host_name> hosts;
    const bool ownFirst = own.slots > 0 && (own.free() > 0 || candidates.empty() || candidates.front().free <= own.free());
    if (ownFirst) {
        hosts.push_back(self);
    }
    for (const auto &candidate : candidates) {
        if (hosts.size() < limit) {
            hosts.push_back(candidate.host);
        }
    }
    if (!ownFirst && own.slots > 0 && hosts.size() < limit) {
        hosts.push_back(self);
    }
    return hosts;
}

} // namespace hornbeampick
