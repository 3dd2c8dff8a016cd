#include "steering/spill_share.h"

#include <algorithm>
#include <limits>

namespace hornbeampick
{

namespace
{

// Utilisation that is assumed for other regions without slots.
constexpr double noSlotsUtilisation = 2;
// Entry hosts that are added to the known ones of each region. At a start a control host has heard of a few hosts only, whose
// distribution over the regions says little.
constexpr double assumedHostsPerRegion = 4;

// Returns the fraction of all requests that is expected from the home region, from 0 to 1.
double demandShareOf(const spill_sample &sample, bool countsHosts)
{
    const double regions = std::max(sample.regions, 1U);
    if (!countsHosts || sample.fleetHosts < sample.hosts) {
        return 1 / regions;
    }
    return (sample.hosts + assumedHostsPerRegion) / (sample.fleetHosts + assumedHostsPerRegion * regions);
}

} // namespace

spill_share::spill_share(const spill_options &options)
    : m_options(options)
{
}

void spill_share::observe(const spill_sample &sample, steady_time now)
{
    if (m_startedAt == steady_time {}) {
        m_startedAt = now;
        m_nextStep = now + m_options.startupInterval;
        // Without a count of hosts nothing is known before the first arrivals, and all objects stay at home.
        if (m_options.fromReports && sample.fleetHosts > 0) {
            setFromDemand(sample, now);
        }
    }
    ++m_arrivals;
    ++m_samples;
    m_homeUtilisationSum += sample.homeSlots > 0 ? sample.homeLoad / sample.homeSlots : 1;
    m_othersUtilisationSum += sample.othersSlots > 0 ? sample.othersLoad / sample.othersSlots : noSlotsUtilisation;
    if (now < m_nextStep) {
        return;
    }
    const auto end = m_startedAt + (m_options.fromReports && m_arrivals < m_options.startupArrivals ? m_options.longestStartup : m_options.startupTime);
    m_inStartup = m_inStartup && now < end;
    m_homeUtilisation = m_homeUtilisationSum / static_cast<double>(m_samples);
    m_othersUtilisation = m_othersUtilisationSum / static_cast<double>(m_samples);
    if (m_inStartup) {
        setFromDemand(sample, now);
    } else {
        // The steps of the time since the last arrival that was due for one.
        const auto maxSteps = m_options.fromReports ? m_options.maxStepsAtOnce : 1;
        const auto steps = 1 + std::min<std::int64_t>((now - m_nextStep) / m_options.stepInterval, maxSteps - 1);
        adjustShare(static_cast<double>(steps));
    }
    m_nextStep = now + (m_inStartup ? m_options.startupInterval : m_options.stepInterval);
    m_homeUtilisationSum = m_othersUtilisationSum = 0;
    m_samples = 0;
}

// Sets the share from the demand estimated from the first arrivals and the slots of the home region.
void spill_share::setFromDemand(const spill_sample &sample, steady_time now)
{
    if (sample.othersSlots <= 0 || (m_options.fromReports && sample.homeSlots <= 0) || sample.serviceTimeMs <= 0) {
        return;
    }
    // The demand of the other regions is not known yet. It is assumed to be in proportion to their entry hosts, so that a burst during
    // start-up does not overload them.
    const double demandShare = demandShareOf(sample, m_options.fromReports);
    const double slots = sample.homeSlots + sample.othersSlots;
    const double evenSplit = 1 - sample.homeSlots / slots / demandShare;
    if (evenSplit <= 0) {
        m_share = 0;
        return;
    }
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_startedAt).count();
    const double workPerArrival = sample.hosts * sample.serviceTimeMs;
    // The time that the assumed arrivals take when all regions together are as busy as the home region may be.
    const double assumedArrivals = m_options.fromReports && sample.fleetHosts > 0 ? m_options.assumedArrivals : 0;
    const double assumedMs = assumedArrivals * workPerArrival / (m_options.startupHomeUtilisation * slots * demandShare);
    const double demand = (static_cast<double>(m_arrivals) + assumedArrivals) / (elapsedMs + assumedMs) * workPerArrival;
    const double wanted = 1 - m_options.startupHomeUtilisation * sample.homeSlots / demand;
    m_share = std::clamp(std::min(wanted, evenSplit), 0.0, m_options.maxShare);
}

bool spill_share::spills(std::uint64_t objectHash) const
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(objectHash) < m_share * range;
}

void spill_share::adjustShare(double steps)
{
    const double home = m_homeUtilisation;
    const double others = m_othersUtilisation;
    const double spillAbove = std::max(m_options.spillAbove, others + m_options.margin);
    const double returnBelow = std::clamp(others - m_options.margin, m_options.returnAllBelow, m_options.returnBelow);
    if (home > spillAbove && others < m_options.othersFullFrom) {
        m_share = std::min(m_share + steps * m_options.step, m_options.maxShare);
    } else if (home < returnBelow || others > 1) {
        m_share = std::max(m_share - steps * m_options.returnStep, 0.0);
    }
}

} // namespace hornbeampick
