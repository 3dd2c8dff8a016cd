#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace hornbeampick
{

struct spill_options {
    // Part of a region's slots in use above which more objects are sent to other regions.
    double giveAbove = 0.8;
    // Below it objects are taken back.
    double takeBelow = 0.6;
    // Regions busier than this are given nothing more.
    double fullAbove = 0.85;
    // Time between two steps, and the change of one: under the bound on shifts between two windows of 2 s.
    milliseconds interval {250};
    double step = 0.0125;
    double most = 0.9;
};

/// The share of a service's objects that an entry host sends to other regions.
///
/// Answers a region with few slots and many callers: its load stays above its slots for many seconds, while
/// other regions have room. The share moves in small steps, so that objects move seldom and stay warm where
/// they are. Single-threaded.
class spill_share
{
public:
    explicit spill_share(const spill_options &options = {});

    /// Notes how busy the home region and the others are, as parts of their slots; beyond 1 when requests wait.
    void observe(double home, double others, steady_time now);

    [[nodiscard]] double share() const
    {
        return m_share;
    }
    /// True when the object with this hash goes elsewhere.
    [[nodiscard]] bool spills(std::uint64_t objectHash) const;

private:
    void stepOnce();

    spill_options m_options;
    double m_share = 0;
    double m_homeSum = 0;
    double m_othersSum = 0;
    std::size_t m_samples = 0;
    steady_time m_nextStep {};
};

} // namespace hornbeampick
