// Checks the soak test's invariants on hand-written records, and its fault plans.

#include "soak/fault.h"
#include "soak/invariant.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hornbeampick;
using namespace hornbeampick::soak;

namespace
{

const steady_time start {seconds(100)};

soak_record healthyRecord()
{
    soak_record record;
    record.requests.push_back(
        {.client = {.id = "a", .runOnce = true, .requestedAt = start, .endedAt = start + seconds(1), .deadline = seconds(2), .status = 200, .body = "for a"},
         .runs = {{.id = "a", .instance = "u0", .at = start}}});
    record.end = {.entryReady = {true, true}, .asked = 10, .served = 10, .version = 3};
    return record;
}

std::string firstFinding(const soak_record &record)
{
    const auto findings = checkAll(record);
    return findings.empty() ? "" : findings.front().invariant;
}

} // namespace

TEST_CASE("soak: a record in which all is well has no findings", "[soak]")
{
    REQUIRE(firstFinding(healthyRecord()).empty());
}

TEST_CASE("soak: a second run of a request that may run once is found, that of another is not", "[soak]")
{
    auto record = healthyRecord();
    record.requests[0].runs.push_back({.id = "a", .instance = "u1", .at = start});
    REQUIRE(firstFinding(record) == "runs-once");
    record.requests[0].client.runOnce = false;
    REQUIRE(firstFinding(record).empty());
}

TEST_CASE("soak: a foreign answer, a refusal of what has run and a late answer are found", "[soak]")
{
    auto record = healthyRecord();
    record.requests[0].client.body = "for b";
    REQUIRE(firstFinding(record) == "own-answer");
    record = healthyRecord();
    record.requests[0].client.status = 503;
    REQUIRE(firstFinding(record) == "true-refusal");
    record = healthyRecord();
    record.requests[0].client.endedAt = start + seconds(4);
    REQUIRE(firstFinding(record) == "answers-in-time");
    // A paused entry host excuses the late answer.
    record.faultIntervals.push_back({.host = "entry-0", .from = start, .to = start + seconds(2)});
    REQUIRE(firstFinding(record).empty());
}

TEST_CASE("soak: a request to an upstream that has left is found, unless its host was out of touch or the upstream is back", "[soak]")
{
    auto record = healthyRecord();
    record.deregistrations.push_back({.instance = "u0", .acknowledgedAt = start - seconds(3), .until = start + seconds(1)});
    REQUIRE(firstFinding(record) == "left-alone");
    record.deregistrations[0].until = start - seconds(1);
    REQUIRE(firstFinding(record).empty());
    record.deregistrations[0].until = start + seconds(1);
    record.faultIntervals.push_back({.host = "control-1", .from = start - seconds(9), .to = start - seconds(1)});
    REQUIRE(firstFinding(record).empty());
}

TEST_CASE("soak: a request in an evacuated failure domain is found, unless its host was out of touch or the evacuation is withdrawn", "[soak]")
{
    auto record = healthyRecord();
    record.requests[0].runs[0].domain = "north-a";
    record.evacuations.push_back({.domain = "north-a", .acknowledgedAt = start - seconds(6), .until = steady_time::max()});
    REQUIRE(firstFinding(record) == "evacuations-kept");
    record.evacuations[0].domain = "north-b";
    REQUIRE(firstFinding(record).empty());
    record.evacuations[0].domain = "north-a";
    record.evacuations[0].acknowledgedAt = start - seconds(4);
    REQUIRE(firstFinding(record).empty());
    record.evacuations[0].acknowledgedAt = start - seconds(6);
    record.evacuations[0].until = start - seconds(1);
    REQUIRE(firstFinding(record).empty());
    record.evacuations[0].until = steady_time::max();
    record.faultIntervals.push_back({.host = "control-1", .from = start - seconds(9), .to = start - seconds(1)});
    REQUIRE(firstFinding(record).empty());
}

TEST_CASE("soak: a request that runs outside its allowed region is found, whatever else is disturbed", "[soak]")
{
    auto record = healthyRecord();
    record.requests[0].runs[0].region = "north";
    REQUIRE(firstFinding(record).empty());
    record.requests[0].client.allowedRegion = "south";
    record.faultIntervals.push_back({.host = "control-1", .from = start - seconds(9), .to = start - seconds(1)});
    REQUIRE(firstFinding(record) == "allowed-region");
    record.requests[0].runs[0].region = "south";
    REQUIRE(firstFinding(record).empty());
}

TEST_CASE("soak: old reads, routes that are not in force and lost versions are found", "[soak]")
{
    auto record = healthyRecord();
    record.accepted.push_back({.version = 3, .acknowledgedAt = start, .supersededAt = steady_time::max()});
    REQUIRE(firstFinding(record).empty());
    record.reads.push_back({.host = "control-0", .sentAt = start + seconds(2), .version = 2});
    REQUIRE(firstFinding(record).empty());
    record.reads[0].sentAt = start + seconds(3);
    REQUIRE(firstFinding(record) == "fresh-reads");
    record.reads.clear();
    record.probes.push_back({.entry = 0, .version = 3, .sentAt = start + seconds(3), .endedAt = start + seconds(3), .status = 404});
    REQUIRE(firstFinding(record) == "routes-in-force");
    record.probes.clear();
    record.end.version = 2;
    REQUIRE(firstFinding(record) == "recovers");
}

TEST_CASE("soak: hosts that are not ready at the end, do not stop, or serve too little are found", "[soak]")
{
    auto record = healthyRecord();
    record.end.entryReady[1] = false;
    REQUIRE(firstFinding(record) == "recovers");
    record = healthyRecord();
    record.end.served = 2;
    REQUIRE(firstFinding(record) == "recovers");
    record = healthyRecord();
    record.end.notStopped.emplace_back("entry-1");
    REQUIRE(firstFinding(record) == "recovers");
    record = healthyRecord();
    record.end.endedByThemselves.emplace_back("control-1 (1)");
    REQUIRE(firstFinding(record) == "recovers");
}

namespace
{

// A request sent on a kept connection two seconds after SIGTERM whose connection ended, without an answer, with the process.
soak_record brokenOffRecord()
{
    auto record = healthyRecord();
    record.requests.push_back({.client = {.id = "k",
                                          .requestedAt = start + seconds(2),
                                          .endedAt = start + milliseconds(4500),
                                          .deadline = seconds(4),
                                          .onKeptConnection = true,
                                          .end = request_end::closed},
                               .runs = {{.id = "k", .instance = "u1", .at = start + seconds(2), .endedAt = start + milliseconds(4900)}}});
    record.signals.push_back({.host = "entry-0", .at = start, .stops = true});
    return record;
}

} // namespace

TEST_CASE("soak: a request that a stopping or reloading host breaks off is found", "[soak]")
{
    auto record = brokenOffRecord();
    REQUIRE(firstFinding(record) == "kept-through-signals");
    // The former build breaks requests off by itself.
    record.signals[0].toFormer = true;
    REQUIRE(firstFinding(record).empty());
    record.signals[0].toFormer = false;
    // A request sent before the signal is kept as well.
    record.requests[1].client.requestedAt = start - milliseconds(500);
    record.requests[1].client.endedAt = start + seconds(1);
    REQUIRE(firstFinding(record) == "kept-through-signals");
    record.signals[0].stops = false;
    REQUIRE(firstFinding(record) == "kept-through-signals");
    // An error in place of the answer, too.
    record = brokenOffRecord();
    record.requests[1].client.status = 504;
    record.requests[1].client.end = request_end::answered;
    REQUIRE(firstFinding(record) == "kept-through-signals");
    // Work that begins late is to be refused, however long it takes.
    record = brokenOffRecord();
    record.requests[1].client.requestedAt = start + milliseconds(3200);
    record.requests[1].client.endedAt = start + milliseconds(5400);
    record.requests[1].runs[0].endedAt = start + seconds(6);
    REQUIRE(firstFinding(record) == "kept-through-signals");
}

TEST_CASE("soak: a host that reaches no upstream and serves too little through others is found", "[soak]")
{
    auto record = healthyRecord();
    record.losses.push_back({.entry = 1, .from = start, .to = start + seconds(6)});
    record.faultIntervals.push_back({.host = "entry-1", .from = start, .to = start + seconds(6)});
    for (int i = 0; i < 20; ++i) {
        const auto id = "l" + std::to_string(i);
        client_observation client {
            .id = id, .entry = 1, .requestedAt = start + seconds(4), .endedAt = start + seconds(5), .deadline = seconds(2), .status = 503};
        if (i % 2 == 0) {
            client.status = 200;
            client.body = "for " + id;
        }
        record.requests.push_back({.client = client});
    }
    REQUIRE(firstFinding(record) == "serves-through-others");
    record.losses[0].besideFormer = true;
    REQUIRE(firstFinding(record).empty());
    record.losses[0].besideFormer = false;
    // The other host may be down.
    record.faultIntervals.push_back({.host = "entry-0", .from = start - seconds(1), .to = start + seconds(2)});
    REQUIRE(firstFinding(record).empty());
    record.faultIntervals.pop_back();
    // Right after the loss the host may still try.
    record.losses[0].from = start + seconds(2);
    REQUIRE(firstFinding(record).empty());
}

TEST_CASE("soak: a request that ends around a stop for another reason is not found", "[soak]")
{
    auto record = brokenOffRecord();
    record.requests[1].runs.clear();
    REQUIRE(firstFinding(record).empty());
    // The upstream is at work until late in the grace period.
    record = brokenOffRecord();
    record.requests[1].client.requestedAt = start + milliseconds(2900);
    record.requests[1].client.endedAt = start + milliseconds(5400);
    record.requests[1].runs[0].endedAt = start + milliseconds(5500);
    REQUIRE(firstFinding(record).empty());
    record = brokenOffRecord();
    record.requests[1].client.deadline = seconds(2);
    REQUIRE(firstFinding(record).empty());
    // The upstream answered with an error.
    record = brokenOffRecord();
    record.requests[1].client.status = 500;
    record.requests[1].runs[0].endedAt = start + seconds(4);
    REQUIRE(firstFinding(record).empty());
    record = brokenOffRecord();
    record.signals[0].host = "entry-1";
    REQUIRE(firstFinding(record).empty());
    const std::string disturbed = GENERATE("entry-0", "u1");
    record = brokenOffRecord();
    record.faultIntervals.push_back({.host = disturbed, .from = start - seconds(5), .to = start - seconds(1)});
    REQUIRE(firstFinding(record).empty());
    record.faultIntervals[0].planned = true;
    REQUIRE(firstFinding(record) == "kept-through-signals");
    record.faultIntervals[0].planned = false;
    record.faultIntervals[0].to = start - seconds(2);
    REQUIRE(firstFinding(record) == "kept-through-signals");
}

namespace
{

// Records which faults are active for each host, link and upstream.
class fault_injector_mock final : public fault_injector
{
public:
    std::map<std::string, int> down;
    std::map<std::string, build> builds;
    int calls = 0;

    void kill(const std::string &host) override
    {
        ++calls;
        down[host] = 1;
    }
    void start(const std::string &host) override
    {
        ++calls;
        down[host] = 0;
    }
    void pause(const std::string &host) override
    {
        kill(host);
    }
    void resume(const std::string &host) override
    {
        start(host);
    }
    void stop(const std::string &host) override
    {
        kill(host);
    }
    void reload(const std::string & /*host*/) override
    {
    }
    void setBuild(const std::string &host, build next) override
    {
        builds[host] = next;
    }
    void changeRoutes() override
    {
    }
    void emptyDisk(const std::string & /*host*/) override
    {
    }
    void slowDisk(const std::string &host, milliseconds delay) override
    {
        down["disk " + host] = delay.count() != 0 ? 1 : 0;
    }
    void fillDisk(const std::string &host, bool full) override
    {
        down["full " + host] = full ? 1 : 0;
    }
    void stepClock(const std::string &host, milliseconds ahead) override
    {
        down["clock " + host] = ahead.count() != 0 ? 1 : 0;
    }
    void loseUpstreams(const std::string &host, bool lost) override
    {
        down["lost " + host] = lost ? 1 : 0;
    }
    void cutLink(const std::string &to, bool fromClient, bool toClient) override
    {
        down["cut " + to] = fromClient || toClient ? 1 : 0;
    }
    void silenceLink(const std::string &to, bool silent) override
    {
        down["silent " + to] = silent ? 1 : 0;
    }
    void delayLink(const std::string &to, milliseconds time) override
    {
        down["delay " + to] = time.count() != 0 ? 1 : 0;
    }
    void resetLink(const std::string & /*to*/) override
    {
    }
    void crashUpstream(const std::string &upstream) override
    {
        down[upstream] = 1;
    }
    void restartUpstream(const std::string &upstream) override
    {
        down[upstream] = 0;
    }
    void retireUpstream(const std::string &upstream) override
    {
        down["leaving " + upstream] = 1;
    }
    void admitUpstream(const std::string &upstream) override
    {
        down["leaving " + upstream] = 0;
    }
    void swapAddresses(const std::string & /*first*/, const std::string & /*second*/) override
    {
    }
};

} // namespace

TEST_CASE("soak: the same seed draws the same faults, in their time, and healing leaves nothing broken", "[soak]")
{
    const fault_targets targets {
        .controlHosts = {"control-0", "control-1", "control-2"}, .entryHosts = {"entry-0", "entry-1"}, .upstreams = {"u0", "u1", "u2"}};
    for (std::uint64_t seed = 1; seed < 50; ++seed) {
        const fault_plan_options options {.seed = seed, .length = seconds(60)};
        const auto plan = planFaults(targets, options);
        const auto again = planFaults(targets, options);
        REQUIRE(plan.size() > 10);
        REQUIRE(plan.size() == again.size());
        fault_injector_mock injector;
        for (std::size_t i = 0; i < plan.size(); ++i) {
            REQUIRE(plan[i].at == again[i].at);
            REQUIRE(plan[i].what->name() == again[i].what->name());
            REQUIRE(plan[i].at + plan[i].span <= options.length);
            plan[i].what->begin(injector);
        }
        for (const auto &each : plan) {
            each.what->heal(injector);
        }
        for (const auto &[what, broken] : injector.down) {
            CAPTURE(seed, what);
            REQUIRE(broken == 0);
        }
    }
}

TEST_CASE("soak: replacements reach every kind of host, take some back, and leave the other faults of a seed as they are", "[soak]")
{
    const fault_targets targets {
        .controlHosts = {"control-0", "control-1", "control-2"}, .entryHosts = {"entry-0", "entry-1"}, .upstreams = {"u0", "u1", "u2"}};
    std::size_t replacements = 0;
    std::size_t returns = 0;
    constexpr std::uint64_t seeds = 50;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto plan = planFaults(targets, {.seed = seed, .length = seconds(20)});
        const auto upgrade = planFaults(targets, {.seed = seed, .length = seconds(20), .replacesHosts = true});
        REQUIRE(upgrade.size() > plan.size());
        fault_injector_mock injector;
        for (std::size_t i = 0; i < upgrade.size(); ++i) {
            CAPTURE(seed, i);
            REQUIRE((i >= plan.size() || upgrade[i].what->name() == plan[i].what->name()));
            REQUIRE(upgrade[i].at + upgrade[i].span <= seconds(20));
            upgrade[i].what->begin(injector);
            replacements += upgrade[i].what->name() == "replace" ? 1 : 0;
            returns += upgrade[i].what->name() == "go-back" ? 1 : 0;
        }
        REQUIRE(injector.builds.size() > 1);
    }
    REQUIRE(replacements > seeds * 3);
    REQUIRE(returns > seeds / 2);
}
