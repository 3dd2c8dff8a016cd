#include "fakes/fleet_caller.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hornbeampick::testing;

namespace
{

constexpr std::chrono::milliseconds patience {20000};

// Callers that ask one host as fast as they are answered, until told to end.
class crowd
{
public:
    crowd(const std::string &host, const std::string &service, const std::string &body, int callers)
    {
        for (int i = 0; i < callers; ++i) {
            m_threads.emplace_back([=, this] {
                while (!m_ended) {
                    const auto answer = plainCall(host, "POST", "/svc/" + service + "/x", {}, body, patience);
                    m_served += answer.status == 200 ? 1 : 0;
                    const bool refused = answer.status != 200 && outcomeOf(answer) == "not-run";
                    m_refused += refused ? 1 : 0;
                    m_other += answer.status != 200 && !refused ? 1 : 0;
                }
            });
        }
    }

    ~crowd()
    {
        end();
    }

    crowd(const crowd &) = delete;
    crowd &operator=(const crowd &) = delete;

    void end()
    {
        m_ended = true;
        for (auto &thread : m_threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    [[nodiscard]] int served() const
    {
        return m_served;
    }
    [[nodiscard]] int refused() const
    {
        return m_refused;
    }
    [[nodiscard]] int other() const
    {
        return m_other;
    }

private:
    std::atomic<bool> m_ended {false};
    std::atomic<int> m_served {0};
    std::atomic<int> m_refused {0};
    std::atomic<int> m_other {0};
    std::vector<std::thread> m_threads;
};

// Seconds from the first of `begun` to the last.
double spanOf(const std::vector<std::chrono::steady_clock::time_point> &begun)
{
    return std::chrono::duration<double>(begun.back() - begun.front()).count();
}

} // namespace

TEST_CASE("caps: a region's capacity holds over all its hosts, and what is beyond is refused as not run", "[integration]")
{
    constexpr int perSecond = 30;
    process_fleet fleet;
    fleet.awaitReady();
    const auto one = makeUpstream(fleet, "lookup", "one", "gent-a");
    const auto two = makeUpstream(fleet, "lookup", "two", "gent-b");
    const std::string rules = fleet.write("rules", "version 1\nregion Gent capacity lookup " + std::to_string(perSecond) + "/s  # yard office\n");
    REQUIRE(fleet.tool("rules submit --wait " + rules).exitCode == 0);
    REQUIRE(awaitServed(fleet, "lookup"));
    const int before = one->total() + two->total();
    {
        crowd first(fleet.http(3), "lookup", "x", 4);
        crowd second(fleet.http(4), "lookup", "x", 4);
        CHECK(await([&] { return one->total() + two->total() - before > 4 * perSecond; }));
        first.end();
        second.end();
        INFO(fleet.logs());
        CHECK(first.refused() + second.refused() > 0);
        CHECK(first.other() + second.other() == 0);
    }
    auto begun = one->begun();
    const auto more = two->begun();
    begun.insert(begun.end(), more.begin(), more.end());
    std::ranges::sort(begun);
    begun.erase(begun.begin(), begun.begin() + before);
    // In any stretch of so many seconds, one more for its borders.
    CHECK(static_cast<double>(begun.size()) <= perSecond * (spanOf(begun) + 1));
}

TEST_CASE("caps: a shift moves its share up to its cap, and the excess stays at home", "[integration]")
{
    constexpr int perSecond = 5;
    process_fleet fleet;
    fleet.awaitReady();
    const auto home = makeUpstream(fleet, "lookup", "home", "gent-a");
    const auto away = makeUpstream(fleet, "lookup", "away", "luik-a");
    REQUIRE(awaitServed(fleet, "lookup"));
    const std::string rules = fleet.write("rules",
                                          "version 1\nclients 127.0.0.0/8 home Gent  # network team\n"
                                          "shift lookup from Gent to Luik share 100% cap "
                                              + std::to_string(perSecond) + "/s from 2020-01-01T00:00Z  # night lead\n");
    REQUIRE(fleet.tool("rules submit --wait " + rules).exitCode == 0);
    REQUIRE(await([&] { return plainCall(fleet.http(3), "GET", "/v1/entry?service=lookup").body.find("Luik") != std::string::npos; }));
    const auto awayBefore = away->begun().size();
    const int homeBefore = home->total();
    {
        crowd callers(fleet.http(3), "lookup", "x", 4);
        CHECK(await([&] { return away->begun().size() - awayBefore > 4 * perSecond; }));
        callers.end();
        INFO(fleet.logs());
        CHECK(callers.other() == 0);
    }
    auto moved = away->begun();
    moved.erase(moved.begin(), moved.begin() + static_cast<std::ptrdiff_t>(awayBefore));
    CHECK(static_cast<double>(moved.size()) <= perSecond * (spanOf(moved) + 1));
    CHECK(home->total() > homeBefore);
}

TEST_CASE("caps: a link carries no more bytes than its cap, answers too", "[integration]")
{
    constexpr double bytesPerSecond = 800'000.0 / 8;
    const std::string body(5000, 'b');
    process_fleet fleet;
    fleet.awaitReady();
    const auto away = makeUpstream(fleet, "lookup", "away", "luik-a");
    const std::string rules = fleet.write("rules", "version 1\nlink Gent Luik cap 800kbit/s  # network operations\n");
    REQUIRE(fleet.tool("rules submit --wait " + rules).exitCode == 0);
    REQUIRE(awaitServed(fleet, "lookup"));
    const auto before = away->begun().size();
    {
        crowd callers(fleet.http(3), "lookup", body, 6);
        CHECK(await([&] { return static_cast<double>((away->begun().size() - before) * body.size()) > 4 * bytesPerSecond; }));
        callers.end();
        INFO(fleet.logs());
        CHECK(callers.refused() > 0);
        CHECK(callers.other() == 0);
    }
    auto carried = away->begun();
    carried.erase(carried.begin(), carried.begin() + static_cast<std::ptrdiff_t>(before));
    CHECK(static_cast<double>(carried.size() * body.size()) <= bytesPerSecond * (spanOf(carried) + 1));
}

TEST_CASE("retries: when every upstream of a service fails, attempts stay under 1.1 times the requests", "[integration][faults]")
{
    constexpr int attemptsWanted = 1000;
    process_fleet fleet;
    fleet.awaitReady();
    std::vector<std::unique_ptr<upstream_fake>> upstreams;
    upstream_fake_options failing;
    failing.halfAnswerText = "fail";
    failing.workTime = std::chrono::milliseconds(1);
    // A broken upstream is tried again once it announces itself.
    failing.announceEvery = std::chrono::milliseconds(10);
    for (const auto *domain : {"antwerpen-a", "antwerpen-b", "gent-a", "gent-b", "luik-a", "luik-b"}) {
        upstreams.push_back(makeUpstream(fleet, "lookup", std::string("f-") + domain, domain, failing));
    }
    REQUIRE(awaitServed(fleet, "lookup"));
    const auto attempts = [&] {
        int total = 0;
        for (const auto &upstream : upstreams) {
            total += upstream->total();
        }
        return total;
    };
    const int before = attempts();
    int requests = 0;
    {
        // Few callers, so that a retry finds an upstream that takes it.
        std::vector<std::unique_ptr<crowd>> callers;
        for (const std::size_t host : {0U, 3U}) {
            callers.push_back(std::make_unique<crowd>(fleet.http(host), "lookup", "fail", 1));
        }
        CHECK(await([&] { return attempts() - before >= attemptsWanted; }));
        for (const auto &each : callers) {
            each->end();
            CHECK(each->served() == 0);
            // What was refused as not run never reached an upstream.
            requests += each->other();
        }
    }
    INFO(fleet.logs());
    INFO("requests " << requests << ", attempts " << attempts() - before);
    CHECK(attempts() - before >= requests);
    CHECK(attempts() - before <= requests * 11 / 10);
}

TEST_CASE("cancellation: a caller that leaves frees the slot at another host; a keyed request runs on", "[integration][faults]")
{
    constexpr std::chrono::milliseconds callersPatience {1000};
    process_fleet_options options;
    // Nothing but the caller's leaving ends a request within the test.
    options.services = "services:\n  - {name: lookup, idempotent: true, timeoutMs: 120000}\n  - {name: weigh-in, timeoutMs: 120000}\n";
    process_fleet fleet(options);
    fleet.awaitReady();
    upstream_fake_options single;
    single.slots = 1;
    single.slowText = "slow";
    single.slowTime = std::chrono::milliseconds(100'000);
    const auto lookups = makeUpstream(fleet, "lookup", "l1", "luik-a", single);
    single.slowTime = std::chrono::milliseconds(2000);
    const auto weighs = makeUpstream(fleet, "weigh-in", "w1", "luik-a", single);
    REQUIRE(awaitServed(fleet, "lookup"));
    REQUIRE(awaitServed(fleet, "weigh-in"));
    // Through a host of another region, which forwards.
    const std::string entry = fleet.http(3);
    const auto epoch = lookUp(entry, "weigh-in").epoch;

    const int before = lookups->total();
    CHECK(plainCall(entry, "POST", "/svc/lookup/x", {}, "slow", callersPatience).status == 0);
    CHECK(lookups->total() == before + 1);
    CHECK(await([&] { return lookups->abandoned() == 1; }));
    CHECK(await([&] { return plainCall(fleet.http(4), "GET", "/svc/lookup/x").status == 200; }));

    CHECK(ask(entry, "left", epoch, "slow", callersPatience).status == 0);
    CHECK(await([&] { return ask(fleet.http(0), "left", epoch, "slow", patience).status == 200; }));
    INFO(fleet.logs());
    CHECK(weighs->abandoned() == 0);
    CHECK(weighs->executions().at("left") == 1);
}
