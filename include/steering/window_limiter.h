#pragma once

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hornbeampick
{

/// Admits at most `limit` units in any span of one second, in constant space.
///
/// The second is counted in slices; a slice counts in full until all of it is past, so the
/// limiter errs by up to one slice to the safe side.
class window_limiter
{
public:
    static constexpr milliseconds window {1000};
    static constexpr std::size_t slices = 20;

    explicit window_limiter(std::uint64_t limit = 0);

    /// Takes `units`, or nothing and returns false.
    bool take(std::uint64_t units, steady_time now);
    /// Counts `units` that are already spent, even beyond the limit: later takes wait until they have left the window.
    void charge(std::uint64_t units, steady_time now);
    /// Gives back units taken at `takenAt` for work that did not happen.
    void giveBack(std::uint64_t units, steady_time takenAt, steady_time now);
    void setLimit(std::uint64_t limit);

    [[nodiscard]] std::uint64_t limit() const
    {
        return m_limit;
    }
    [[nodiscard]] std::uint64_t used(steady_time now);
    /// How long until `units` could be taken if nothing else were; at most one window.
    [[nodiscard]] milliseconds waitFor(std::uint64_t units, steady_time now);

private:
    static constexpr milliseconds slice = window / slices;

    [[nodiscard]] static std::int64_t sliceOf(steady_time time);
    void advance(steady_time now);

    std::uint64_t m_limit;
    std::uint64_t m_used = 0;
    std::int64_t m_newest = 0;
    // One more than the window holds: the slice that is partly past still counts.
    std::array<std::uint64_t, slices + 1> m_counts {};
};

/// The part of `total` that seat `position` of `seats` may spend: parts differ by at most one and sum to `total`.
std::uint64_t shareOf(std::uint64_t total, std::size_t seats, std::size_t position);

} // namespace hornbeampick
