#include "steering/cold_share.h"

#include <algorithm>
#include <cmath>

namespace hornbeampick
{

bool cold_share::allows(double rate, const share_of_hosts &share, steady_time warmupEnd, steady_time now)
{
    const double own = std::floor(rate / share.hosts);
    m_limiter.setLimit(static_cast<std::uint64_t>(std::max(1.0, own)));
    if (m_limiter.used(now) >= m_limiter.limit()) {
        return false;
    }
    m_turn.reset();
    if (own >= 1 || share.hosts <= minRate) {
        return true;
    }
    constexpr auto turnTime = std::chrono::duration_cast<steady_time::duration>(std::chrono::seconds(1)) / minRate;
    const std::int64_t turnsLeft = std::max(warmupEnd - now, steady_time::duration::zero()) / turnTime;
    if (turnsLeft % share.hosts != share.index || m_usedTurn == turnsLeft) {
        return false;
    }
    m_turn = turnsLeft;
    return true;
}

void cold_share::take(steady_time now)
{
    m_limiter.charge(1, now);
    if (m_turn) {
        m_usedTurn = m_turn;
    }
}

} // namespace hornbeampick
