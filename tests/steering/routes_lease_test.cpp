// Tests for how long an entry host trusts its routes without hearing of newer ones.

#include "steering/routes_lease.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

TEST_CASE("routes_lease: routes are current for less than the time in which a version has to be in force", "[routes][home]")
{
    const steady_time start = steady_time {} + seconds(100);
    routes_lease lease({.applyTime = milliseconds(2500)});
    REQUIRE_FALSE(lease.isValid(start));
    lease.renew(start);
    REQUIRE(lease.isValid(start + milliseconds(1900)));
    REQUIRE_FALSE(lease.isValid(start + milliseconds(2000)));
    lease.renew(start + milliseconds(500));
    // An answer that was on its way for long.
    lease.renew(start);
    REQUIRE(lease.isValid(start + milliseconds(2400)));
    REQUIRE_FALSE(lease.isValid(start + milliseconds(2500)));
}
