#include "fakes/fleet_caller.h"
#include "tool/operator_client.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

// Hosts with a disk, one per region.
constexpr std::array<std::size_t, 3> diskHosts {0, 3, 5};

std::string rulesOf(std::uint64_t version, const std::string &note)
{
    return "version " + std::to_string(version) + "\nregion Gent capacity weigh-in 60/s  # " + note + "\n";
}

std::uint64_t versionAt(const process_fleet &fleet, std::size_t host)
{
    const std::string text = fleet.status(host);
    return text.empty() ? 0 : boost::json::parse(text).at("ruleVersion").to_number<std::uint64_t>();
}

bool inForceAt(process_fleet &fleet, const std::vector<std::size_t> &hosts, std::uint64_t version)
{
    return await([&] { return std::ranges::all_of(hosts, [&](std::size_t host) { return versionAt(fleet, host) == version; }); });
}

const std::vector<std::size_t> everyHost {0, 1, 2, 3, 4, 5, 6};

std::size_t leaderOf(process_fleet &fleet)
{
    std::size_t leader = process_fleet::hostCount;
    const bool known = await([&] {
        for (const std::size_t host : diskHosts) {
            if (fleet.status(host).find("\"replicaRole\":\"leader\"") != std::string::npos) {
                leader = host;
                return true;
            }
        }
        return false;
    });
    REQUIRE(known);
    return leader;
}

tool_run submit(process_fleet &fleet, const std::string &file, int timeoutMs = 20000)
{
    return fleet.tool("rules submit --timeout-ms " + std::to_string(timeoutMs) + " " + file);
}

// Submits versions `first` to `last` with the operator client, in this process.
void submitMany(process_fleet &fleet, std::uint64_t first, std::uint64_t last)
{
    system_clock_source clock;
    const auto peers = makeGrpcPeerClient({.certificate = {}, .key = {}, .authority = {}, .plainText = true}, nullptr);
    std::vector<std::string> hosts;
    for (const std::size_t host : diskHosts) {
        if (fleet.isRunning(host)) {
            hosts.push_back(fleet.rpcProxy(host).address());
        }
    }
    for (std::uint64_t version = first; version <= last; ++version) {
        const std::string text = rulesOf(version, "change " + std::to_string(version));
        const rules_change change {
            .version = version, .body = rule_document(text), .operatorName = "ann", .submittedAt = 0, .content = rule_document(text).content()};
        operator_client client(*peers, hosts, milliseconds(20000), clock);
        const auto answer = client.submit(change);
        REQUIRE(answer);
        REQUIRE(answer.value().error == errc::ok);
    }
}

} // namespace

TEST_CASE("recovery: hosts that restart after 500 changes have them all within seconds, and nothing reverts", "[integration][faults]")
{
    constexpr std::uint64_t changes = 500;
    process_fleet fleet;
    fleet.awaitReady();
    submitMany(fleet, 1, 2);
    REQUIRE(inForceAt(fleet, everyHost, 2));
    // Host 5 has a disk; hosts 1 and 6 have none and restart without any state.
    const std::vector<std::size_t> offlineHosts {5, 1, 6};
    for (const std::size_t host : offlineHosts) {
        fleet.kill(host);
    }
    submitMany(fleet, 3, 2 + changes);
    for (const std::size_t host : offlineHosts) {
        fleet.start(host);
    }
    INFO(fleet.logs());
    CHECK(inForceAt(fleet, everyHost, 2 + changes));
    const auto history = fleet.tool("rules history --output json");
    CHECK(history.exitCode == 0);
    CHECK(boost::json::parse(history.output).as_array().size() == 2 + changes);
    // The restarted disk host votes again: the log accepts changes without one of the other disk hosts.
    CHECK(await([&] { return fleet.status(5).find("\"replicaRole\":\"follower\"") != std::string::npos; }));
    fleet.kill(leaderOf(fleet));
    CHECK(submit(fleet, fleet.write("rules", rulesOf(3 + changes, "after"))).exitCode == 0);
}

TEST_CASE("recovery: a whole region is gone; the others serve its callers and take rules; it returns to what is in force", "[integration][faults]")
{
    process_fleet fleet;
    fleet.awaitReady();
    const auto lost = makeUpstream(fleet, "lookup", "lost", "gent-a");
    const auto kept = makeUpstream(fleet, "lookup", "kept", "luik-a");
    const std::string homes = "clients 127.0.0.0/8 home Gent  # network team\n";
    REQUIRE(submit(fleet, fleet.write("rules", rulesOf(1, "first") + homes)).exitCode == 0);
    REQUIRE(inForceAt(fleet, everyHost, 1));
    REQUIRE(awaitServed(fleet, "lookup"));
    fleet.kill(3);
    fleet.kill(4);
    lost->crash();
    INFO(fleet.logs());
    CHECK(submit(fleet, fleet.write("rules", rulesOf(2, "second") + homes)).exitCode == 0);
    CHECK(inForceAt(fleet, {0, 1, 2, 5, 6}, 2));
    // Look-ups for clients of the lost region return live hosts, which answer.
    CHECK(await([&] {
        const auto found = lookUp(fleet.http(0), "lookup");
        return !found.entries.empty() && sendHttpRequest(found.entries.front(), "GET", "/svc/lookup/x").status == 200;
    }));
    fleet.start(3);
    fleet.start(4);
    CHECK(inForceAt(fleet, everyHost, 2));
    CHECK(await([&] { return fleet.status(3).find("\"replicaRole\":\"follower\"") != std::string::npos; }));
    CHECK(submit(fleet, fleet.write("rules", rulesOf(3, "third") + homes)).exitCode == 0);
    CHECK(inForceAt(fleet, everyHost, 3));
}

TEST_CASE("recovery: the leader is killed at each point of a submit; a yes survives, and the same file again gets a true answer", "[integration][faults]")
{
    process_fleet fleet;
    fleet.awaitReady();
    REQUIRE(submit(fleet, fleet.write("first", rulesOf(1, "first"))).exitCode == 0);
    REQUIRE(inForceAt(fleet, everyHost, 1));
    const std::size_t leader = leaderOf(fleet);
    const std::string mine = fleet.write("mine", rulesOf(2, "mine"));
    const auto reconnect = [&](std::size_t host) {
        fleet.rpcProxy(host).cut(false, false);
        fleet.rpcProxy(host).resetAll();
    };

    SECTION("when the change is on its disk alone: another file with the number wins, and its own is answered so")
    {
        for (const std::size_t host : diskHosts) {
            if (host != leader) {
                fleet.rpcProxy(host).cut(true, true);
            }
        }
        CHECK(submit(fleet, mine, 3000).exitCode == 3);
        fleet.kill(leader);
        for (const std::size_t host : diskHosts) {
            reconnect(host);
        }
        const std::string theirs = fleet.write("theirs", rulesOf(2, "theirs"));
        CHECK(submit(fleet, theirs).exitCode == 0);
        fleet.start(leader);
        INFO(fleet.logs());
        CHECK(inForceAt(fleet, everyHost, 2));
        const auto again = submit(fleet, mine);
        CHECK(again.exitCode == 1);
        CHECK(again.output.find("version-conflict") != std::string::npos);
        CHECK(fleet.tool("rules show").output.find("theirs") != std::string::npos);
    }
    SECTION("when others have it and it has not heard so: the same file again is accepted")
    {
        fleet.rpcProxy(leader).cut(true, false);
        CHECK(submit(fleet, mine, 3000).exitCode != 1);
        fleet.kill(leader);
        reconnect(leader);
        CHECK(submit(fleet, mine).exitCode == 0);
        fleet.start(leader);
        INFO(fleet.logs());
        CHECK(inForceAt(fleet, everyHost, 2));
        CHECK(submit(fleet, mine).exitCode == 0);
        CHECK(fleet.tool("rules show").output.find("mine") != std::string::npos);
    }
    SECTION("when it is accepted and no answer reached the operator: the same file again is the same yes")
    {
        for (const std::size_t host : everyHost) {
            // Drops only answers. The operator gets none; messages between hosts are themselves calls and still arrive.
            fleet.rpcProxy(host).cut(false, true);
        }
        CHECK(submit(fleet, mine, 3000).exitCode == 3);
        fleet.kill(leader);
        for (const std::size_t host : everyHost) {
            reconnect(host);
        }
        CHECK(submit(fleet, mine).exitCode == 0);
        fleet.start(leader);
        INFO(fleet.logs());
        CHECK(inForceAt(fleet, everyHost, 2));
        CHECK(submit(fleet, mine).exitCode == 0);
    }
}

TEST_CASE("recovery: the leader or the host that was asked is killed some time into a submit, over and over", "[integration][faults]")
{
    process_fleet fleet;
    fleet.awaitReady();
    std::uint64_t version = 0;
    // Kill times that cover the duration of a submit.
    for (const int delayMs : {0, 2, 4, 6, 8, 12, 16, 24}) {
        ++version;
        const std::string file = fleet.write("rules", rulesOf(version, "round " + std::to_string(version)));
        const std::size_t victim = version % 2 == 0 ? 0 : leaderOf(fleet);
        std::thread killer([&] {
            std::mutex lock;
            std::condition_variable never;
            std::unique_lock guard(lock);
            never.wait_for(guard, std::chrono::milliseconds(delayMs), [] { return false; });
            fleet.kill(victim);
        });
        const auto firstAttempt = submit(fleet, file);
        killer.join();
        // Resubmitting the same file must never give a version conflict and must eventually be accepted.
        CHECK(firstAttempt.exitCode != 1);
        CHECK(await([&] { return submit(fleet, file).exitCode == 0; }));
        fleet.start(victim);
        INFO(fleet.logs());
        CHECK(inForceAt(fleet, everyHost, version));
    }
}
