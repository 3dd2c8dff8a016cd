#include "steering/window_limiter.h"

#include <algorithm>
#include <cassert>

namespace hornbeampick
{

window_limiter::window_limiter(std::uint64_t limit)
    : m_limit(limit)
{
}

bool window_limiter::take(std::uint64_t units, steady_time now)
{
    advance(now);
    if (m_used + units > m_limit) {
        return false;
    }
    charge(units, now);
    return true;
}

void window_limiter::charge(std::uint64_t units, steady_time now)
{
    advance(now);
    m_counts[static_cast<std::size_t>(m_newestSlice) % m_counts.size()] += units;
    m_used += units;
}

void window_limiter::refund(std::uint64_t units, steady_time takenAt, steady_time now)
{
    advance(now);
    const std::int64_t taken = sliceOf(takenAt);
    if (taken + static_cast<std::int64_t>(m_counts.size()) <= m_newestSlice) {
        return;
    }
    auto &sliceUnits = m_counts[static_cast<std::size_t>(taken) % m_counts.size()];
    const std::uint64_t returned = std::min(sliceUnits, units);
    sliceUnits -= returned;
    m_used -= returned;
}

void window_limiter::setLimit(std::uint64_t limit)
{
    m_limit = limit;
}

std::uint64_t window_limiter::used(steady_time now)
{
    advance(now);
    return m_used;
}

milliseconds window_limiter::timeUntilAvailable(std::uint64_t units, steady_time now)
{
    advance(now);
    std::uint64_t left = m_used;
    for (std::size_t age = 0; age < m_counts.size(); ++age) {
        if (left + units <= m_limit) {
            return slice * static_cast<std::int64_t>(age);
        }
        const auto oldest = static_cast<std::size_t>(m_newestSlice) + 1 + age;
        left -= m_counts[oldest % m_counts.size()];
    }
    return window + slice;
}

std::int64_t window_limiter::sliceOf(steady_time time)
{
    return time.time_since_epoch() / slice;
}

void window_limiter::advance(steady_time now)
{
    const std::int64_t current = sliceOf(now);
    if (current <= m_newestSlice) {
        return;
    }
    const std::int64_t steps = std::min<std::int64_t>(current - m_newestSlice, static_cast<std::int64_t>(m_counts.size()));
    for (std::int64_t step = 0; step < steps; ++step) {
        auto &sliceUnits = m_counts[static_cast<std::size_t>(current - step) % m_counts.size()];
        assert(m_used >= sliceUnits);
        m_used -= sliceUnits;
        sliceUnits = 0;
    }
    m_newestSlice = current;
}

std::uint64_t evenShare(std::uint64_t total, std::size_t count, std::size_t index)
{
    assert(index < count);
    const std::uint64_t even = total / count;
    const std::uint64_t rest = total % count;
    return even + (index < rest ? 1 : 0);
}

} // namespace hornbeampick
