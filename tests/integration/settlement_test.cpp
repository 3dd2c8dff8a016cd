#include "fakes/fleet_caller.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <thread>

using namespace hornbeampick::testing;

TEST_CASE("settlements: hosts and upstreams are killed and frozen while keyed requests run; none runs twice, no not-run is false", "[integration][faults]")
{
    constexpr int callers = 8;
    constexpr int requestsPerCaller = 260;
    process_fleet fleet;
    fleet.awaitReady();
    std::mutex lock;
    std::vector<std::unique_ptr<upstream_fake>> upstreams;
    const std::vector<std::string> domains {"antwerpen-a", "antwerpen-b", "gent-a", "gent-b", "luik-a", "luik-b"};
    for (const auto &domain : domains) {
        upstreams.push_back(makeUpstream(fleet, "weigh-in", "up-" + domain, domain));
    }
    REQUIRE(awaitServed(fleet, "weigh-in"));

    struct caller_outcome {
        int notRunLast = 0;
        int answered = 0;
        std::string body;
        bool answerChanged = false;
    };
    std::map<std::string, caller_outcome> outcomes;
    std::atomic<int> finished {0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            std::mt19937 random(static_cast<unsigned>(caller) + 20261204U);
            for (int i = 0; i < requestsPerCaller; ++i) {
                const std::string key = "c" + std::to_string(caller) + "-" + std::to_string(i);
                lookup_result found;
                for (int tries = 0; tries < 20 && found.entries.empty(); ++tries) {
                    found = lookUp(fleet.http(random() % process_fleet::hostCount), "weigh-in");
                }
                caller_outcome callerOutcome;
                // The client retries at other hosts until it gets an answer, up to 4 attempts.
                for (int tries = 0; tries < 4 && callerOutcome.answered == 0; ++tries) {
                    const std::string host = found.entries.empty() ? fleet.http(0) : found.entries[random() % found.entries.size()];
                    const auto answer = sendWeighIn(host, key, found.epoch, "load " + key, std::chrono::milliseconds(4000));
                    const auto outcome = outcomeOf(answer);
                    callerOutcome.notRunLast = outcome == "not-run" ? callerOutcome.notRunLast + 1 : 0;
                    if (answer.status == 200) {
                        ++callerOutcome.answered;
                        callerOutcome.body = answer.body;
                    }
                }
                // Repeating an answered request must give the same answer, or at worst none.
                if (callerOutcome.answered > 0 && random() % 8 == 0) {
                    const auto again
                        = sendWeighIn(fleet.http(random() % process_fleet::hostCount), key, found.epoch, "load " + key, std::chrono::milliseconds(4000));
                    callerOutcome.answerChanged = again.status == 200 && again.body != callerOutcome.body;
                }
                const std::lock_guard guard(lock);
                outcomes[key] = callerOutcome;
                ++finished;
            }
        });
    }

    // Injects faults: kills or freezes one host at a time, or crashes and replaces an upstream.
    std::mt19937 random(20261204);
    std::map<std::string, int> executions;
    const auto collect = [&](const upstream_fake &upstream) {
        for (const auto &[key, count] : upstream.executions()) {
            executions[key] += count;
        }
    };
    int faults = 0;
    while (finished < callers * requestsPerCaller) {
        const std::size_t host = random() % process_fleet::hostCount;
        const std::size_t victim = random() % upstreams.size();
        switch (random() % 3) {
        case 0:
            fleet.kill(host);
            await([] { return false; }, std::chrono::seconds(1));
            fleet.start(host);
            break;
        case 1:
            fleet.signal(host, SIGSTOP);
            await([] { return false; }, std::chrono::seconds(2));
            fleet.signal(host, SIGCONT);
            break;
        default:
            upstreams[victim]->crash();
            collect(*upstreams[victim]);
            upstreams[victim] = makeUpstream(fleet, "weigh-in", "up-" + domains[victim] + "-" + std::to_string(++faults), domains[victim]);
            break;
        }
        await([] { return false; }, std::chrono::seconds(1));
    }
    for (auto &thread : threads) {
        thread.join();
    }
    for (const auto &upstream : upstreams) {
        collect(*upstream);
    }

    int duplicateRuns = 0;
    int falseNotRun = 0;
    int answered = 0;
    int answerChanged = 0;
    for (const auto &[key, callerOutcome] : outcomes) {
        const int runs = executions.contains(key) ? executions.at(key) : 0;
        duplicateRuns += runs > 1 ? 1 : 0;
        falseNotRun += callerOutcome.answered == 0 && callerOutcome.notRunLast > 0 && runs > 0 ? 1 : 0;
        answered += callerOutcome.answered > 0 ? 1 : 0;
        answerChanged += callerOutcome.answerChanged ? 1 : 0;
    }
    WARN("keyed requests " << outcomes.size() << ", answered " << answered << ", doubled " << duplicateRuns << ", false not-run " << falseNotRun);
    INFO(fleet.logs());
    CHECK(outcomes.size() == callers * requestsPerCaller);
    CHECK(duplicateRuns == 0);
    CHECK(falseNotRun == 0);
    CHECK(answerChanged == 0);
    CHECK(answered > callers * requestsPerCaller / 2);
}

TEST_CASE("settlements: the same key at two hosts at once runs once, and both get its answer", "[integration]")
{
    process_fleet fleet;
    fleet.awaitReady();
    upstream_fake_options slow;
    slow.workTime = std::chrono::milliseconds(300);
    const auto upstream = makeUpstream(fleet, "weigh-in", "u1", "gent-a", slow);
    REQUIRE(awaitServed(fleet, "weigh-in"));
    const auto epoch = lookUp(fleet.http(3), "weigh-in").epoch;
    http_result first;
    http_result second;
    std::thread one([&] { first = sendWeighIn(fleet.http(0), "twice", epoch, "load"); });
    std::thread two([&] { second = sendWeighIn(fleet.http(6), "twice", epoch, "load"); });
    one.join();
    two.join();
    INFO(fleet.logs());
    CHECK(first.status == 200);
    CHECK(second.status == 200);
    CHECK(first.body == second.body);
    CHECK(upstream->executions().at("twice") == 1);
    const auto other = sendWeighIn(fleet.http(3), "twice", epoch, "another load");
    CHECK(other.status == 422);
    CHECK(outcomeOf(other) == "not-run");
}

TEST_CASE("settlements: a half-written answer is unknown, and the key never runs again", "[integration]")
{
    process_fleet fleet;
    fleet.awaitReady();
    upstream_fake_options truncating;
    truncating.truncatedAnswerText = "half";
    const auto upstream = makeUpstream(fleet, "weigh-in", "u1", "gent-a", truncating);
    REQUIRE(awaitServed(fleet, "weigh-in"));
    const auto epoch = lookUp(fleet.http(3), "weigh-in").epoch;
    for (std::size_t host : {3U, 0U, 6U}) {
        const auto answer = sendWeighIn(fleet.http(host), "halved", epoch, "half");
        INFO(answer.body);
        CHECK(outcomeOf(answer) == "unknown");
    }
    CHECK(upstream->executions().at("halved") == 1);
}

TEST_CASE("poison: at most two upstreams die of one request, whatever hosts its caller tries", "[integration]")
{
    process_fleet fleet;
    fleet.awaitReady();
    std::vector<std::unique_ptr<upstream_fake>> upstreams;
    upstream_fake_options poisonable;
    poisonable.poisonText = "poison";
    for (const auto *domain : {"antwerpen-a", "antwerpen-b", "gent-a", "gent-b", "luik-a", "luik-b"}) {
        upstreams.push_back(makeUpstream(fleet, "lookup", std::string("p-") + domain, domain, poisonable));
    }
    REQUIRE(awaitServed(fleet, "lookup"));
    bool quarantined = false;
    for (std::size_t i = 0; i < 3 * process_fleet::hostCount; ++i) {
        const auto answer = sendHttpRequest(fleet.http(i % process_fleet::hostCount), "POST", "/svc/lookup/x", {}, "poison");
        quarantined = quarantined || answer.body.find("\"quarantined\"") != std::string::npos;
    }
    const auto dead = std::ranges::count_if(upstreams, [](const auto &upstream) { return upstream->hasCrashed(); });
    INFO(fleet.logs());
    CHECK(dead <= 2);
    CHECK(dead >= 1);
    CHECK(quarantined);
}

TEST_CASE("stops: a planned stop of a host and a draining upstream cut nothing off and get no new work", "[integration]")
{
    process_fleet fleet;
    fleet.awaitReady();
    upstream_fake_options slow;
    slow.workTime = std::chrono::milliseconds(150);
    slow.slots = 6;
    const auto leaving = makeUpstream(fleet, "lookup", "leaving", "gent-a", slow);
    const auto staying = makeUpstream(fleet, "lookup", "staying", "gent-b", slow);
    REQUIRE(awaitServed(fleet, "lookup"));

    std::atomic<bool> ended {false};
    std::atomic<int> broken {0};
    std::atomic<int> good {0};
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&] {
            std::vector<std::string> entries;
            auto fetched = std::chrono::steady_clock::time_point {};
            while (!ended) {
                // Caches the look-up result for 1 s, its lifetime, as real clients do.
                if (std::chrono::steady_clock::now() > fetched + std::chrono::milliseconds(1000)) {
                    entries = lookUp(fleet.http(0), "lookup").entries;
                    fetched = std::chrono::steady_clock::now();
                }
                const auto answer = sendHttpRequest(entries.empty() ? fleet.http(0) : entries.front(), "GET", "/svc/lookup/x");
                good += answer.status == 200 ? 1 : 0;
                broken += answer.status == 0 ? 1 : 0;
            }
        });
    }
    await([&] { return good > 20; });
    leaving->drain();
    await([] { return false; }, std::chrono::seconds(2));
    const int before = leaving->requestCount();
    const int code = fleet.stop(4);
    await([] { return false; }, std::chrono::seconds(1));
    ended = true;
    for (auto &caller : callers) {
        caller.join();
    }
    INFO(fleet.logs());
    CHECK(code == 0);
    CHECK(broken == 0);
    CHECK(leaving->requestCount() == before);
    CHECK(staying->requestCount() > 0);
    CHECK(staying->peakConcurrency() <= 6);
}
