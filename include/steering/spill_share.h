#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace hornbeampick
{

struct spill_options {
    // Part of a region's slots in use above which more objects are sent to regions that are less busy by the margin. Few
    // objects make most of a region's load, so that some of its upstreams are full when half of all slots are in use.
    double giveAbove = 0.5;
    // Below it objects are taken back once the other regions are busier by the margin.
    double takeBelow = 0.4;
    double margin = 0.2;
    // Below it they are taken back in any case.
    double idleBelow = 0.2;
    // Part of the slots at home that the demand of the first moments may fill: a few arrivals tell it to a quarter.
    double startAbove = 0.65;
    // Regions busier than this are given nothing more.
    double fullAbove = 0.85;
    // Time between two steps, and the change of one: under the bound on shifts between two windows of 2 s.
    milliseconds interval {250};
    double step = 0.01;
    // Taking back is not urgent, and each object that moves is cold for its first request.
    double stepBack = 0.0025;
    double most = 0.9;
    // For this long after the first request the share follows the demand at once: there is no window before to shift from.
    milliseconds settling {600};
    milliseconds settlingInterval {100};
};

/// How busy the home region and the others are when a request arrives, in slots; more than there are when requests wait.
struct spill_sample {
    double homeLoad = 0;
    double homeSlots = 0;
    double othersLoad = 0;
    double othersSlots = 0;
    // Regions that have any, the home region included.
    std::uint32_t regions = 1;
    // Entry hosts among which the region's requests are spread.
    std::uint32_t hosts = 1;
    // Usual work of a request, in milliseconds.
    double workMs = 0;
};

/// The share of a service's objects that an entry host sends to other regions.
///
/// Answers a region with few slots and many callers: its load stays above its slots for many seconds, while
/// other regions have room. The share starts from the demand of the first moments; from then on it moves in small steps, so
/// that objects move seldom and stay warm where they are. Single-threaded.
class spill_share
{
public:
    explicit spill_share(const spill_options &options = {});

    /// Called for each request that arrives, before it is placed.
    void observe(const spill_sample &sample, steady_time now);

    [[nodiscard]] double share() const
    {
        return m_share;
    }
    /// True when the object with this hash goes elsewhere.
    [[nodiscard]] bool spills(std::uint64_t objectHash) const;

private:
    void settle(const spill_sample &sample, steady_time now);
    void stepOnce();

    spill_options m_options;
    double m_share = 0;
    // Sums of fills since the last step.
    double m_homeSum = 0;
    double m_othersSum = 0;
    std::size_t m_samples = 0;
    std::size_t m_arrivals = 0;
    steady_time m_startedAt {};
    steady_time m_nextStep {};
};

} // namespace hornbeampick
