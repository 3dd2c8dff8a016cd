#pragma once

#include "core/names.h"

#include <optional>
#include <span>
#include <vector>

namespace hornbeampick
{

/// A region and its failure domains, which `topology` sorts by name.
struct region_domains {
    region_name name;
    std::vector<domain_name> domains;
};

/// The regions of the fleet and their failure domains, sorted by name. Immutable.
class topology
{
public:
    explicit topology(std::vector<region_domains> regions);

    [[nodiscard]] std::span<const region_domains> regions() const
    {
        return m_regions;
    }

    /// Returns null when there is no such region. The pointer is valid as long as the topology.
    [[nodiscard]] const region_domains *find(const region_name &name) const;

    /// Returns the region of a failure domain; empty when the failure domain is unknown.
    [[nodiscard]] std::optional<region_name> regionOf(const domain_name &domain) const;

    /// Returns the index of `domain` among the failure domains of its region, in name order; empty when it is unknown.
    [[nodiscard]] std::optional<std::size_t> positionOf(const domain_name &domain) const;

private:
    std::vector<region_domains> m_regions;
};

/// The host, region and failure domain of a process.
struct location {
    host_name host;
    region_name region;
    domain_name domain;
};

} // namespace hornbeampick
