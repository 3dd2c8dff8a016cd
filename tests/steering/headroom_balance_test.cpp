#include "steering/headroom_balance.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hornbeampick;

namespace
{

const service_name slots("slots");
const region_name hobart("Hobart");
const region_name burnie("Burnie");
const region_name launceston("Launceston");

std::vector<region_load> loadsOf(std::uint32_t first, std::uint32_t second, std::uint32_t third)
{
    return {{.region = hobart, .slots = 20, .inFlight = first},
            {.region = burnie, .slots = 20, .inFlight = second},
            {.region = launceston, .slots = 20, .inFlight = third}};
}

// Returns the transfer after constant loads for `time`.
headroom_transfer settled(std::span<const region_load> loads, seconds time)
{
    headroom_balance balance;
    headroom_transfer transfer;
    for (milliseconds at {0}; at <= time; at += milliseconds(100)) {
        transfer = balance.update(slots, hobart, loads, steady_time(at));
    }
    return transfer;
}

} // namespace

TEST_CASE("headroom_balance: a quiet home keeps all, a busy one gives away by the room of the others")
{
    CHECK(settled(loadsOf(10, 2, 2), seconds(60)).share == 0);
    const auto transfer = settled(loadsOf(20, 4, 9), seconds(60));
    CHECK(transfer.share == Approx(0.5).margin(0.01));
    REQUIRE(transfer.recipients.size() == 2);
    CHECK(transfer.recipients[0].weight == Approx(13));
    CHECK(transfer.recipients[1].weight == Approx(8));
}

TEST_CASE("headroom_balance: nothing is given when nobody has room, or nothing is known")
{
    CHECK(settled(loadsOf(20, 17, 19), seconds(60)).share == 0);
    CHECK(settled({}, seconds(60)).share == 0);
    const std::vector<region_load> alone {{.region = hobart, .slots = 20, .inFlight = 20}};
    CHECK(settled(alone, seconds(60)).share == 0);
}

TEST_CASE("headroom_balance: the share settles slowly, and a pause longer than any does not overshoot")
{
    const auto loads = loadsOf(20, 4, 4);
    CHECK(settled(loads, seconds(1)).share < 0.12);
    headroom_balance balance;
    balance.update(slots, hobart, loads, steady_time(seconds(1)));
    CHECK(balance.update(slots, hobart, loads, steady_time(seconds(10'000))).share == Approx(0.5).margin(0.01));
}

TEST_CASE("headroom_balance: shares stay within their bounds, and takers have room", "[property]")
{
    CHECK(rc::check("any loads in any order", [] {
        headroom_balance balance;
        const headroom_options options;
        steady_time now(seconds(1));
        for (int step = 0; step < 50; ++step) {
            std::vector<region_load> loads;
            for (const auto &region : {hobart, burnie, launceston}) {
                if (*rc::gen::inRange(0, 5) > 0) {
                    loads.push_back({.region = region, .slots = *rc::gen::inRange(0U, 40U), .inFlight = *rc::gen::inRange(0U, 60U)});
                }
            }
            now += milliseconds(*rc::gen::inRange(0, 5000));
            const auto transfer = balance.update(slots, hobart, loads, now);
            RC_ASSERT(transfer.share >= 0);
            RC_ASSERT(transfer.share <= options.shareMaximum);
            RC_ASSERT(transfer.share == 0 || !transfer.recipients.empty());
            for (const auto &recipient : transfer.recipients) {
                const auto load = std::ranges::find(loads, recipient.region, &region_load::region);
                RC_ASSERT(recipient.region != hobart);
                RC_ASSERT(utilisationOf(*load) < options.fullUtilisation);
            }
        }
    }));
}
