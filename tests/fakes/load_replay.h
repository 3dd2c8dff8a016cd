#pragma once

#include "fakes/manual_clock.h"
#include "steering/dispatcher.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick::testing
{

/// A service whose upstreams are faster for objects that they have handled lately.
struct replay_service {
    std::string name = "s";
    // Upstreams of each region.
    std::vector<std::size_t> upstreams;
    std::uint32_t slots = 6;
    std::uint32_t queue = 18;
    double coldMs = 480;
    double warmMs = 144;
    // Objects that one upstream remembers.
    std::size_t keeps = 60;
};

/// Callers of one region.
struct replay_region {
    std::string name;
    std::size_t entryHosts = 2;
    double perSecond = 100;
    std::size_t objects = 70;
    // The rate goes up and down by this part, over replay_load::period.
    double swing = 0;
    // Where in the period it begins, in radians.
    double phase = 0;
};

struct replay_load {
    replay_service service;
    std::vector<replay_region> regions;
    milliseconds targetLatency {400};
    milliseconds deadline {2500};
    std::uint32_t rank = 0;
    milliseconds duration {20000};
    // Added to an answer from another region, both ways together.
    milliseconds distance {40};
    milliseconds period {36000};
    spill_options spill {};
    std::uint64_t seed = 1;
    // Answers before this do not count.
    milliseconds from {0};
};

/// What became of one region's requests.
struct replay_counts {
    std::size_t asked = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t warm = 0;
    std::size_t run = 0;

    [[nodiscard]] double partInTime() const
    {
        return static_cast<double>(inTime) / static_cast<double>(asked);
    }
};

struct replay_result {
    std::size_t asked = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    std::size_t warm = 0;
    std::size_t run = 0;
    // Largest change of a region's part of requests served elsewhere, from 2 s to the next 2 s.
    double largestShift = 0;
    std::vector<replay_counts> byRegion;

    [[nodiscard]] double partInTime() const
    {
        return static_cast<double>(inTime) / static_cast<double>(asked);
    }
    [[nodiscard]] double partRefused() const
    {
        return static_cast<double>(refused) / static_cast<double>(asked);
    }
};

/// Plays a load against one dispatcher for each entry host, without sockets or threads. The same seed gives the same result.
replay_result replay(const replay_load &load);

} // namespace hornbeampick::testing
