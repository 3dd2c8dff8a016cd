#include "fakes/manual_clock.h"
#include "steering/service_pool.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

const service_name weighIn("weigh-in");

upstream_report reportOf(int number, upstream_state state, wall_ms at)
{
    return {
        .service = weighIn,
        .instance = instance_name("u" + std::to_string(number)),
        .address = "127.0.0.1:" + std::to_string(9000 + number),
        .domain = domain_name("gent-a"),
        .incarnation = 1,
        .slots = 3,
        .connections = 360,
        .state = state,
        .inFlight = 0,
        .reportedAt = at,
    };
}

pool_options plainOptions()
{
    return {.announceTtl = milliseconds(2000), .queueLimit = milliseconds(250), .slowStart = milliseconds(0), .handover = milliseconds(0)};
}

// Reference model that runs beside a pool and tracks running and queued requests.
class pool_model
{
public:
    explicit pool_model(std::uint64_t seed)
        : m_random(seed)
        , m_pool(weighIn, plainOptions())
    {
        for (int i = 0; i < upstreams; ++i) {
            apply(m_pool.announce(reportOf(i, upstream_state::active, ++m_reports), true, m_clock.now()));
            m_owned.insert("u" + std::to_string(i));
            apply(m_pool.setOwned(instance_name("u" + std::to_string(i)), true, true, m_clock.now()));
        }
    }

    void step()
    {
        switch (m_random.below(9)) {
        case 0:
        case 1:
        case 2:
            admit();
            break;
        case 3:
        case 4:
            finish();
            break;
        case 5:
            announce();
            break;
        case 6:
            cancel();
            break;
        case 7:
            setRandomOwnership();
            break;
        default:
            m_clock.advance(milliseconds(m_random.below(100)));
            apply(m_pool.tick(m_clock.now()));
            break;
        }
        check();
    }

private:
    static constexpr int upstreams = 4;

    void admit()
    {
        const request_number number = ++m_numbers;
        const admit_request request {.number = number, .caller = m_random.below(3), .deadline = m_clock.now() + milliseconds(m_random.below(400)), .avoid = {}};
        const auto verdict = m_pool.admit(request, m_clock.now(), m_random);
        if (const auto *grant = std::get_if<slot_grant>(&verdict)) {
            begin(*grant);
        } else if (std::holds_alternative<slot_queued>(verdict)) {
            m_waiting.insert(number);
        }
    }

    void begin(const slot_grant &grant)
    {
        RC_ASSERT(m_owned.contains(grant.instance.string()));
        RC_ASSERT(!m_leaving.contains(grant.instance.string()));
        m_running.push_back(grant);
    }

    void finish()
    {
        if (m_running.empty()) {
            return;
        }
        const auto position = m_random.below(m_running.size());
        const auto grant = m_running[position];
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(position));
        const auto ends = {slot_outcome::answered, slot_outcome::shed, slot_outcome::abandoned};
        apply(m_pool.finish(grant, *(ends.begin() + m_random.below(ends.size())), m_clock.now()));
    }

    void announce()
    {
        const int number = static_cast<int>(m_random.below(upstreams));
        const std::string name = "u" + std::to_string(number);
        const bool leaves = m_random.below(3) == 0;
        // From here on the upstream must get no new requests, not even from within the same call.
        if (leaves) {
            m_leaving.insert(name);
        } else {
            m_leaving.erase(name);
        }
        apply(m_pool.announce(reportOf(number, leaves ? upstream_state::draining : upstream_state::active, ++m_reports), true, m_clock.now()));
    }

    void cancel()
    {
        if (m_waiting.empty()) {
            return;
        }
        const auto number = *m_waiting.begin();
        RC_ASSERT(m_pool.cancel(number));
        m_waiting.erase(number);
    }

    void setRandomOwnership()
    {
        const std::string name = "u" + std::to_string(m_random.below(upstreams));
        const bool owned = m_random.below(2) == 0;
        if (owned) {
            m_owned.insert(name);
        } else {
            m_owned.erase(name);
        }
        apply(m_pool.setOwned(instance_name(name), owned, true, m_clock.now()));
    }

    void apply(const pool_events &events)
    {
        for (const auto &grant : events.grants) {
            RC_ASSERT(m_waiting.erase(grant.number) == 1U);
            begin(grant);
        }
        for (const auto &refusal : events.refusals) {
            RC_ASSERT(m_waiting.erase(refusal.number) == 1U);
        }
    }

    void check()
    {
        std::map<std::string, std::uint32_t> held;
        for (const auto &grant : m_running) {
            ++held[grant.instance.string()];
        }
        for (const auto &[instance, count] : held) {
            RC_ASSERT(count <= 3U);
        }
        RC_ASSERT(m_pool.load(m_clock.now()).queued == m_waiting.size());
    }

    manual_clock m_clock;
    seeded_random_source m_random;
    service_pool m_pool;
    request_number m_numbers = 0;
    wall_ms m_reports = 0;
    std::vector<slot_grant> m_running;
    std::set<request_number> m_waiting;
    std::set<std::string> m_leaving;
    std::set<std::string> m_owned;
};

service_pool poolWith(int upstreams, manual_clock &clock, const pool_options &options = plainOptions())
{
    service_pool pool(weighIn, options);
    for (int i = 0; i < upstreams; ++i) {
        pool.announce(reportOf(i, upstream_state::active, 1), true, clock.now());
        pool.setOwned(instance_name("u" + std::to_string(i)), true, true, clock.now());
    }
    return pool;
}

admit_request requestOf(request_number number, std::uint64_t caller, const manual_clock &clock)
{
    return {.number = number, .caller = caller, .deadline = clock.now() + seconds(10), .avoid = {}};
}

} // namespace

TEST_CASE("service_pool: no upstream runs more than its slots, a leaving one gets nothing, no waiter is lost", "[steering][property]")
{
    CHECK(rc::check("service_pool against its model", [](std::uint64_t seed) {
        pool_model model(seed);
        for (int i = 0; i < 200; ++i) {
            model.step();
        }
    }));
}

TEST_CASE("service_pool: reports frozen at zero do not lift the owner's own count", "[steering]")
{
    manual_clock clock;
    seeded_random_source random(1);
    auto pool = poolWith(1, clock);
    for (request_number number = 1; number <= 3; ++number) {
        REQUIRE(std::holds_alternative<slot_grant>(pool.admit(requestOf(number, 1, clock), clock.now(), random)));
    }
    pool.announce(reportOf(0, upstream_state::active, 2), true, clock.now());
    CHECK(!std::holds_alternative<slot_grant>(pool.admit(requestOf(4, 1, clock), clock.now(), random)));
}

TEST_CASE("service_pool: when most reports stop at once, nothing moves; when one stops, it gets no new work", "[steering]")
{
    manual_clock clock;
    auto pool = poolWith(4, clock);
    SECTION("all silent")
    {
        clock.advance(seconds(10));
        pool.tick(clock.now());
        CHECK(pool.load(clock.now()).slots == 12);
    }
    SECTION("one silent")
    {
        clock.advance(milliseconds(1500));
        for (int i = 1; i < 4; ++i) {
            pool.announce(reportOf(i, upstream_state::active, 2), true, clock.now());
        }
        clock.advance(milliseconds(600));
        pool.tick(clock.now());
        CHECK(pool.load(clock.now()).slots == 9);
        CHECK(pool.phaseOf(instance_name("u0")) == lifecycle_phase::silent);
    }
}

TEST_CASE("service_pool: one caller with a long queue does not keep the others waiting", "[steering]")
{
    manual_clock clock;
    seeded_random_source random(1);
    auto pool = poolWith(1, clock);
    std::vector<slot_grant> running;
    for (request_number number = 1; number <= 8; ++number) {
        const auto verdict = pool.admit(requestOf(number, 1, clock), clock.now(), random);
        if (const auto *grant = std::get_if<slot_grant>(&verdict)) {
            running.push_back(*grant);
        }
    }
    REQUIRE(std::holds_alternative<slot_queued>(pool.admit(requestOf(100, 2, clock), clock.now(), random)));
    std::vector<request_number> order;
    for (const auto &grant : running) {
        for (const auto &next : pool.finish(grant, slot_outcome::abandoned, clock.now()).grants) {
            order.push_back(next.number);
        }
    }
    const auto other = std::ranges::find(order, 100U);
    REQUIRE(other != order.end());
    CHECK(other - order.begin() <= 1);
}

TEST_CASE("service_pool: an upstream gained from another host is not used before the handover is over", "[steering]")
{
    manual_clock clock;
    seeded_random_source random(1);
    auto options = plainOptions();
    options.handover = milliseconds(1000);
    service_pool pool(weighIn, options);
    pool.announce(reportOf(0, upstream_state::active, 1), true, clock.now());
    pool.setOwned(instance_name("u0"), true, false, clock.now());
    CHECK(std::holds_alternative<slot_refused>(pool.admit(requestOf(1, 1, clock), clock.now(), random)));
    clock.advance(milliseconds(1000));
    CHECK(std::holds_alternative<slot_grant>(pool.admit(requestOf(2, 1, clock), clock.now(), random)));
}

TEST_CASE("service_pool: a cold upstream gets its slots one by one", "[steering]")
{
    manual_clock clock;
    auto options = plainOptions();
    options.slowStart = milliseconds(2000);
    const auto pool = poolWith(1, clock, options);
    CHECK(pool.load(clock.now()).slots == 1);
    clock.advance(milliseconds(1000));
    CHECK(pool.load(clock.now()).slots == 2);
    clock.advance(milliseconds(1000));
    CHECK(pool.load(clock.now()).slots == 3);
}
