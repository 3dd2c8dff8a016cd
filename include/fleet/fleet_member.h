#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeampick
{

enum class member_state {
    alive,
    suspect,
    leaving,
    dead,
};

/// As the status and the metrics name it.
std::string_view textOf(member_state state);

/// One daemon of the fleet.
struct fleet_member {
    host_name host;
    std::string httpAddress;
    std::string rpcAddress;
    region_name region;
    domain_name domain;
    // Rises with each start of the process.
    std::uint64_t incarnation = 0;
    // Rises with each change within an incarnation.
    std::uint64_t sequence = 0;
    member_state state = member_state::alive;

    bool operator==(const fleet_member &) const = default;

    /// Takes part in ownership and claims: alive, or suspected only.
    [[nodiscard]] bool serves() const
    {
        return state == member_state::alive || state == member_state::suspect;
    }
};

} // namespace hornbeampick
