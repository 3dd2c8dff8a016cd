#pragma once

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hornbeampick
{

/// Sliding-window rate limiter that admits at most `limit` units in any interval of one second, in constant space.
///
/// The window is divided into slices. A slice counts in full until all of it has left the window, so the limiter may be too strict
/// by up to one slice but is never too lenient. Not thread-safe.
class window_limiter
{
public:
    static constexpr milliseconds window {1000};
    static constexpr std::size_t slices = 20;

    explicit window_limiter(std::uint64_t limit = 0);

    /// Takes all of `units`, or takes nothing and returns false when that would exceed the limit.
    bool take(std::uint64_t units, steady_time now);
    /// Counts `units` that are already used, even beyond the limit. Later calls of `take` fail until they have left the window.
    void charge(std::uint64_t units, steady_time now);
    /// Returns units taken at `takenAt` because the work did not take place.
    void refund(std::uint64_t units, steady_time takenAt, steady_time now);
    void setLimit(std::uint64_t limit);

    [[nodiscard]] std::uint64_t limit() const
    {
        return m_limit;
    }
    /// Returns the units counted within the window.
    [[nodiscard]] std::uint64_t used(steady_time now);
    /// Returns the time until `units` can be taken if no other units are taken before; at most one window and one slice.
    [[nodiscard]] milliseconds timeUntilAvailable(std::uint64_t units, steady_time now);

private:
    static constexpr milliseconds slice = window / slices;

    [[nodiscard]] static std::int64_t sliceOf(steady_time time);
    void advance(steady_time now);

    std::uint64_t m_limit;
    std::uint64_t m_used = 0;
    std::int64_t m_newestSlice = 0;
    // One more slice than the window contains, because a slice that has partly left the window still counts.
    std::array<std::uint64_t, slices + 1> m_counts {};
};

/// Returns the share at `index` when `total` is divided into `count` shares that differ by at most one and add up to `total`.
std::uint64_t evenShare(std::uint64_t total, std::size_t count, std::size_t index);

} // namespace hornbeampick
