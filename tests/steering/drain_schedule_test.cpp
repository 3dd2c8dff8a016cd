// Tests which requests a draining host takes.

#include "steering/drain_schedule.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

const steady_time start = steady_time {} + seconds(100);

steady_time after(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

TEST_CASE("drain_schedule: a request that could outlive the host is not taken in the second half of the time to its end", "[drain]")
{
    const drain_schedule schedule({.grace = milliseconds(6000), .lookupLifetime = milliseconds(2000)}, start);
    REQUIRE(schedule.mayStart(after(100), {.deadline = after(8000)}));
    REQUIRE(schedule.mayStart(after(2699), {.deadline = after(8000)}));
    REQUIRE_FALSE(schedule.mayStart(after(2700), {.deadline = after(8000)}));
    REQUIRE_FALSE(schedule.mayStart(after(3900), {.deadline = after(6900)}));
    REQUIRE(schedule.mayStart(after(3900), {.deadline = after(5000)}));
    REQUIRE(schedule.acceptUntil() == after(4000));
    REQUIRE(schedule.end() == after(5400));
}

// With a short grace period, a request that was taken at the end of the first half had 1 ms to run.
TEST_CASE("drain_schedule: a request with a late deadline has at least half of the time to the end to run", "[drain]")
{
    const int grace = GENERATE(700, 1000, 2000, 6000, 30000);
    CAPTURE(grace);
    const drain_schedule schedule({.grace = milliseconds(grace), .lookupLifetime = milliseconds(2000)}, start);
    const auto half = (schedule.end() - start) / 2;
    REQUIRE(schedule.end() == after(grace - std::min(grace / 8, 600)));
    for (int sentAfter = 0; sentAfter < grace; sentAfter += 10) {
        const auto sentAt = after(sentAfter);
        CAPTURE(sentAfter);
        REQUIRE(schedule.mayStart(sentAt, {.deadline = after(2 * grace)}) == (sentAt < start + std::min(half, steady_time::duration(milliseconds(2700)))));
    }
}

TEST_CASE("drain_schedule: a response to the last deadline still leaves before the end", "[drain]")
{
    const drain_schedule schedule({.grace = milliseconds(6000), .lookupLifetime = milliseconds(2000)}, start);
    REQUIRE_FALSE(schedule.mayStart(after(3500), {.deadline = schedule.end()}));
    REQUIRE(schedule.mayStart(after(3500), {.deadline = schedule.end() - milliseconds(200)}));
}

TEST_CASE("drain_schedule: a short grace period ends everything within it", "[drain]")
{
    const drain_schedule schedule({.grace = milliseconds(500), .lookupLifetime = milliseconds(2000)}, start);
    REQUIRE(schedule.end() == after(438));
    REQUIRE(schedule.acceptUntil() == schedule.end());
    REQUIRE(schedule.mayStart(after(218), {.deadline = after(1000)}));
    REQUIRE_FALSE(schedule.mayStart(after(219), {.deadline = after(1000)}));
    REQUIRE(schedule.mayStart(after(219), {.deadline = after(238)}));
    REQUIRE_FALSE(schedule.mayStart(after(219), {.deadline = after(239)}));
}

// Requests of a service with long run times were taken in the first half, and cut off at the end.
TEST_CASE("drain_schedule: a request that is expected to outlive the host is not taken", "[drain]")
{
    const drain_schedule schedule({.grace = milliseconds(6000), .lookupLifetime = milliseconds(2000)}, start);
    const request_times lasting {.deadline = after(8000), .usualRunTime = milliseconds(2000)};
    REQUIRE(schedule.mayStart(after(2200), lasting));
    REQUIRE_FALSE(schedule.mayStart(after(2201), lasting));
    REQUIRE_FALSE(schedule.mayStart(start, {.deadline = after(8000), .usualRunTime = milliseconds(4000)}));
    // It ends in time whatever it runs for.
    REQUIRE(schedule.mayStart(after(2201), {.deadline = after(5200), .usualRunTime = milliseconds(2000)}));
    // A short run time does not make up for the second half.
    REQUIRE_FALSE(schedule.mayStart(after(2700), {.deadline = after(8000), .usualRunTime = milliseconds(1)}));
}

// With a grace period of less than 3.6 s the process ended earlier than in its last sixth, until which operators expect it to work.
TEST_CASE("drain_schedule: the host works until the last sixth of its grace period, and ends within it", "[drain]")
{
    const int grace = GENERATE(60, 300, 700, 1000, 2000, 3000, 3600, 6000, 12000, 30000);
    CAPTURE(grace);
    const drain_schedule schedule({.grace = milliseconds(grace), .lookupLifetime = milliseconds(2000)}, start);
    REQUIRE(schedule.end() >= after(grace - grace / 6));
    REQUIRE(schedule.end() < after(grace));
}
