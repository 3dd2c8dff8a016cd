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

/// Why a client block goes where it goes.
enum class steering_reason {
    home,
    noBlock,
    shifted,
    homeDrained,
    homeResting,
    homeHasNoHost,
    // The service puts headroom first, and other regions have more.
    homeBusy,
    nowhere,
};

std::string_view textOf(steering_reason reason);

/// What a steering table is made of.
struct steering_inputs {
    // Null before the first rules are in force.
    std::shared_ptr<const rule_set> rules;
    std::span<const region_domains> regions;
    std::span<const service_name> services;
    std::span<const fleet_member> members;
    // By service, in the order of `services`; empty: unknown.
    std::span<const std::vector<region_load>> loads;
    // By service, then by home region; empty: nothing is given away.
    std::span<const std::vector<headroom_move>> moves;
    // Region of clients that no block holds.
    region_name localRegion;
    wall_ms now = 0;
    // Drains begin this much earlier, so that cached answers have run out when they start.
    milliseconds lookupTtl {};
};

/// Answer of a look-up. Positions point into the table that gave it.
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

/// Where each client block goes for each service, at one moment of rules, members and loads.
///
/// Immutable and shared: replaced as a whole when an input changes, and once a second while a shift is
/// ramped. A look-up reads it without a lock and allocates nothing.
class steering_table
{
public:
    static constexpr std::size_t noService = static_cast<std::size_t>(-1);

    explicit steering_table(const steering_inputs &inputs);

    /// Position of a service; `noService` when it is not set up.
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
    /// Heap bytes held, without the rules.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    // Blocks whose hash is below `limit` and not below an earlier part's go to `destination`.
    struct part {
        std::uint32_t limit = 0;
        region_index destination = 0;
        steering_reason reason = steering_reason::home;
    };
    // One service in one home region.
    struct cell {
        std::vector<part> parts;
    };

    [[nodiscard]] region_index indexOf(const region_name &name) const;
    [[nodiscard]] region_index homeOf(ipv4 client) const;
    [[nodiscard]] const cell &cellOf(std::size_t service, region_index home) const;
    void addEntries(steering_choice &choice, region_index region, std::uint32_t hash) const;

    void collectMembers(const steering_inputs &inputs);
    void mapHomes();
    [[nodiscard]] bool available(const steering_inputs &inputs, const service_name &service, region_index region) const;
    [[nodiscard]] cell makeCell(const steering_inputs &inputs, std::size_t service, region_index home) const;
    void addShifts(cell &made, const steering_inputs &inputs, const service_name &service, region_index home) const;
    void addMove(cell &made, const steering_inputs &inputs, std::size_t service, region_index home) const;
    void addSpread(cell &made, const steering_inputs &inputs, std::size_t service, steering_reason reason) const;
    [[nodiscard]] steering_reason whyNotHome(const steering_inputs &inputs, const service_name &service, region_index home) const;

    std::shared_ptr<const rule_set> m_rules;
    std::vector<region_name> m_regions;
    std::vector<service_name> m_services;
    std::vector<fleet_member> m_members;
    // Positions of the entry hosts of each region.
    std::vector<std::vector<std::uint16_t>> m_entries;
    // From the rules' home positions to ours.
    std::vector<region_index> m_homeMap;
    region_index m_local = 0;
    // By service, then home region.
    std::vector<cell> m_cells;
};

} // namespace hornbeampick
