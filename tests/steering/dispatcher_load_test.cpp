// Replays the peak loads of the users' days against the dispatcher alone.

#include "fakes/load_replay.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

// Peak of slot look-ups at the Tasmanian sites: three regions with equal demand, one of which has a ninth of the slots.
replay_load bookingPeak()
{
    return {
        .service = {.upstreams = {2, 8, 8}},
        .regions = {{.name = "hobart", .perSecond = 125}, {.name = "launceston", .perSecond = 125}, {.name = "burnie", .perSecond = 125}},
    };
}

// The same site after growth: more objects than the upstreams of the small region keep warm, and regions that peak in turn.
replay_load grownBooking()
{
    constexpr double amplitude = 0.55;
    return {
        .service = {.upstreams = {27, 117, 138}, .coldMs = 1240, .warmMs = 372, .cacheSize = 19},
        .regions = {{.name = "hobart", .entryHosts = 8, .perSecond = 390, .objects = 97, .amplitude = amplitude, .phase = 0.4},
                    {.name = "launceston", .entryHosts = 7, .perSecond = 390, .objects = 97, .amplitude = amplitude, .phase = 0.73},
                    {.name = "burnie", .entryHosts = 7, .perSecond = 390, .objects = 97, .amplitude = amplitude, .phase = 1.1}},
        .targetLatency = milliseconds(800),
        .deadline = milliseconds(6000),
        .duration = milliseconds(30000),
    };
}

} // namespace

// With warm objects the service has twice the slots that this load needs; with cold objects three quarters of the needed slots are
// missing.
TEST_CASE("load: objects stay warm at the highest load, so that nearly all are served and most in time", "[load]")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        auto load = bookingPeak();
        load.seed = seed;
        load.from = milliseconds(8000);
        const auto result = replay(load);
        CAPTURE(seed, result.asked, result.inTime, result.late, result.refused, result.warm, result.run);
        REQUIRE(result.fractionRefused() < 0.02);
        REQUIRE(result.fractionInTime() > 0.8);
    }
}

// All objects are cold and all callers arrive at once. The acceptance threshold is 0.33 of the worth of all requests for a whole
// day.
TEST_CASE("load: a start with nothing warm recovers within seconds", "[load]")
{
    auto load = bookingPeak();
    load.duration = milliseconds(12000);
    load.from = milliseconds(6000);
    const auto result = replay(load);
    CAPTURE(result.asked, result.inTime, result.late, result.refused, result.warm, result.run);
    REQUIRE(result.fractionInTime() > 0.66);
}

TEST_CASE("load: a region with few slots gives objects away within the bound on shifts", "[load]")
{
    for (const std::uint64_t seed : {4U, 5U, 6U}) {
        auto load = bookingPeak();
        load.seed = seed;
        const auto result = replay(load);
        CAPTURE(seed, result.largestShift);
        // The users' bound of 0.15 applies to all services of a region together; this is one of four.
        REQUIRE(result.largestShift < 0.15);
    }
}

TEST_CASE("load: beyond all slots requests are refused at once, and what is taken is served", "[load]")
{
    auto load = bookingPeak();
    for (auto &region : load.regions) {
        region.perSecond = 400;
    }
    load.from = milliseconds(8000);
    const auto result = replay(load);
    CAPTURE(result.asked, result.inTime, result.late, result.refused, result.warm, result.run);
    // Demand is 1.6 times the warm capacity, so only part of the requests can be served; most of that part has to be served.
    REQUIRE(result.fractionRefused() > 0.2);
    REQUIRE(result.inTime + result.late > result.asked / 2);
}

TEST_CASE("load: more urgent requests wait longer before they are refused", "[load]")
{
    auto load = bookingPeak();
    for (auto &region : load.regions) {
        region.perSecond = 300;
    }
    load.priority = 2;
    const auto last = replay(load);
    load.priority = 0;
    const auto first = replay(load);
    CAPTURE(first.refused, last.refused);
    REQUIRE(first.refused < last.refused);
}

// The home region has a ninth of a third of the slots; the other regions have capacity for all requests, 40 ms away.
TEST_CASE("load: callers of a region with few slots are served nearly as well as those of the others", "[load]")
{
    for (const std::uint64_t seed : {7U, 8U}) {
        auto load = grownBooking();
        load.seed = seed;
        const auto result = replay(load);
        for (const auto &region : result.byRegion) {
            CAPTURE(seed, region.asked, region.inTime, region.late, region.refused, region.warm, region.run);
            // The users require 0.68 of all worth on such days. The bound is higher here because this load contains no faults.
            CHECK(region.fractionInTime() > 0.85);
        }
        CAPTURE(result.largestShift);
        CHECK(result.largestShift < 0.15);
    }
}
