#include "fakes/fleet_caller.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hornbeampick::testing;

namespace
{

constexpr std::chrono::milliseconds requestTimeout {20000};

// Closed-loop clients of one host: each sends its next request as soon as the last one is answered, until end() is called.
class closed_loop_clients
{
public:
    closed_loop_clients(const std::string &host, const std::string &service, const std::string &body, int callers)
    {
        for (int i = 0; i < callers; ++i) {
            m_threads.emplace_back([=, this] {
                while (!m_stopping) {
                    const auto answer = sendHttpRequest(host, "POST", "/svc/" + service + "/x", {}, body, requestTimeout);
                    m_served += answer.status == 200 ? 1 : 0;
                    const bool refused = answer.status != 200 && outcomeOf(answer) == "not-run";
                    m_refused += refused ? 1 : 0;
                    m_other += answer.status != 200 && !refused ? 1 : 0;
                }
            });
        }
    }

    ~closed_loop_clients()
    {
        end();
    }

    closed_loop_clients(const closed_loop_clients &) = delete;
    closed_loop_clients &operator=(const closed_loop_clients &) = delete;

    void end()
    {
        m_stopping = true;
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
    std::atomic<bool> m_stopping {false};
    std::atomic<int> m_served {0};
    std::atomic<int> m_refused {0};
    std::atomic<int> m_other {0};
    std::vector<std::thread> m_threads;
};

// Returns the seconds between the first and the last start time.
double spanOf(const std::vector<std::chrono::steady_clock::time_point> &startTimes)
{
    return std::chrono::duration<double>(startTimes.back() - startTimes.front()).count();
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
    const int before = one->requestCount() + two->requestCount();
    {
        closed_loop_clients first(fleet.http(3), "lookup", "x", 4);
        closed_loop_clients second(fleet.http(4), "lookup", "x", 4);
        CHECK(await([&] { return one->requestCount() + two->requestCount() - before > 4 * perSecond; }));
        first.end();
        second.end();
        INFO(fleet.logs());
        CHECK(first.refused() + second.refused() > 0);
        CHECK(first.other() + second.other() == 0);
    }
    auto startTimes = one->startTimes();
    const auto more = two->startTimes();
    startTimes.insert(startTimes.end(), more.begin(), more.end());
    std::ranges::sort(startTimes);
    startTimes.erase(startTimes.begin(), startTimes.begin() + before);
    // Allows one extra second of requests for the partial seconds at both ends of the interval.
    CHECK(static_cast<double>(startTimes.size()) <= perSecond * (spanOf(startTimes) + 1));
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
    REQUIRE(await([&] { return sendHttpRequest(fleet.http(3), "GET", "/v1/entry?service=lookup").body.find("Luik") != std::string::npos; }));
    const auto awayBefore = away->startTimes().size();
    const int homeBefore = home->requestCount();
    {
        closed_loop_clients callers(fleet.http(3), "lookup", "x", 4);
        CHECK(await([&] { return away->startTimes().size() - awayBefore > 4 * perSecond; }));
        callers.end();
        INFO(fleet.logs());
        CHECK(callers.other() == 0);
    }
    auto moved = away->startTimes();
    moved.erase(moved.begin(), moved.begin() + static_cast<std::ptrdiff_t>(awayBefore));
    CHECK(static_cast<double>(moved.size()) <= perSecond * (spanOf(moved) + 1));
    CHECK(home->requestCount() > homeBefore);
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
    const auto before = away->startTimes().size();
    {
        closed_loop_clients callers(fleet.http(3), "lookup", body, 6);
        CHECK(await([&] { return static_cast<double>((away->startTimes().size() - before) * body.size()) > 4 * bytesPerSecond; }));
        callers.end();
        INFO(fleet.logs());
        CHECK(callers.refused() > 0);
        CHECK(callers.other() == 0);
    }
    auto forwardedStarts = away->startTimes();
    forwardedStarts.erase(forwardedStarts.begin(), forwardedStarts.begin() + static_cast<std::ptrdiff_t>(before));
    CHECK(static_cast<double>(forwardedStarts.size() * body.size()) <= bytesPerSecond * (spanOf(forwardedStarts) + 1));
}

TEST_CASE("retries: when every upstream of a service fails, attempts stay under 1.1 times the requests", "[integration][faults]")
{
    constexpr int minAttempts = 1000;
    process_fleet fleet;
    fleet.awaitReady();
    std::vector<std::unique_ptr<upstream_fake>> upstreams;
    upstream_fake_options failing;
    failing.truncatedAnswerText = "fail";
    failing.workTime = std::chrono::milliseconds(1);
    // A failed upstream is eligible again after its next announcement, so it must announce itself often.
    failing.announceEvery = std::chrono::milliseconds(10);
    for (const auto *domain : {"antwerpen-a", "antwerpen-b", "gent-a", "gent-b", "luik-a", "luik-b"}) {
        upstreams.push_back(makeUpstream(fleet, "lookup", std::string("f-") + domain, domain, failing));
    }
    REQUIRE(awaitServed(fleet, "lookup"));
    const auto attempts = [&] {
        int total = 0;
        for (const auto &upstream : upstreams) {
            total += upstream->requestCount();
        }
        return total;
    };
    const int before = attempts();
    int requests = 0;
    {
        // Few clients, so that retries find an upstream with a free slot.
        std::vector<std::unique_ptr<closed_loop_clients>> callers;
        for (const std::size_t host : {0U, 3U}) {
            callers.push_back(std::make_unique<closed_loop_clients>(fleet.http(host), "lookup", "fail", 1));
        }
        CHECK(await([&] { return attempts() - before >= minAttempts; }));
        for (const auto &each : callers) {
            each->end();
            CHECK(each->served() == 0);
            // Requests refused as not run never reached an upstream and do not count.
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
    constexpr std::chrono::milliseconds disconnectTimeout {1000};
    process_fleet_options options;
    // Timeouts longer than the test, so that only a disconnecting client can end a request.
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
    // Enters at a host of another region, which forwards the request.
    const std::string entry = fleet.http(3);
    const auto epoch = lookUp(entry, "weigh-in").epoch;

    const int before = lookups->requestCount();
    CHECK(sendHttpRequest(entry, "POST", "/svc/lookup/x", {}, "slow", disconnectTimeout).status == 0);
    CHECK(lookups->requestCount() == before + 1);
    CHECK(await([&] { return lookups->abandoned() == 1; }));
    CHECK(await([&] { return sendHttpRequest(fleet.http(4), "GET", "/svc/lookup/x").status == 200; }));

    CHECK(sendWeighIn(entry, "left", epoch, "slow", disconnectTimeout).status == 0);
    CHECK(await([&] { return sendWeighIn(fleet.http(0), "left", epoch, "slow", requestTimeout).status == 200; }));
    INFO(fleet.logs());
    CHECK(weighs->abandoned() == 0);
    CHECK(weighs->executions().at("left") == 1);
}
