#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// Membership states, ordered from best to worst.
enum class member_state {
    alive,
    suspect,
    leaving,
    dead,
};

/// Returns the name of `state` as used in the status output and in metrics.
std::string_view textOf(member_state state);

/// The membership record of one daemon, as exchanged by gossip.
struct fleet_member {
    host_name host;
    std::string httpAddress;
    std::string rpcAddress;
    region_name region;
    domain_name domain;
    /// Increases with each start of the process.
    std::uint64_t incarnation = 0;
    /// Increases with each change that the daemon itself publishes within an incarnation.
    std::uint64_t sequence = 0;
    member_state state = member_state::alive;

    bool operator==(const fleet_member &) const = default;

    /// Returns true when the daemon takes part in upstream ownership and claims: a suspect still does.
    [[nodiscard]] bool serves() const
    {
        return state == member_state::alive || state == member_state::suspect;
    }
};

} // namespace hornbeampick
