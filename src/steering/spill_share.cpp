#include "steering/spill_share.h"

#include <algorithm>
#include <limits>

namespace hornbeampick
{

spill_share::spill_share(const spill_options &options)
    : m_options(options)
{
}

void spill_share::observe(double home, double others, steady_time now)
{
    m_homeSum += home;
    m_othersSum += others;
    ++m_samples;
    if (now < m_nextStep) {
        return;
    }
    if (m_nextStep != steady_time {}) {
        stepOnce();
    }
    m_nextStep = now + m_options.interval;
    m_homeSum = m_othersSum = 0;
    m_samples = 0;
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
    if (home > m_options.giveAbove && others < m_options.fullAbove) {
        m_share = std::min(m_share + m_options.step, m_options.most);
    } else if (home < m_options.takeBelow || others > 1) {
        m_share = std::max(m_share - m_options.step, 0.0);
    }
}

} // namespace hornbeampick
