#include "core/topology.h"

#include <algorithm>

namespace hornbeampick
{

topology::topology(std::vector<region_domains> regions)
    : m_regions(std::move(regions))
{
    std::ranges::sort(m_regions, {}, &region_domains::name);
    for (auto &region : m_regions) {
        std::ranges::sort(region.domains);
    }
}

const region_domains *topology::find(const region_name &name) const
{
    const auto found = std::ranges::find(m_regions, name, &region_domains::name);
    return found == m_regions.end() ? nullptr : &*found;
}

std::optional<region_name> topology::regionOf(const domain_name &domain) const
{
    for (const auto &region : m_regions) {
        if (std::ranges::binary_search(region.domains, domain)) {
            return region.name;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> topology::positionOf(const domain_name &domain) const
{
    for (const auto &region : m_regions) {
        const auto found = std::ranges::find(region.domains, domain);
        if (found != region.domains.end()) {
            return static_cast<std::size_t>(found - region.domains.begin());
        }
    }
    return std::nullopt;
}

} // namespace hornbeampick
