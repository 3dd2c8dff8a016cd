#pragma once

#include "core/names.h"

#include <cstdint>
#include <string>

namespace hornbeampick
{

/// An entry host as it describes itself to control hosts.
struct entry_host {
    host_name host;
    // "ip:port" where callers connect.
    std::string address;
    region_name region;
    domain_name domain;
    // Another with each start of the host.
    std::uint64_t incarnation = 0;
    // False before it knows the routes and once it is stopping.
    bool serving = false;

    bool operator==(const entry_host &) const = default;
};

} // namespace hornbeampick
