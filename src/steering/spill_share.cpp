#include "steering/spill_share.h"

#include <algorithm>
#include <limits>

namespace hornbeampick
{

namespace
{

// Fill of regions without any slot.
constexpr double nowhere = 2;

} // namespace

spill_share::spill_share(const spill_options &options)
    : m_options(options)
{
}

void spill_share::observe(const spill_sample &sample, steady_time now)
{
    if (m_startedAt == steady_time {}) {
        m_startedAt = now;
        m_nextStep = now + m_options.settlingInterval;
    }
    ++m_arrivals;
    ++m_samples;
    m_homeSum += sample.homeSlots > 0 ? sample.homeLoad / sample.homeSlots : 1;
    m_othersSum += sample.othersSlots > 0 ? sample.othersLoad / sample.othersSlots : nowhere;
    if (now < m_nextStep) {
        return;
    }
    const bool settling = now < m_startedAt + m_options.settling;
    if (settling) {
        settle(sample, now);
    } else {
        stepOnce();
    }
    m_nextStep = now + (settling ? m_options.settlingInterval : m_options.interval);
    m_homeSum = m_othersSum = 0;
    m_samples = 0;
}

// The demand by the first arrivals, against the slots at home.
void spill_share::settle(const spill_sample &sample, steady_time now)
{
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_startedAt).count();
    const double demand = static_cast<double>(m_arrivals) / elapsedMs * sample.hosts * sample.workMs;
    if (demand <= 0 || sample.othersSlots <= 0) {
        return;
    }
    // What the others ask for is not known yet: as much, each of them. A burst at the start then floods nobody.
    const double even = 1 - sample.regions * sample.homeSlots / (sample.homeSlots + sample.othersSlots);
    const double wanted = 1 - m_options.startAbove * sample.homeSlots / demand;
    m_share = std::clamp(std::min(wanted, even), 0.0, m_options.most);
}

bool spill_share::spills(std::uint64_t objectHash) const
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(objectHash) < m_share * range;
}

void spill_share::stepOnce()
{
    const double home = m_homeSum / static_cast<double>(m_samples);
    const double others = m_othersSum / static_cast<double>(m_samples);
    const double giveAbove = std::max(m_options.giveAbove, others + m_options.margin);
    const double takeBelow = std::clamp(others - m_options.margin, m_options.idleBelow, m_options.takeBelow);
    if (home > giveAbove && others < m_options.fullAbove) {
        m_share = std::min(m_share + m_options.step, m_options.most);
    } else if (home < takeBelow || others > 1) {
        m_share = std::max(m_share - m_options.stepBack, 0.0);
    }
}

} // namespace hornbeampick
