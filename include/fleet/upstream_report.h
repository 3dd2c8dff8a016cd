#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"

#include <cstdint>
#include <set>
#include <string>

namespace hornbeampick
{

/// States that an upstream announces, ordered from best to worst.
enum class upstream_state {
    warming,
    active,
    draining,
    gone,
};

/// The announcement of an upstream, as sent by the upstream and completed by a control host.
struct upstream_report {
    service_name service;
    instance_name instance;
    std::string address;
    domain_name domain;
    /// Increases with each start of the upstream.
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
    upstream_state state = upstream_state::active;
    std::uint32_t inFlight = 0;
    /// Increases with each report; by the upstream's own clock or counter, so not comparable to local times.
    wall_ms reportedAt = 0;
    /// Remaining warm-up time; 0 when the upstream is warm.
    milliseconds warmupLeft {0};
    /// True when no reports have arrived within the timeout of the control host.
    bool silent = false;
    /// When the upstream deregistered without giving its incarnation, by the wall clock of the host that received the call;
    /// 0 when it did not.
    wall_ms leftAt = 0;

    bool operator==(const upstream_report &) const = default;
};

/// Checks whether a report can be used: plain names, an address unless it only deregisters, and numbers that are plausible at the wall-clock
/// time `now`, so that a later report of the same upstream still replaces it. Errors: malformedAnnouncement.
status checkReport(const upstream_report &report, wall_ms now);

/// Returns true when `incoming` replaces `known`: a later incarnation, a later report, or a worse state at equal times. Within
/// an incarnation, `gone` is final, and a change to draining or gone applies even if its report is the older one.
bool supersedes(const upstream_report &incoming, const upstream_report &known);

/// Returns the failure domain to record for `incoming`: within an incarnation, the one that was reported first.
[[nodiscard]] const domain_name &keptDomain(const upstream_report &known, const upstream_report &incoming);

/// Returns true when `later` ends `earlier`: another upstream that started later at the same address. One whose service is not in
/// `knownServices` ends only upstreams of its own service, since it may be no upstream at all.
bool takesOverAddress(const upstream_report &later, const upstream_report &earlier, const std::set<service_name> &knownServices);

} // namespace hornbeampick
