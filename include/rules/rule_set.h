#pragma once

#include "core/clock.h"
#include "core/digest.h"
#include "core/names.h"
#include "rules/block_table.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// The line of a rule in its file and the person or team that requested it.
struct rule_origin {
    std::uint32_t line = 0;
    std::string requester;
};

/// Half-open interval of wall time; an absent bound is unbounded.
struct time_window {
    std::optional<wall_ms> from;
    std::optional<wall_ms> until;

    /// Returns whether `now` is in the interval. The start is moved earlier by `lead`.
    [[nodiscard]] bool contains(wall_ms now, milliseconds lead = {}) const;
    [[nodiscard]] bool overlaps(const time_window &other) const;
};

/// Limits the requests of `service` that `region` admits in any second to `perSecond`.
struct capacity_rule {
    region_name region;
    service_name service;
    std::uint32_t perSecond = 0;
    rule_origin origin;
};

/// Limits the traffic between two regions to `bitsPerSecond` in each direction.
struct link_rule {
    region_name first;
    region_name second;
    std::uint64_t bitsPerSecond = 0;
    rule_origin origin;
};

/// Shifts the share `numerator`/`denominator` of a region's client blocks to another region, up to `perSecond` if set.
struct shift_rule {
    service_name service;
    region_name from;
    region_name to;
    std::uint32_t numerator = 0;
    std::uint32_t denominator = 1;
    std::optional<std::uint32_t> perSecond;
    time_window window;
    rule_origin origin;
};

enum class drain_target {
    region,
    failureDomain,
    host,
    upstream,
};

/// Returns the keyword of a drain target in rule files.
std::string_view keywordOf(drain_target target);

/// Drains a region, failure domain, host or upstream during `window`.
struct drain_rule {
    drain_target target = drain_target::region;
    std::string name;
    time_window window;
    rule_origin origin;
};

/// Rests a service in a region during `window`: the region serves no requests of it.
struct rest_rule {
    service_name service;
    region_name region;
    time_window window;
    rule_origin origin;
};

/// A region that is home to client blocks, and the first rule that refers to it.
struct home_reference {
    region_name home;
    rule_origin origin;
};

/// The parsed rules of one chunk of the file; internal to the parser.
struct parsed_chunk;

/// The rules of a valid rule file. Immutable after parsing; shared as a pointer to const.
struct rule_set {
    std::uint64_t version = 0;
    std::vector<capacity_rule> capacities;
    std::vector<link_rule> links;
    std::vector<shift_rule> shifts;
    std::vector<drain_rule> drains;
    std::vector<rest_rule> rests;
    std::vector<home_reference> homeReferences;
    // Regions by `region_index` of `homes`; may contain unused regions of an earlier version of the file.
    std::vector<region_name> homeRegions;
    block_table homes;
    // In file order; a later version of the file reuses the chunks that it still contains.
    std::vector<std::shared_ptr<const parsed_chunk>> parsedChunks;

    [[nodiscard]] bool isDrained(drain_target target, std::string_view name, wall_ms now, milliseconds lead = {}) const;
    [[nodiscard]] bool isResting(const service_name &service, const region_name &region, wall_ms now, milliseconds lead = {}) const;
    /// Returns null when no capacity is set.
    [[nodiscard]] const capacity_rule *capacityOf(const region_name &region, const service_name &service) const;
    /// Returns null when no cap is set. The order of the regions does not matter.
    [[nodiscard]] const link_rule *linkBetween(const region_name &a, const region_name &b) const;
    /// Returns the home region of `client`; empty when no block contains it.
    [[nodiscard]] std::optional<region_name> homeOf(ipv4 client) const;
};

} // namespace hornbeampick
