// Tests through which other entry hosts an isolated one passes its requests.

#include "steering/relay_peers.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

const service_name service("s");
const region_name home("home");
const region_name away("away");
const steady_time start = steady_time {} + seconds(100);

struct peers_fixture {
    seeded_random_source random {7};
    relay_peers peers {home, random};

    peers_fixture()
    {
        peers.set({{.address = "away:1", .region = away}, {.address = "home:1", .region = home}, {.address = "home:2", .region = home}});
    }

    std::string acquire(steady_time now = start, std::span<const std::string> tried = {}, std::span<const region_name> allowed = {})
    {
        const auto peer = peers.acquire({.service = service, .allowedRegions = allowed, .tried = tried}, now);
        return peer ? peer->address : std::string();
    }
    void release(const std::string &address, peer_outcome outcome, steady_time now = start)
    {
        peers.release(address, service, outcome, now);
    }
};

} // namespace

TEST_CASE("relay_peers: the own region comes first, hosts that cannot be reached last, tried ones never", "[peers]")
{
    peers_fixture fixture;
    const auto first = fixture.acquire();
    REQUIRE((first == "home:1" || first == "home:2"));
    fixture.release(first, peer_outcome::unreachable);
    const auto second = first == "home:1" ? "home:2" : "home:1";
    REQUIRE(fixture.acquire() == second);
    const std::vector<std::string> tried {second};
    REQUIRE(fixture.acquire(start, tried) == "away:1");
    const std::vector<std::string> triedMore {second, "away:1"};
    REQUIRE(fixture.acquire(start, triedMore) == first);
}

TEST_CASE("relay_peers: a request that is restricted to regions goes to none elsewhere", "[peers]")
{
    peers_fixture fixture;
    fixture.peers.set({{.address = "away:1", .region = away}});
    const std::vector<region_name> onlyHome {home};
    const std::vector<region_name> both {home, away};
    REQUIRE(fixture.acquire(start, {}, onlyHome).empty());
    REQUIRE(fixture.acquire(start, {}, both) == "away:1");
}

// A caller may come from another region, by a look-up that it got before it moved or while its own region had no host.
TEST_CASE("relay_peers: a restricted request goes to no peer of the own region unless that is allowed", "[peers][home]")
{
    peers_fixture fixture;
    const std::vector<region_name> onlyAway {away};
    REQUIRE(fixture.acquire(start, {}, onlyAway) == "away:1");
    const std::vector<std::string> tried {"away:1"};
    REQUIRE(fixture.acquire(start, tried, onlyAway).empty());
}

// Isolated hosts together asked the few others so often that the refusals alone filled their links.
TEST_CASE("relay_peers: a peer that refuses is asked ever less often, and fully again once it serves", "[peers]")
{
    peers_fixture fixture;
    fixture.peers.set({{.address = "home:1", .region = home}});
    const auto refusedIn = [&](milliseconds from, milliseconds length) {
        int asked = 0;
        for (auto at = from; at < from + length; at += milliseconds(1)) {
            if (!fixture.acquire(start + at).empty()) {
                ++asked;
                fixture.release("home:1", peer_outcome::overloaded, start + at);
            }
        }
        return asked;
    };
    REQUIRE(refusedIn(milliseconds(0), seconds(1)) < 8);
    REQUIRE(refusedIn(seconds(5), seconds(5)) < 6);
    int served = 0;
    for (auto at = milliseconds(20000); at < milliseconds(21000); at += milliseconds(1)) {
        if (!fixture.acquire(start + at).empty()) {
            ++served;
            fixture.release("home:1", peer_outcome::served, start + at);
        }
    }
    REQUIRE(served == 1000);
}

TEST_CASE("relay_peers: the requests in progress at a peer are bounded, and the bound grows while they are served", "[peers]")
{
    peers_fixture fixture;
    fixture.peers.set({{.address = "home:1", .region = home}});
    const auto fill = [&] {
        int inProgress = 0;
        while (!fixture.acquire().empty()) {
            ++inProgress;
        }
        return inProgress;
    };
    const int first = fill();
    REQUIRE(first > 0);
    for (int i = 0; i < first; ++i) {
        fixture.release("home:1", peer_outcome::served);
    }
    REQUIRE(fill() == 2 * first);
}
