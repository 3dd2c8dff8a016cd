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
    constexpr int requestsACaller = 260;
    process_fleet fleet;
    fleet.awaitReady();
    std::mutex lock;
    std::vector<std::unique_ptr<upstream_fake>> upstreams;
    const std::vector<std::string> domains {"antwerpen-a", "antwerpen-b", "gent-a", "gent-b", "luik-a", "luik-b"};
    for (const auto &domain : domains) {
        upstreams.push_back(makeUpstream(fleet, "weigh-in", "up-" + domain, domain));
    }
    REQUIRE(awaitServed(fleet, "weigh-in"));

    struct told {
        int notRunLast = 0;
        int answered = 0;
        std::string body;
        bool differed = false;
    };
    std::map<std::string, told> outcomes;
    std::atomic<int> finished {0};
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            std::mt19937 random(static_cast<unsigned>(caller) + 20261204U);
            for (int i = 0; i < requestsACaller; ++i) {
                const std::string key = "c" + std::to_string(caller) + "-" + std::to_string(i);
                looked_up found;
                for (int tries = 0; tries < 20 && found.entries.empty(); ++tries) {
                    found = lookUp(fleet.http(random() % process_fleet::hostCount), "weigh-in");
                }
                told verdict;
                // The caller sends again, elsewhere, until it has an answer or has tried enough.
                for (int tries = 0; tries < 4 && verdict.answered == 0; ++tries) {
                    const std::string host = found.entries.empty() ? fleet.http(0) : found.entries[random() % found.entries.size()];
                    const auto answer = ask(host, key, found.epoch, "load " + key, std::chrono::milliseconds(4000));
                    const auto outcome = outcomeOf(answer);
                    verdict.notRunLast = outcome == "not-run" ? verdict.notRunLast + 1 : 0;
                    if (answer.status == 200) {
                        ++verdict.answered;
                        verdict.body = answer.body;
                    }
                }
                // A repeat of what was answered gets the same answer, or at worst no answer.
                if (verdict.answered > 0 && random() % 8 == 0) {
                    const auto again = ask(fleet.http(random() % process_fleet::hostCount), key, found.epoch, "load " + key, std::chrono::milliseconds(4000));
                    verdict.differed = again.status == 200 && again.body != verdict.body;
                }
                const std::lock_guard guard(lock);
                outcomes[key] = verdict;
                ++finished;
            }
        });
    }

    // Failures: one host at a time is killed or frozen, and upstreams die.
    std::mt19937 random(20261204);
    std::map<std::string, int> executions;
    const auto collect = [&](const upstream_fake &upstream) {
        for (const auto &[key, count] : upstream.executions()) {
            executions[key] += count;
        }
    };
    int faults = 0;
    while (finished < callers * requestsACaller) {
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
            upstreams[victim]->die();
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

    int doubled = 0;
    int falseNotRun = 0;
    int answered = 0;
    int differed = 0;
    for (const auto &[key, verdict] : outcomes) {
        const int runs = executions.contains(key) ? executions.at(key) : 0;
        doubled += runs > 1 ? 1 : 0;
        falseNotRun += verdict.answered == 0 && verdict.notRunLast > 0 && runs > 0 ? 1 : 0;
        answered += verdict.answered > 0 ? 1 : 0;
        differed += verdict.differed ? 1 : 0;
    }
    WARN("keyed requests " << outcomes.size() << ", answered " << answered << ", doubled " << doubled << ", false not-run " << falseNotRun);
    INFO(fleet.logs());
    CHECK(outcomes.size() == callers * requestsACaller);
    CHECK(doubled == 0);
    CHECK(falseNotRun == 0);
    CHECK(differed == 0);
    CHECK(answered > callers * requestsACaller / 2);
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
    plain_response first;
    plain_response second;
    std::thread one([&] { first = ask(fleet.http(0), "twice", epoch, "load"); });
    std::thread two([&] { second = ask(fleet.http(6), "twice", epoch, "load"); });
    one.join();
    two.join();
    INFO(fleet.logs());
    CHECK(first.status == 200);
    CHECK(second.status == 200);
    CHECK(first.body == second.body);
    CHECK(upstream->executions().at("twice") == 1);
    const auto other = ask(fleet.http(3), "twice", epoch, "another load");
    CHECK(other.status == 422);
    CHECK(outcomeOf(other) == "not-run");
}

TEST_CASE("settlements: a half-written answer is unknown, and the key never runs again", "[integration]")
{
    process_fleet fleet;
    fleet.awaitReady();
    upstream_fake_options halving;
    halving.halfAnswerText = "half";
    const auto upstream = makeUpstream(fleet, "weigh-in", "u1", "gent-a", halving);
    REQUIRE(awaitServed(fleet, "weigh-in"));
    const auto epoch = lookUp(fleet.http(3), "weigh-in").epoch;
    for (std::size_t host : {3U, 0U, 6U}) {
        const auto answer = ask(fleet.http(host), "halved", epoch, "half");
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
        const auto answer = plainCall(fleet.http(i % process_fleet::hostCount), "POST", "/svc/lookup/x", {}, "poison");
        quarantined = quarantined || answer.body.find("\"quarantined\"") != std::string::npos;
    }
    const auto dead = std::ranges::count_if(upstreams, [](const auto &upstream) { return upstream->dead(); });
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
                // The answer of a look-up is kept for its lifetime, as callers do.
                if (std::chrono::steady_clock::now() > fetched + std::chrono::milliseconds(1000)) {
                    entries = lookUp(fleet.http(0), "lookup").entries;
                    fetched = std::chrono::steady_clock::now();
                }
                const auto answer = plainCall(entries.empty() ? fleet.http(0) : entries.front(), "GET", "/svc/lookup/x");
                good += answer.status == 200 ? 1 : 0;
                broken += answer.status == 0 ? 1 : 0;
            }
        });
    }
    await([&] { return good > 20; });
    leaving->drain();
    await([] { return false; }, std::chrono::seconds(2));
    const int before = leaving->total();
    const int code = fleet.stop(4);
    await([] { return false; }, std::chrono::seconds(1));
    ended = true;
    for (auto &caller : callers) {
        caller.join();
    }
    INFO(fleet.logs());
    CHECK(code == 0);
    CHECK(broken == 0);
    CHECK(leaving->total() == before);
    CHECK(staying->total() > 0);
    CHECK(staying->peak() <= 6);
}
