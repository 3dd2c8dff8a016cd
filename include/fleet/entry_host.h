#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>

namespace hornbeampick
{

/// The identity and state that an entry host sends to control hosts.
struct entry_host {
    host_name host;
    /// "ip:port" where callers connect.
    std::string address;
    region_name region;
    domain_name domain;
    /// Differs for every start of the process.
    std::uint64_t incarnation = 0;
    /// False until the host has received the routes, and again once it is stopping.
    bool serving = false;
    /// "ip:port" where it takes requests from other entry hosts.
    std::string relayAddress {};
    /// True while the host reaches no upstream.
    bool isolated = false;

    bool operator==(const entry_host &) const = default;
};

/// An entry host that passes on requests of entry hosts that reach no upstream.
struct relay_peer {
    /// "ip:port" where it takes requests from other entry hosts.
    std::string address;
    region_name region;

    bool operator==(const relay_peer &) const = default;
};

} // namespace hornbeampick
