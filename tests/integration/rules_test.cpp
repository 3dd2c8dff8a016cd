#include "fakes/process_fleet.h"
#include "fakes/upstream_fake.h"
#include "rpc/peer_client.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <csignal>
#include <mutex>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

std::string rulesOf(int version, const std::string &note)
{
    return "version " + std::to_string(version) + "\nregion Gent capacity weigh-in 60/s  # " + note + "\n";
}

bool inForceEverywhere(process_fleet &fleet, int version)
{
    return await([&] {
        for (std::size_t i = 0; i < process_fleet::hostCount; ++i) {
            if (fleet.status(i).find("\"ruleVersion\":" + std::to_string(version) + ",") == std::string::npos) {
                return false;
            }
        }
        return true;
    });
}

} // namespace

TEST_CASE("rules over TLS: submit, the same again, a race, a bad file, history named by certificate", "[integration]")
{
    process_fleet_options options;
    options.tls = true;
    process_fleet fleet(options);
    fleet.awaitReady();
    const auto first = fleet.write("rules-1", rulesOf(42, "ann"));
    const auto other = fleet.write("rules-2", rulesOf(42, "bob"));
    const auto bad = fleet.write("rules-3", "version 43\nregion Gent capacity nothing 60/s # x\n");
    INFO(fleet.logs());
    const auto accepted = fleet.tool("rules submit --wait --timeout-ms 15000 " + first);
    INFO(accepted.output);
    CHECK(accepted.exitCode == 0);
    CHECK(inForceEverywhere(fleet, 42));
    CHECK(fleet.tool("rules submit " + first).exitCode == 0);
    const auto conflict = fleet.tool("rules submit --output json " + other);
    CHECK(conflict.exitCode == 1);
    CHECK(conflict.output.find("version-conflict") != std::string::npos);
    CHECK(conflict.output.find("by operator") != std::string::npos);
    const auto invalid = fleet.tool("rules submit " + bad);
    CHECK(invalid.exitCode == 1);
    CHECK(invalid.output.find("rules-invalid") != std::string::npos);
    CHECK(fleet.tool("rules diff " + first).exitCode == 0);
    CHECK(fleet.tool("rules diff " + other).exitCode == 1);
    CHECK(fleet.tool("rules history").output.find("operator") != std::string::npos);
    CHECK(fleet.tool("explain --service weigh-in --client 127.0.0.1").output.find("no-block") != std::string::npos);
    CHECK(fleet.tool("rules plan " + first).output.find("HEADROOM") != std::string::npos);
    CHECK(fleet.tool("drain upstream u9 --reason ann --wait --timeout-ms 15000").exitCode == 0);
    CHECK(fleet.tool("undrain upstream u9 --wait --timeout-ms 15000").exitCode == 0);
    CHECK(fleet.tool("nonsense").exitCode == 2);
    CHECK(fleet.tool("status").output.find("leader") != std::string::npos);
}

TEST_CASE("rules: plain text is refused by a fleet that wants certificates", "[integration]")
{
    process_fleet_options options;
    options.tls = true;
    process_fleet fleet(options);
    fleet.awaitReady();
    const auto peers = makeGrpcPeerClient({.certificate = {}, .key = {}, .authority = {}, .plainText = true}, nullptr);
    std::mutex lock;
    std::condition_variable wake;
    std::optional<bool> answered;
    peers->status(fleet.rpcProxy(0).address(), milliseconds(2000), [&](const result<host_status> &reply) {
        const std::lock_guard guard(lock);
        answered = reply.has_value();
        wake.notify_all();
    });
    std::unique_lock guard(lock);
    wake.wait(guard, [&] { return answered.has_value(); });
    CHECK(!*answered);
}

TEST_CASE("rules: hosts that were killed, frozen, cut off or lost their disk come back to what is in force", "[integration]")
{
    process_fleet fleet;
    fleet.awaitReady();
    int version = 1;
    const auto submit = [&] { return fleet.tool("rules submit --timeout-ms 20000 " + fleet.write("rules", rulesOf(version++, "ann"))).exitCode; };
    REQUIRE(submit() == 0);

    SECTION("a disk host is killed while changes pass it by")
    {
        fleet.kill(3);
        REQUIRE(submit() == 0);
        REQUIRE(submit() == 0);
        fleet.start(3);
    }
    SECTION("a disk host loses its disk")
    {
        fleet.kill(5);
        fleet.removeData(5);
        REQUIRE(submit() == 0);
        fleet.start(5);
        REQUIRE(submit() == 0);
        INFO(fleet.logs());
        // Another host may be lost only after the replaced disk is a voter again.
        CHECK(await([&] { return fleet.status(5).find("\"replicaRole\":\"follower\"") != std::string::npos; }));
        fleet.kill(0);
        CHECK(submit() == 0);
        fleet.start(0);
    }
    SECTION("a control host is frozen for several elections")
    {
        fleet.signal(0, SIGSTOP);
        REQUIRE(submit() == 0);
        await([] { return false; }, std::chrono::seconds(4));
        fleet.signal(0, SIGCONT);
    }
    SECTION("a control host hears nobody, then everybody")
    {
        fleet.rpcProxy(3).cut(true, true);
        REQUIRE(submit() == 0);
        await([] { return false; }, std::chrono::seconds(4));
        REQUIRE(submit() == 0);
        fleet.rpcProxy(3).cut(false, false);
        fleet.rpcProxy(3).resetAll();
    }
    INFO(fleet.logs());
    CHECK(inForceEverywhere(fleet, version - 1));
}

TEST_CASE("rules: without a majority a submit is refused, serving goes on, and a cut-off domain runs its own keys", "[integration]")
{
    process_fleet fleet;
    fleet.awaitReady();
    upstream_fake_options own;
    own.service = "weigh-in";
    own.instance = "own";
    own.failureDomain = "luik-b";
    own.announceTo = {fleet.http(6)};
    const upstream_fake upstream(own);
    REQUIRE(fleet.tool("rules submit --timeout-ms 20000 " + fleet.write("rules", rulesOf(7, "ann"))).exitCode == 0);
    REQUIRE(inForceEverywhere(fleet, 7));
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.kill(i);
    }
    const auto refused = fleet.tool("rules submit --timeout-ms 3000 " + fleet.write("rules", rulesOf(8, "ann")));
    CHECK(refused.exitCode == 3);
    CHECK(refused.output.find("not accepted") != std::string::npos);
    INFO(fleet.logs());
    CHECK(await([&] { return fleet.status(6).find("\"cutOff\":true") != std::string::npos; }));
    CHECK(fleet.status(6).find("\"ruleVersion\":7,") != std::string::npos);
    const auto lookup = sendHttpRequest(fleet.http(6), "GET", "/v1/entry?service=weigh-in");
    CHECK(lookup.body.find("\"operationEpoch\":\"h.luik-b1.") != std::string::npos);
    const auto start = lookup.body.find("\"h.luik-b1.") + 1;
    const auto epoch = lookup.body.substr(start, lookup.body.find('"', start) - start);
    const auto isServed = [&] {
        return sendHttpRequest(fleet.http(6), "POST", "/svc/weigh-in/x", {{"Idempotency-Key", "k"}, {"Hornbeampick-Epoch", epoch}}, "load").status == 200;
    };
    CHECK(await(isServed));
    CHECK(upstream.executions().at("k") == 1);
}
