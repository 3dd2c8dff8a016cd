#include "steering/drain_schedule.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Part of the grace period that the drain leaves unused, so that the process exits before it is killed.
constexpr milliseconds maxExitReserve {600};
// The same as a divisor of a short grace period. Operators expect a host to work until the last sixth of it.
constexpr int exitReserveDivisor = 8;
// Time for the response to a request that ends at its deadline.
constexpr milliseconds responseReserve {200};
// Some callers cache look-ups for longer than their lifetime. New connections are accepted for this many lifetimes.
constexpr int lookupLifetimesAccepted = 2;
// Callers that send requests for longer than this after the start of a drain expect each one that is taken to be answered.
constexpr milliseconds maxLateDeadlineTime {2700};
// Few requests run for longer than their usual run time by this factor.
constexpr double longRunFactor = 1.5;

milliseconds exitReserveOf(milliseconds grace)
{
    return std::min(maxExitReserve, grace / exitReserveDivisor);
}

} // namespace

drain_schedule::drain_schedule(const drain_options &options, steady_time startedAt)
    : m_end(startedAt + options.grace - exitReserveOf(options.grace))
    , m_acceptUntil(std::min(startedAt + lookupLifetimesAccepted * options.lookupLifetime, m_end))
    , m_lateDeadlinesUntil(startedAt + std::min<steady_time::duration>((m_end - startedAt) / 2, maxLateDeadlineTime))
    , m_lastDeadline(m_end - responseReserve)
{
}

bool drain_schedule::mayStart(steady_time now, const request_times &request) const
{
    if (request.deadline <= m_lastDeadline) {
        return true;
    }
    const auto longRunTime = std::chrono::duration_cast<milliseconds>(longRunFactor * request.usualRunTime);
    const bool isExpectedToEnd = request.usualRunTime == milliseconds(0) || now + longRunTime <= m_lastDeadline;
    return now < m_lateDeadlinesUntil && isExpectedToEnd;
}

} // namespace hornbeampick
