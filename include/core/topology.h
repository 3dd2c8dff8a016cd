#pragma once

#include "core/names.h"

#include <optional>
#include <span>
#include <vector>

namespace hornbeampick
{

/// A region and its failure domains, sorted by name.
struct region_domains {
    region_name name;
    std::vector<domain_name> domains;
};

/// The regions and failure domains of the fleet. Immutable.
class topology
{
public:
    explicit topology(std::vector<region_domains> regions);

    [[nodiscard]] std::span<const region_domains> regions() const
    {
        return m_regions;
    }

    /// Null when there is no such region.
    [[nodiscard]] const region_domains *find(const region_name &name) const;

    /// The region of a failure domain; empty when there is none.
    [[nodiscard]] std::optional<region_name> regionOf(const domain_name &domain) const;

    /// Position of `domain` within its region, in name order; empty when there is none.
    [[nodiscard]] std::optional<std::size_t> positionOf(const domain_name &domain) const;

private:
    std::vector<region_domains> m_regions;
};

/// Where a process stands.
struct location {
    host_name host;
    region_name region;
    domain_name domain;
};

} // namespace hornbeampick
