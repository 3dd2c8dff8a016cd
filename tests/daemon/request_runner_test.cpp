#include "daemon/request_runner.h"

#include "fakes/manual_clock.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;

const service_name lookup("lookup");

class death_reporter_mock final : public death_reporter
{
public:
    MAKE_MOCK1(broadcast, asio::awaitable<void>(const upstream_death &), override);
};

// Holds every request until it is cancelled.
class endless_upstreams final : public upstream_client
{
public:
    asio::awaitable<attempt_result> send(const std::string &, const proxied_request &) override
    {
        ++sent;
        asio::steady_timer never(co_await asio::this_coro::executor, steady_time::max());
        co_await never.async_wait(asio::use_awaitable);
        co_return attempt_result {};
    }
    asio::awaitable<bool> refusesConnections(const std::string &) override
    {
        co_return false;
    }

    int sent = 0;
};

// A runner that owns one upstream with one slot.
struct runner_fixture {
    runner_fixture()
    {
        gate.announce({.service = lookup,
                       .instance = instance_name("u1"),
                       .address = "127.0.0.1:1",
                       .domain = domain_name("gent-a"),
                       .incarnation = 1,
                       .slots = 1,
                       .connections = 360,
                       .state = upstream_state::active},
                      true);
        gate.place([](const upstream_report &) { return request_gate::placement {.owned = true, .immediate = true, .drained = false}; });
    }

    void start(asio::cancellation_signal &signal)
    {
        proxied_request request;
        request.service = lookup;
        request.deadline = clock.now() + seconds(60);
        asio::co_spawn(context, runner.run(request),
                       asio::bind_cancellation_slot(signal.slot(), [this](const std::exception_ptr &, const proxied_answer &) { ++ended; }));
        context.poll();
    }

    manual_clock clock;
    seeded_random_source random {1};
    asio::io_context context;
    topology fleet {{{.name = region_name("Gent"), .domains = {domain_name("gent-a")}}}};
    location self {.host = host_name("h"), .region = region_name("Gent"), .domain = domain_name("gent-a")};
    request_gate gate {{.queueLimit = seconds(60), .slowStart = milliseconds(0)}, clock, random};
    cap_table caps {fleet, self};
    poison_registry poison {{}};
    endless_upstreams upstreams;
    death_reporter_mock deaths;
    metrics counters;
    tracer traces {"h", "", clock, random};
    request_runner runner {{gate, caps, poison, upstreams, deaths, counters, traces, clock}};
    int ended = 0;
};

} // namespace

TEST_CASE("request_runner: a request cancelled while it runs, while it waits, or as its slot is granted gives the slot back")
{
    runner_fixture fixture;
    asio::cancellation_signal first;
    asio::cancellation_signal second;
    fixture.start(first);
    fixture.start(second);
    REQUIRE(fixture.upstreams.sent == 1);
    REQUIRE(fixture.gate.load(lookup).inFlight == 1);
    REQUIRE(fixture.gate.load(lookup).queued == 1);

    SECTION("the waiting one leaves")
    {
        second.emit(asio::cancellation_type::terminal);
        fixture.context.poll();
        CHECK(fixture.ended == 1);
        CHECK(fixture.gate.load(lookup).queued == 0);
        first.emit(asio::cancellation_type::terminal);
        fixture.context.poll();
    }
    SECTION("the running one leaves, and the other runs")
    {
        first.emit(asio::cancellation_type::terminal);
        fixture.context.poll();
        CHECK(fixture.upstreams.sent == 2);
        CHECK(fixture.gate.load(lookup).inFlight == 1);
        second.emit(asio::cancellation_type::terminal);
        fixture.context.poll();
    }
    SECTION("both leave at once: the slot is granted to a request that has left")
    {
        first.emit(asio::cancellation_type::terminal);
        // The end of the first request is next in the queue; the cancellation of the second follows, and only then the grant of its slot.
        fixture.context.poll_one();
        asio::post(fixture.context, [&] { second.emit(asio::cancellation_type::terminal); });
        fixture.context.poll();
        CHECK(fixture.upstreams.sent == 1);
    }
    CHECK(fixture.ended == 2);
    CHECK(fixture.gate.load(lookup).inFlight == 0);
    CHECK(fixture.gate.load(lookup).queued == 0);
}
