// Tests that requests beyond the capacity of the host's link are rejected, less urgent ones first.

#include "steering/link_limiter.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

const service_name service("s");
const steady_time start = steady_time {} + seconds(100);

// Offers `perSecond` requests of `bytes` each for four seconds; returns the number admitted in the last two.
int admittedOf(link_limiter &limiter, int perSecond, std::size_t bytes, const link_request &request)
{
    int admitted = 0;
    for (int i = 0; i < 4 * perSecond; ++i) {
        const auto now = start + microseconds(1000000LL * i / perSecond);
        if (!limiter.admit(request, now)) {
            limiter.finish(request, bytes);
            admitted += i >= 2 * perSecond ? 1 : 0;
        }
    }
    return admitted;
}

} // namespace

TEST_CASE("link_limiter: what exceeds the link is rejected and told when to come back", "[link]")
{
    link_limiter limiter({.megabitsPerSecond = 5});
    // 5 Mbit/s are 625,000 bytes a second; 400 requests of 4,300 bytes and their overhead are 2,000,000.
    const int admitted = admittedOf(limiter, 400, 4300, {.service = service});
    const int bytes = admitted * 5000;
    REQUIRE(bytes < 2 * 625000);
    REQUIRE(bytes > 2 * 625000 * 3 / 4);
    REQUIRE(limiter.admit({.service = service, .priority = 2}, start + seconds(4)).value_or(milliseconds(0)) > milliseconds(0));
}

TEST_CASE("link_limiter: what fits the link is admitted, whatever its priority", "[link]")
{
    link_limiter limiter({.megabitsPerSecond = 5});
    REQUIRE(admittedOf(limiter, 80, 4300, {.service = service, .priority = 2}) == 2 * 80);
}

TEST_CASE("link_limiter: the less urgent requests are rejected first", "[link]")
{
    link_limiter limiter({.megabitsPerSecond = 5});
    int urgent = 0;
    int other = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto now = start + milliseconds(5 * i);
        urgent += limiter.admit({.service = service, .priority = 0}, now) ? 0 : 1;
        other += limiter.admit({.service = service, .priority = 2}, now) ? 0 : 1;
    }
    REQUIRE(urgent > 3 * other);
}

TEST_CASE("link_limiter: rejected requests take nothing from those that are admitted, however many they are", "[link]")
{
    for (const int perSecond : {300, 700, 2000}) {
        CAPTURE(perSecond);
        link_limiter limiter({.megabitsPerSecond = 4.5});
        REQUIRE(admittedOf(limiter, perSecond, 2500, {.service = service, .priority = 2}) * 3200 > 2 * 562500 * 3 / 4);
    }
}

TEST_CASE("link_limiter: one long response does not keep others out", "[link]")
{
    link_limiter limiter({.megabitsPerSecond = 5});
    REQUIRE_FALSE(limiter.admit({.service = service}, start));
    limiter.finish({.service = service}, 10'000'000);
    for (int i = 1; i <= 100; ++i) {
        REQUIRE_FALSE(limiter.admit({.service = service, .priority = 1}, start + milliseconds(100 * i)));
        limiter.finish({.service = service, .priority = 1}, 2000);
    }
}

// Drawings that came over from another service were admitted at the price of the short reads of this one, and filled the link for
// seconds, in which payments waited behind them.
TEST_CASE("link_limiter: downloads that come to a service of short requests do not exceed the link", "[link][download]")
{
    link_limiter limiter({.megabitsPerSecond = 16});
    const link_request drawing {.service = service, .kind = request_kind::download, .priority = 2};
    const link_request read {.service = service, .kind = request_kind::idempotent, .priority = 1};
    constexpr std::size_t drawingBytes = 90000;
    for (int i = 0; i < 400; ++i) {
        REQUIRE_FALSE(limiter.admit(read, start + milliseconds(10 * i)));
        limiter.finish(read, 2000);
    }
    std::size_t admittedBytes = 0;
    for (int i = 0; i < 100; ++i) {
        admittedBytes += limiter.admit(drawing, start + seconds(4)) ? 0 : drawingBytes;
    }
    // 16 Mbit/s are 500,000 bytes in the quarter of a second that may be admitted at once.
    REQUIRE(admittedBytes > 0);
    REQUIRE(admittedBytes <= 500000);
    // Nor do drawings raise the price of the reads that follow.
    for (int i = 0; i < 40; ++i) {
        limiter.finish(drawing, drawingBytes);
    }
    int admittedReads = 0;
    for (int i = 0; i < 400; ++i) {
        admittedReads += limiter.admit(read, start + seconds(5) + milliseconds(5 * i)) ? 0 : 1;
    }
    REQUIRE(admittedReads == 400);
}

TEST_CASE("link_limiter: a payment is never rejected because drawings took the link", "[link][download]")
{
    for (const double megabits : {5.0, 16.0}) {
        CAPTURE(megabits);
        link_limiter limiter({.megabitsPerSecond = megabits});
        const link_request drawing {.service = service_name("drawings"), .kind = request_kind::download, .priority = 2};
        const link_request payment {.service = service, .kind = request_kind::runOnce, .priority = 0};
        int drawings = 0;
        for (int i = 0; i < 4000; ++i) {
            const auto now = start + milliseconds(i);
            if (!limiter.admit(drawing, now)) {
                limiter.finish(drawing, 90000);
                ++drawings;
            }
            if (i % 20 == 0) {
                REQUIRE_FALSE(limiter.admit(payment, now));
                limiter.finish(payment, 5000);
            }
        }
        REQUIRE(drawings > 0);
    }
}

TEST_CASE("link_limiter: an unknown capacity limits nothing", "[link]")
{
    link_limiter limiter;
    REQUIRE(admittedOf(limiter, 1000, 1000000, {.service = service}) == 2 * 1000);
}
