// Tests when the departure of an upstream is acknowledged, with a mock of the disk and a manual clock.

#include "fakes/manual_clock.h"
#include "node/departure_confirmer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <utility>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

constexpr std::uint64_t controlIncarnation = 7;
constexpr milliseconds step {50};
constexpr milliseconds queryInterval {500};

class saver_mock final : public announcement_saver
{
public:
    // Saves are held back while set.
    bool isStalled = false;

    void awaitSaved(std::uint64_t /*position*/, steady_time /*deadline*/, std::function<void(bool)> done) override
    {
        m_done = std::move(done);
        complete();
    }
    void complete()
    {
        if (!isStalled && m_done) {
            std::exchange(m_done, nullptr)(true);
        }
    }

private:
    std::function<void(bool)> m_done;
};

// A control host with the entry hosts "near" and "far", which query it while they can.
struct departure_fixture {
    manual_clock clock;
    announcement_log log;
    entry_host_list hosts {{.startedAt = clock.now()}};
    watch_server server {controlIncarnation, log, hosts, clock};
    saver_mock saver;
    departure_confirmer confirmer {{.hosts = hosts, .watchServer = server, .saver = saver, .clock = clock}};
    boost::asio::io_context context;
    // While set, neither the other control hosts nor the entry host "far" can be reached.
    bool isCutOff = false;
    // While set, the process of the entry host "far" does not run.
    bool isFarDown = false;
    std::optional<errc> outcome;

    departure_fixture()
    {
        pass(seconds(3));
    }

    void pass(milliseconds time)
    {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            clock.advance(step);
            if (!isCutOff) {
                hosts.recordContact(clock.now());
            }
            if (clock.now().time_since_epoch() % queryInterval == milliseconds(0)) {
                query("near", log.position());
                if (!isCutOff && !isFarDown) {
                    query("far", log.position());
                }
            }
            server.completeReady();
            saver.complete();
            context.restart();
            context.poll();
        }
    }

    // An upstream begins to leave.
    void leave()
    {
        const instance_name instance("i");
        const auto position = log.report({.service = service_name("s"),
                                          .instance = instance,
                                          .address = "10.0.0.1:80",
                                          .incarnation = 1,
                                          .state = upstream_state::draining,
                                          .reportedAt = 1},
                                         clock.now());
        server.completeReady();
        boost::asio::co_spawn(context, confirm(instance, position), boost::asio::detached);
    }

    // An entry host asks for what comes after `position`.
    void query(const char *name, std::uint64_t position)
    {
        const entry_host watcher {.host = host_name(name), .region = region_name("r"), .incarnation = 1};
        server.handle({.watcher = watcher, .source = controlIncarnation, .position = position, .wait = milliseconds(0)}, [](const watch_answer &) {});
    }

private:
    boost::asio::awaitable<void> confirm(instance_name instance, std::uint64_t position)
    {
        const auto ended = co_await confirmer.confirm(std::move(instance), position);
        outcome = ended ? errc::ok : static_cast<errc>(ended.error().value());
    }
};

} // namespace

TEST_CASE("departure_confirmer: a departure holds once all entry hosts know it and it is saved", "[node][drain]")
{
    departure_fixture fixture;
    fixture.saver.isStalled = GENERATE(false, true);
    fixture.leave();
    CHECK(!fixture.outcome);
    fixture.pass(milliseconds(500));
    if (fixture.saver.isStalled) {
        CHECK(!fixture.outcome);
        fixture.saver.isStalled = false;
        fixture.pass(step);
    }
    CHECK(fixture.outcome == errc::ok);
}

// Guards against departures that are acknowledged because entry hosts beyond a cut fall silent during the wait (review/7).
TEST_CASE("departure_confirmer: a control host that is cut off acknowledges no departure that entry hosts beyond the cut have not heard of", "[node][drain]")
{
    // Before and after the hosts beyond the cut count as silent (1050 ms after it), and after the leader of the log counts as lost.
    const auto sinceCut = GENERATE(milliseconds(100), milliseconds(850), milliseconds(1100), milliseconds(1350), milliseconds(5000));
    CAPTURE(sinceCut.count());
    departure_fixture fixture;
    fixture.pass(milliseconds(450));
    fixture.isCutOff = true;
    fixture.pass(sinceCut);
    fixture.leave();
    fixture.pass(seconds(1));
    CHECK(fixture.outcome == errc::notConfirmed);
}

// Guards against departures that are acknowledged by what was known before they were saved.
TEST_CASE("departure_confirmer: an entry host that starts while the departure is saved has to hear of it too", "[node][drain]")
{
    departure_fixture fixture;
    fixture.isFarDown = true;
    fixture.pass(milliseconds(2400));
    fixture.saver.isStalled = true;
    fixture.leave();
    // Long enough for the other entry host to hear of it.
    fixture.pass(milliseconds(150));
    fixture.query("far", 0);
    fixture.saver.isStalled = false;
    const bool hears = GENERATE(false, true);
    CAPTURE(hears);
    fixture.isFarDown = !hears;
    fixture.pass(step);
    CHECK(!fixture.outcome);
    fixture.pass(milliseconds(600));
    CHECK(fixture.outcome == (hears ? errc::ok : errc::notConfirmed));
}
