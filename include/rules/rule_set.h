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

/// Where a rule stands in its file, and who asked for it.
struct rule_origin {
    std::uint32_t line = 0;
    std::string requester;
};

/// Half-open span of wall time; an absent end is open.
struct time_window {
    std::optional<wall_ms> from;
    std::optional<wall_ms> until;

    /// `lead` moves the start earlier.
    [[nodiscard]] bool contains(wall_ms now, milliseconds lead = {}) const;
    [[nodiscard]] bool overlaps(const time_window &other) const;
};

/// At most `perSecond` requests of `service` are admitted by `region` in any second.
struct capacity_rule {
    region_name region;
    service_name service;
    std::uint32_t perSecond = 0;
    rule_origin origin;
};

/// At most `bitsPerSecond` cross between the regions, each way.
struct link_rule {
    region_name first;
    region_name second;
    std::uint64_t bitsPerSecond = 0;
    rule_origin origin;
};

/// Moves `numerator`/`denominator` of a region's client blocks to another region.
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

/// The keyword of a drain target in a rule file.
std::string_view keywordOf(drain_target target);

struct drain_rule {
    drain_target target = drain_target::region;
    std::string name;
    time_window window;
    rule_origin origin;
};

struct rest_rule {
    service_name service;
    region_name region;
    time_window window;
    rule_origin origin;
};

/// A region that is home to client blocks, and the first line that says so.
struct home_use {
    region_name home;
    rule_origin origin;
};

/// The parser's own view of a part of the file.
struct parsed_chunk;

/// A whole rule file, checked. Immutable once parsed; shared by const pointer.
struct rule_set {
    std::uint64_t version = 0;
    std::vector<capacity_rule> capacities;
    std::vector<link_rule> links;
    std::vector<shift_rule> shifts;
    std::vector<drain_rule> drains;
    std::vector<rest_rule> rests;
    std::vector<home_use> homeUses;
    // Homes of `homes` are positions in this list; an earlier file's home may be left unused.
    std::vector<region_name> homeRegions;
    block_table homes;
    // In the order of the file; what a later file still has is not read again.
    std::vector<std::shared_ptr<const parsed_chunk>> parts;

    [[nodiscard]] bool isDrained(drain_target target, std::string_view name, wall_ms now, milliseconds lead = {}) const;
    [[nodiscard]] bool isResting(const service_name &service, const region_name &region, wall_ms now, milliseconds lead = {}) const;
    /// Null when no capacity is set.
    [[nodiscard]] const capacity_rule *capacityOf(const region_name &region, const service_name &service) const;
    /// Null when no cap is set; the order of the regions does not matter.
    [[nodiscard]] const link_rule *linkBetween(const region_name &a, const region_name &b) const;
    /// Empty when no block holds `client`.
    [[nodiscard]] std::optional<region_name> homeOf(ipv4 client) const;
};

} // namespace hornbeampick
