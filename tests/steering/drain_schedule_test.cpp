// Tests which requests a draining host takes.

#include "steering/drain_schedule.h"

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

TEST_CASE("drain_schedule: a request that could outlive the host is not taken in the second half of the grace period", "[drain]")
{
    const drain_schedule schedule({.grace = milliseconds(6000), .lookupLifetime = milliseconds(2000)}, start);
    REQUIRE(schedule.mayStart(after(100), after(8000)));
    REQUIRE(schedule.mayStart(after(2999), after(8000)));
    REQUIRE_FALSE(schedule.mayStart(after(3000), after(8000)));
    REQUIRE_FALSE(schedule.mayStart(after(3900), after(6900)));
    REQUIRE(schedule.mayStart(after(3900), after(5000)));
    REQUIRE(schedule.acceptUntil() == after(4000));
    REQUIRE(schedule.end() < after(6000));
}

TEST_CASE("drain_schedule: a response to the last deadline still leaves before the end", "[drain]")
{
    const drain_schedule schedule({.grace = milliseconds(6000), .lookupLifetime = milliseconds(2000)}, start);
    REQUIRE_FALSE(schedule.mayStart(after(3500), schedule.end()));
    REQUIRE(schedule.mayStart(after(3500), schedule.end() - milliseconds(200)));
}

TEST_CASE("drain_schedule: a short grace period ends everything within it", "[drain]")
{
    const drain_schedule schedule({.grace = milliseconds(500), .lookupLifetime = milliseconds(2000)}, start);
    REQUIRE(schedule.end() == start);
    REQUIRE(schedule.acceptUntil() == start);
    REQUIRE_FALSE(schedule.mayStart(start, after(10)));
}
