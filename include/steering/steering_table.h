#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/topology.h"
#include "fleet/member_table.h"
#include "rules/rule_set.h"
#include "steering/headroom_balance.h"
#include "steering/region_load.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// The reason for the destination region of a client block.
enum class steering_reason {
    home,
    noBlock,
    shifted,
    homeDrained,
    homeResting,
    homeHasNoHost,
    // The service prefers headroom to latency, and other regions have more of it.
    homeBusy,
    nowhere,
};

/// Returns the name of the reason, as shown to operators.
std::string_view textOf(steering_reason reason);

/// The inputs from which a steering table is built.
struct steering_inputs {
    // Null while no rules are in force.
    std::shared_ptr<const rule_set> rules;
    std::span<const region_domains> regions;
    std::span<const service_name> services;
    std::span<const fleet_member> members;
    // By service, in the order of `services`; empty when unknown.
    std::span<const std::vector<region_load>> loads;
    // By service, then by home region; empty when nothing is transferred.
    std::span<const std::vector<headroom_transfer>> transfers;
    // Home region of clients outside all client blocks.
    region_name localRegion;
    wall_ms now = 0;
    // Lifetime of cached look-ups. Look-ups honour a drain this much before its start, so that cached ones have expired by then.
    milliseconds lookupTtl {};
};

/// Result of a look-up. Indices are valid only for the table that returned it.
struct steering_choice {
    static constexpr std::size_t entriesMaximum = 4;

    region_index home = 0;
    region_index destination = 0;
    steering_reason reason = steering_reason::home;
    std::uint8_t entryCount = 0;
    std::array<std::uint16_t, entriesMaximum> entries {};

    [[nodiscard]] bool shifted() const
    {
        return reason == steering_reason::shifted;
    }
};

/// Maps each client block to a region and its entry hosts for each service, for one snapshot of rules, members and loads.
///
/// Immutable and shared between threads. It is replaced as a whole when an input changes, and once per second while a shift ramps
/// up. A look-up takes no lock and does not allocate.
class steering_table
{
public:
    static constexpr std::size_t noService = static_cast<std::size_t>(-1);

    explicit steering_table(const steering_inputs &inputs);

    /// Returns the index of a service, or `noService` when it is not configured.
    [[nodiscard]] std::size_t serviceIndex(std::string_view service) const;
    [[nodiscard]] steering_choice choose(std::size_t service, ipv4 client) const;

    [[nodiscard]] const region_name &region(region_index index) const
    {
        return m_regions[index];
    }
    [[nodiscard]] std::size_t regionCount() const
    {
        return m_regions.size();
    }
    [[nodiscard]] const fleet_member &entry(std::uint16_t index) const
    {
        return m_members[index];
    }
    [[nodiscard]] std::uint64_t ruleVersion() const
    {
        return m_rules ? m_rules->version : 0;
    }
    /// Returns the allocated memory in bytes, without the rules.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    // Client blocks with a hash below `limit`, and not below the limit of an earlier range, go to `destination`.
    struct hash_range {
        std::uint32_t limit = 0;
        region_index destination = 0;
        steering_reason reason = steering_reason::home;
    };
    // Hash ranges of one service in one home region; hashes beyond the last range stay in the home region.
    struct cell {
        std::vector<hash_range> hashRanges;
    };

    [[nodiscard]] region_index indexOf(const region_name &name) const;
    [[nodiscard]] region_index homeOf(ipv4 client) const;
    [[nodiscard]] const cell &cellOf(std::size_t service, region_index home) const;
    void addEntries(steering_choice &choice, region_index region, std::uint32_t hash) const;

    void collectMembers(const steering_inputs &inputs);
    void mapHomes();
    [[nodiscard]] bool available(const steering_inputs &inputs, const service_name &service, region_index region) const;
    [[nodiscard]] cell makeCell(const steering_inputs &inputs, std::size_t service, region_index home) const;
    void addShifts(cell &built, const steering_inputs &inputs, const service_name &service, region_index home) const;
    void addTransfers(cell &built, const steering_inputs &inputs, std::size_t service, region_index home) const;
    void addSpread(cell &built, const steering_inputs &inputs, std::size_t service, steering_reason reason) const;
    // Returns why the region cannot serve its own clients, or `home` when it can.
    [[nodiscard]] steering_reason unavailableReason(const steering_inputs &inputs, const service_name &service, region_index home) const;

    std::shared_ptr<const rule_set> m_rules;
    std::vector<region_name> m_regions;
    std::vector<service_name> m_services;
    std::vector<fleet_member> m_members;
    // Indices into m_members of the entry hosts of each region.
    std::vector<std::vector<std::uint16_t>> m_entries;
    // Maps indices of home regions in the rules to indices in m_regions.
    std::vector<region_index> m_homeIndices;
    region_index m_localRegion = 0;
    // By service, then by home region.
    std::vector<cell> m_cells;
};

} // namespace hornbeampick
