#include "fleet/upstream_report.h"

#include "core/text.h"
#include "rules/block_table.h"

#include <algorithm>
#include <tuple>

namespace hornbeampick
{

namespace
{

constexpr std::uint32_t maxSlots = 65536;
// Warm-up times are seconds. While one lasts, an upstream receives few requests.
constexpr milliseconds maxWarmup = std::chrono::minutes(10);
// The largest whole number that every JSON writer encodes exactly.
constexpr wall_ms maxSequence = 1LL << 53;
// Upper bound, with a wide margin, of the time by which the clock of an upstream is ahead of ours.
constexpr milliseconds maxClockLead = std::chrono::hours(24);

bool isPastOrNear(std::uint64_t time, wall_ms now)
{
    return time <= static_cast<std::uint64_t>(std::max<wall_ms>(now, 0) + maxClockLead.count());
}

bool hasPlausibleNumbers(const upstream_report &report, wall_ms now)
{
    const bool hasPlausibleTimes = isPastOrNear(report.incarnation, now) && report.leftAt >= 0 && isPastOrNear(static_cast<std::uint64_t>(report.leftAt), now);
    const bool hasPlausibleWarmup = report.warmupLeft >= milliseconds(0) && report.warmupLeft <= maxWarmup;
    return hasPlausibleTimes && hasPlausibleWarmup && report.reportedAt >= 0 && report.reportedAt <= maxSequence && report.slots <= maxSlots;
}

bool hasNames(const upstream_report &report)
{
    return isPlainName(report.instance.view()) && report.service.view().size() <= maxNameLength && report.domain.view().size() <= maxNameLength;
}

// A message may hold any value of an enumeration.
bool hasKnownState(const upstream_report &report)
{
    return report.state >= upstream_state::warming && report.state <= upstream_state::gone;
}

bool hasAddress(const upstream_report &report)
{
    const auto endpoint = parseEndpoint(report.address);
    // Connections to the unspecified address 0.0.0.0 reach the local host.
    return endpoint.port != 0 && parseIpv4(endpoint.ip).value_or(0) != 0;
}

} // namespace

status checkReport(const upstream_report &report, wall_ms now)
{
    const bool onlyDeregisters = report.state == upstream_state::gone && report.address.empty();
    const bool isUsable = hasNames(report) && hasKnownState(report) && (onlyDeregisters || hasAddress(report)) && hasPlausibleNumbers(report, now);
    return isUsable ? status(success()) : status(make_error_code(errc::malformedAnnouncement));
}

bool supersedes(const upstream_report &incoming, const upstream_report &known)
{
    // An upstream that is gone does not return within the same incarnation.
    if (known.state == upstream_state::gone && incoming.incarnation == known.incarnation) {
        return false;
    }
    // A delayed report of draining or gone still applies, even if it is older: stopping too early is the safe side.
    const bool leaves = incoming.incarnation == known.incarnation && incoming.state > known.state && incoming.state >= upstream_state::draining;
    const auto rank = [](const upstream_report &report) { return std::tuple(report.incarnation, report.reportedAt, report.state); };
    return leaves || rank(incoming) > rank(known);
}

const domain_name &keptDomain(const upstream_report &known, const upstream_report &incoming)
{
    return incoming.incarnation == known.incarnation && !known.domain.empty() ? known.domain : incoming.domain;
}

bool takesOverAddress(const upstream_report &later, const upstream_report &earlier, const std::set<service_name> &knownServices)
{
    const bool sharesAddress = !later.address.empty() && later.address == earlier.address && later.instance != earlier.instance;
    return sharesAddress && later.incarnation > earlier.incarnation && (later.service == earlier.service || knownServices.contains(later.service));
}

} // namespace hornbeampick
