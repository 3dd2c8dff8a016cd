#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <cstdint>
#include <string>

namespace hornbeampick
{

/// What an upstream says of itself, from best to worst.
enum class upstream_state {
    warming,
    active,
    draining,
    gone,
};

/// One announcement of an upstream.
struct upstream_report {
    service_name service;
    instance_name instance;
    std::string address;
    domain_name domain;
    // Rises with each start of the upstream.
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    upstream_state state = upstream_state::active;
    std::uint32_t inFlight = 0;
    // By the upstream's own clock or count; rises with each report.
    wall_ms reportedAt = 0;
    // How long it stays cold; 0 when it is warm.
    milliseconds warmupLeft {0};
    // Its reports have stopped.
    bool silent = false;
    // When it said that it leaves without naming its life, by the wall clock of the host that heard it; 0: it did not.
    wall_ms leftAt = 0;

    bool operator==(const upstream_report &) const = default;
};

/// True when `heard` tells more than `known`: a later life, a later report, or at equal times a worse state.
bool supersedes(const upstream_report &heard, const upstream_report &known);

} // namespace hornbeampick
