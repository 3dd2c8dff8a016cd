#include "steering/spill_share.h"

#include <algorithm>
#include <limits>

namespace hornbeampick
{

namespace
{

// Utilisation that is assumed for other regions without slots.
constexpr double noSlotsUtilisation = 2;

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
    }
    ++m_arrivals;
    ++m_samples;
    m_homeUtilisationSum += sample.homeSlots > 0 ? sample.homeLoad / sample.homeSlots : 1;
    m_othersUtilisationSum += sample.othersSlots > 0 ? sample.othersLoad / sample.othersSlots : noSlotsUtilisation;
    if (now < m_nextStep) {
        return;
    }
    const bool inStartup = now < m_startedAt + m_options.startupTime;
    if (inStartup) {
        setFromDemand(sample, now);
    } else {
        adjustShare();
    }
    m_nextStep = now + (inStartup ? m_options.startupInterval : m_options.stepInterval);
    m_homeUtilisationSum = m_othersUtilisationSum = 0;
    m_samples = 0;
}

// Sets the share from the demand estimated from the first arrivals and the slots of the home region.
void spill_share::setFromDemand(const spill_sample &sample, steady_time now)
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_startedAt).count();
    const double demand = static_cast<double>(m_arrivals) / elapsedMs * sample.hosts * sample.serviceTimeMs;
    if (demand <= 0 || sample.othersSlots <= 0) {
        return;
    }
    // The demand of the other regions is not known yet; each is assumed to have the same, so that a burst during start-up does not
    // overload them.
    const double evenSplit = 1 - sample.regions * sample.homeSlots / (sample.homeSlots + sample.othersSlots);
    const double wanted = 1 - m_options.startupHomeUtilisation * sample.homeSlots / demand;
    m_share = std::clamp(std::min(wanted, evenSplit), 0.0, m_options.maxShare);
}

bool spill_share::spills(std::uint64_t objectHash) const
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(objectHash) < m_share * range;
}

void spill_share::adjustShare()
{
    const double home = m_homeUtilisationSum / static_cast<double>(m_samples);
    const double others = m_othersUtilisationSum / static_cast<double>(m_samples);
    const double spillAbove = std::max(m_options.spillAbove, others + m_options.margin);
    const double returnBelow = std::clamp(others - m_options.margin, m_options.returnAllBelow, m_options.returnBelow);
    if (home > spillAbove && others < m_options.othersFullFrom) {
        m_share = std::min(m_share + m_options.step, m_options.maxShare);
    } else if (home < returnBelow || others > 1) {
        m_share = std::max(m_share - m_options.returnStep, 0.0);
    }
}

} // namespace hornbeampick
