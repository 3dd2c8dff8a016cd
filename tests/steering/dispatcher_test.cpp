#include "fakes/manual_clock.h"
#include "steering/dispatcher.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

const service_name service("s");

known_upstream upstreamOf(std::string_view name, std::string_view domain, std::uint32_t slots = 4)
{
    return {.report = {.service = service,
                       .instance = instance_name(name),
                       .address = std::string(name),
                       .domain = domain_name(domain),
                       .incarnation = 1,
                       .slots = slots,
                       .reportedAt = 1}};
}

struct dispatcher_fixture {
    manual_clock clock;
    topology fleet {{{.name = region_name("home"), .domains = {domain_name("home-a"), domain_name("home-b")}},
                     {.name = region_name("far"), .domains = {domain_name("far-a")}}}};
    seeded_random_source random {7};
    dispatcher subject {{.region = region_name("home")}, fleet, clock, random};
    std::vector<known_upstream> upstreams;

    void announce(std::vector<known_upstream> all)
    {
        upstreams = std::move(all);
        subject.setUpstreams(upstreams);
    }

    static dispatch_request request(std::optional<std::uint64_t> object = std::nullopt)
    {
        return {.service = service, .object = object, .targetLatency = milliseconds(400), .remaining = milliseconds(2000)};
    }

    // Returns the name of the granted upstream, or an empty string for a refusal.
    std::string take(const dispatch_request &wanted)
    {
        auto verdict = subject.selectUpstream(wanted);
        if (auto *grant = std::get_if<dispatch_grant>(&verdict)) {
            grants.push_back(*grant);
            return grant->instance.string();
        }
        refusals.push_back(std::get<dispatch_refusal>(verdict));
        return {};
    }

    void finish(dispatch_outcome end, const std::optional<load_report> &load = std::nullopt)
    {
        subject.finish(grants.back(), end, load);
        grants.pop_back();
    }

    std::vector<dispatch_grant> grants;
    std::vector<dispatch_refusal> refusals;
};

} // namespace

TEST_CASE("dispatcher: an object keeps to its upstream while that has a free slot", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-a"), upstreamOf("c", "home-b")});
    std::set<std::string> used;
    for (std::uint64_t object = 0; object < 40; ++object) {
        const auto first = fixture.take(dispatcher_fixture::request(object));
        fixture.finish(dispatch_outcome::answered);
        REQUIRE(fixture.take(dispatcher_fixture::request(object)) == first);
        fixture.finish(dispatch_outcome::answered);
        used.insert(first);
    }
    REQUIRE(used.size() == 3);
}

TEST_CASE("dispatcher: upstreams that leave, fell silent, are evacuated or were tried get nothing", "[dispatcher]")
{
    dispatcher_fixture fixture;
    auto leaving = upstreamOf("a", "home-a");
    leaving.report.state = upstream_state::draining;
    auto silent = upstreamOf("b", "home-a");
    silent.report.silent = true;
    fixture.announce({leaving, silent, upstreamOf("c", "home-b"), upstreamOf("d", "home-a"), upstreamOf("e", "home-a")});
    const std::vector evacuated {domain_name("home-b")};
    fixture.subject.setEvacuated(evacuated);
    const std::vector tried {instance_name("d")};
    auto wanted = dispatcher_fixture::request();
    wanted.tried = tried;
    for (int i = 0; i < 20; ++i) {
        REQUIRE(fixture.take(wanted) == "e");
        fixture.finish(dispatch_outcome::answered);
    }
}

TEST_CASE("dispatcher: with no upstream at all the refusal says so", "[dispatcher]")
{
    dispatcher_fixture fixture;
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    REQUIRE(fixture.refusals.back().error == errc::noUpstream);
    REQUIRE(fixture.refusals.back().retryAfter > milliseconds(0));
}

TEST_CASE("dispatcher: allowed regions bind", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a", 1), upstreamOf("b", "far-a", 20)});
    const std::vector home {region_name("home")};
    auto wanted = dispatcher_fixture::request();
    wanted.allowedRegions = home;
    for (int i = 0; i < 50; ++i) {
        const auto taken = fixture.take(wanted);
        REQUIRE((taken.empty() || taken == "a"));
    }
}

TEST_CASE("dispatcher: a request that cannot be in time is refused at once, with a time to come back", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a", 2)});
    int taken = 0;
    while (!fixture.take(dispatcher_fixture::request()).empty()) {
        ++taken;
    }
    // Two slots, and a short queue.
    REQUIRE(taken >= 2);
    REQUIRE(taken <= 6);
    std::set<milliseconds> times;
    for (int i = 0; i < 20; ++i) {
        fixture.take(dispatcher_fixture::request());
        REQUIRE(fixture.refusals.back().error == errc::overloaded);
        times.insert(fixture.refusals.back().retryAfter);
    }
    // Requests that are rejected together get different retry times.
    REQUIRE(times.size() > 5);
}

TEST_CASE("dispatcher: the load of other hosts counts, as the upstream told it", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-a")});
    const auto first = fixture.take(dispatcher_fixture::request());
    fixture.finish(dispatch_outcome::answered, load_report {.running = 4, .waiting = 6, .slots = 4});
    for (int i = 0; i < 3; ++i) {
        REQUIRE(fixture.take(dispatcher_fixture::request()) != first);
    }
}

TEST_CASE("dispatcher: a cold upstream gets this host's part of its rate in every second, and none from other regions", "[dispatcher]")
{
    dispatcher_fixture fixture;
    auto cold = upstreamOf("a", "home-a", 100);
    cold.warmupEnd = fixture.clock.now() + seconds(10);
    auto far = upstreamOf("b", "far-a", 100);
    far.warmupEnd = cold.warmupEnd;
    fixture.subject.setServices(std::vector<routed_service> {{.name = service, .warmup = milliseconds(3000), .warmupPerSecond = 13}});
    fixture.subject.setRegionShare({.hosts = 3});
    fixture.announce({cold, far});
    std::vector<steady_time> sent;
    for (int i = 0; i < 3000; ++i) {
        const auto taken = fixture.take(dispatcher_fixture::request());
        REQUIRE(taken != "b");
        if (!taken.empty()) {
            sent.push_back(fixture.clock.now());
            fixture.finish(dispatch_outcome::answered);
        }
        fixture.clock.advance(milliseconds(1));
    }
    REQUIRE_FALSE(sent.empty());
    for (const auto start : sent) {
        const auto count = std::ranges::count_if(sent, [&](const auto at) { return at >= start && at < start + seconds(1); });
        REQUIRE(count * 3 <= 13);
    }
}

TEST_CASE("dispatcher: upstreams of a domain that is taken back count as cold", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.subject.setServices(std::vector<routed_service> {{.name = service, .warmup = milliseconds(3000), .warmupPerSecond = 4}});
    fixture.subject.setRegionShare({.hosts = 1});
    fixture.announce({upstreamOf("a", "home-a", 100)});
    const std::vector domains {domain_name("home-a")};
    fixture.subject.setEvacuated(domains);
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    fixture.subject.setEvacuated({});
    int taken = 0;
    for (int i = 0; i < 50; ++i) {
        taken += fixture.take(dispatcher_fixture::request()).empty() ? 0 : 1;
    }
    REQUIRE(taken <= 4);
}

TEST_CASE("dispatcher: an upstream that cannot be reached is set aside, and tried again later", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-a"), upstreamOf("c", "home-a")});
    const auto failed = fixture.take(dispatcher_fixture::request());
    fixture.finish(dispatch_outcome::unreachable);
    for (int i = 0; i < 20; ++i) {
        REQUIRE(fixture.take(dispatcher_fixture::request()) != failed);
        fixture.finish(dispatch_outcome::answered);
    }
    fixture.clock.advance(milliseconds(1100));
    bool again = false;
    for (int i = 0; i < 20; ++i) {
        again = fixture.take(dispatcher_fixture::request()) == failed || again;
        fixture.finish(dispatch_outcome::answered);
    }
    REQUIRE(again);
}

TEST_CASE("dispatcher: when most upstreams fail at once none is set aside", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-a")});
    for (int i = 0; i < 40; ++i) {
        REQUIRE_FALSE(fixture.take(dispatcher_fixture::request()).empty());
        fixture.finish(dispatch_outcome::broke);
    }
}

TEST_CASE("dispatcher: another instance at an upstream's address ends its use until it reports again", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a")});
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
    fixture.finish(dispatch_outcome::misdirected);
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    fixture.upstreams.front().report.reportedAt = 2;
    fixture.subject.setUpstreams(fixture.upstreams);
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
}

TEST_CASE("dispatcher: a new life under the same name starts without the load of the former", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a", 1)});
    while (!fixture.take(dispatcher_fixture::request()).empty()) { }
    fixture.upstreams.front().report.incarnation = 2;
    fixture.subject.setUpstreams(fixture.upstreams);
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
    // A response of the previous incarnation releases no slot of the new one.
    fixture.subject.finish(fixture.grants.front(), dispatch_outcome::answered, std::nullopt);
    REQUIRE(fixture.subject.serviceStats().front().inUse == 1);
}

// Control hosts learn that an upstream leaves later than the hosts to which it has said so in a response, or never.
TEST_CASE("dispatcher: an upstream that says in a response that it leaves gets nothing, whatever is reported of this incarnation", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a")});
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
    REQUIRE(fixture.subject.markLeaving(fixture.grants.back()));
    REQUIRE_FALSE(fixture.subject.markLeaving(fixture.grants.back()));
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    REQUIRE(fixture.refusals.back().error == errc::noUpstream);
    fixture.finish(dispatch_outcome::answered);
    for (wall_ms reportedAt = 2; reportedAt < 30; ++reportedAt) {
        fixture.clock.advance(milliseconds(1000));
        fixture.upstreams.front().report.reportedAt = reportedAt;
        fixture.upstreams.front().report.address = reportedAt % 2 == 0 ? "a" : "b";
        fixture.subject.setUpstreams(fixture.upstreams);
        REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    }
    fixture.upstreams.front().report.incarnation = 2;
    fixture.subject.setUpstreams(fixture.upstreams);
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
}

TEST_CASE("dispatcher: a late response of an upstream's former incarnation does not concern the present one", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a")});
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
    fixture.upstreams.front().report.incarnation = 2;
    fixture.subject.setUpstreams(fixture.upstreams);
    REQUIRE_FALSE(fixture.subject.markLeaving(fixture.grants.back()));
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
}

// A 503 with Retry-After is the upstream's own wish and no guess of this host, unlike an ejection, which is ignored when most slots
// are ejected.
TEST_CASE("dispatcher: upstreams that want no requests for some time get none, however many they are", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-a"), upstreamOf("c", "far-a")});
    for (const auto *name : {"a", "b", "c"}) {
        CAPTURE(name);
        REQUIRE(fixture.subject.defer({.service = service, .instance = instance_name(name), .incarnation = 1}, milliseconds(2000)));
    }
    for (int i = 0; i < 199; ++i) {
        REQUIRE(fixture.take(dispatcher_fixture::request(i)).empty());
        REQUIRE(fixture.refusals.back().error == errc::overloaded);
        fixture.clock.advance(milliseconds(10));
        fixture.upstreams.front().report.reportedAt = i + 2;
        fixture.subject.setUpstreams(fixture.upstreams);
    }
    fixture.clock.advance(milliseconds(10));
    REQUIRE_FALSE(fixture.take(dispatcher_fixture::request()).empty());
}

TEST_CASE("dispatcher: a shorter Retry-After does not shorten an earlier one, a longer one does lengthen it", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a")});
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
    const auto grant = fixture.grants.back();
    REQUIRE_FALSE(fixture.subject.defer(grant, milliseconds(0)));
    REQUIRE(fixture.subject.defer(grant, milliseconds(1000)));
    fixture.clock.advance(milliseconds(100));
    REQUIRE_FALSE(fixture.subject.defer(grant, milliseconds(300)));
    fixture.clock.advance(milliseconds(800));
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    REQUIRE(fixture.subject.defer(grant, milliseconds(500)));
    fixture.clock.advance(milliseconds(499));
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    fixture.clock.advance(milliseconds(1));
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
}

TEST_CASE("dispatcher: a Retry-After ends with the incarnation that sent it", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a")});
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
    REQUIRE(fixture.subject.defer(fixture.grants.back(), milliseconds(60000)));
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    fixture.upstreams.front().report.incarnation = 2;
    fixture.subject.setUpstreams(fixture.upstreams);
    REQUIRE_FALSE(fixture.subject.defer(fixture.grants.front(), milliseconds(60000)));
    REQUIRE(fixture.take(dispatcher_fixture::request()) == "a");
}

TEST_CASE("dispatcher: when all upstreams for a request are deferred, it is told when the first accepts requests again", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-b"), upstreamOf("c", "far-a")});
    const auto deferFor = [&](std::string_view name, milliseconds wait) {
        REQUIRE(fixture.subject.defer({.service = service, .instance = instance_name(name), .incarnation = 1}, wait));
    };
    deferFor("a", milliseconds(1800));
    deferFor("b", milliseconds(1200));
    deferFor("c", milliseconds(700));
    const std::vector home {region_name("home")};
    const std::vector tried {instance_name("b")};
    std::set<milliseconds> times;
    for (int i = 0; i < 20; ++i) {
        // The upstream that made the request wait can serve its next attempt.
        auto wanted = dispatcher_fixture::request();
        wanted.allowedRegions = home;
        wanted.tried = tried;
        REQUIRE(fixture.take(wanted).empty());
        times.insert(fixture.refusals.back().retryAfter);
    }
    REQUIRE(*times.begin() >= milliseconds(1200));
    REQUIRE(*times.rbegin() <= milliseconds(1500));
    // Requests that are rejected together get different retry times.
    REQUIRE(times.size() > 5);
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    REQUIRE(fixture.refusals.back().retryAfter >= milliseconds(700));
    REQUIRE(fixture.refusals.back().retryAfter <= milliseconds(1000));
    // A caller that does not wait that long may find another host that can serve it.
    auto impatient = dispatcher_fixture::request();
    impatient.remaining = milliseconds(600);
    REQUIRE(fixture.take(impatient).empty());
    REQUIRE(fixture.refusals.back().retryAfter <= milliseconds(1500));
    deferFor("c", milliseconds(3600000));
    deferFor("b", milliseconds(3600000));
    deferFor("a", milliseconds(3600000));
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    REQUIRE(fixture.refusals.back().retryAfter <= milliseconds(1500));
}

TEST_CASE("dispatcher: an upstream that was tried and is not deferred bounds the time to return", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-a")});
    REQUIRE(fixture.subject.defer({.service = service, .instance = instance_name("a"), .incarnation = 1}, milliseconds(1900)));
    const std::vector tried {instance_name("b")};
    auto wanted = dispatcher_fixture::request();
    wanted.tried = tried;
    REQUIRE(fixture.take(wanted).empty());
    REQUIRE(fixture.refusals.back().retryAfter < milliseconds(500));
}

// Upstreams that answer 503 with Retry-After are full, not gone: if their region had no slots at all, all its requests would go to other
// regions at once and return as suddenly.
TEST_CASE("dispatcher: while all upstreams of the region are deferred its requests leave only in small steps", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.subject.setRegionShare({.hosts = 1});
    fixture.announce({upstreamOf("a", "home-a", 50), upstreamOf("b", "home-b", 50), upstreamOf("c", "far-a", 200)});
    const auto shareThatLeaves = [&](int requests) {
        int left = 0;
        for (int i = 0; i < requests; ++i) {
            const auto taken = fixture.take(dispatcher_fixture::request(i));
            left += taken == "c" ? 1 : 0;
            if (!taken.empty()) {
                fixture.finish(dispatch_outcome::answered);
            }
            fixture.clock.advance(milliseconds(10));
        }
        return static_cast<double>(left) / requests;
    };
    REQUIRE(shareThatLeaves(200) == 0);
    for (const auto *name : {"a", "b"}) {
        REQUIRE(fixture.subject.defer({.service = service, .instance = instance_name(name), .incarnation = 1}, milliseconds(2000)));
    }
    const auto share = shareThatLeaves(200);
    REQUIRE(share > 0);
    REQUIRE(share < 0.15);
    REQUIRE(shareThatLeaves(200) < 0.15);
}

TEST_CASE("dispatcher: a deferred upstream counts among those that do not fail", "[dispatcher]")
{
    dispatcher_fixture fixture;
    fixture.announce({upstreamOf("a", "home-a"), upstreamOf("b", "home-a"), upstreamOf("c", "home-a")});
    const auto failing = fixture.take(dispatcher_fixture::request());
    fixture.finish(dispatch_outcome::unreachable);
    for (const auto *name : {"a", "b", "c"}) {
        if (name != failing) {
            REQUIRE(fixture.subject.defer({.service = service, .instance = instance_name(name), .incarnation = 1}, milliseconds(900)));
        }
    }
    REQUIRE(fixture.take(dispatcher_fixture::request()).empty());
    fixture.clock.advance(milliseconds(900));
    const auto taken = fixture.take(dispatcher_fixture::request());
    REQUIRE_FALSE(taken.empty());
    REQUIRE(taken != failing);
}

namespace
{

// Drives a dispatcher with random reports, responses and requests, and compares its choices with a model of what upstreams have stated in
// their responses.
class statements_model
{
public:
    explicit statements_model(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void step()
    {
        const auto chosen = m_random.below(names.size());
        auto &upstream = m_upstreams.at(chosen);
        const dispatch_grant grant {.service = service, .instance = instance_name(names.at(chosen)), .incarnation = upstream.incarnation};
        switch (m_random.below(8)) {
        case 0:
            m_fixture.subject.markLeaving(grant);
            upstream.leaving = true;
            break;
        case 1: {
            const milliseconds wait(m_random.below(3000));
            m_fixture.subject.defer(grant, wait);
            upstream.deferredUntil = std::max(upstream.deferredUntil, m_fixture.clock.now() + wait);
            break;
        }
        case 2:
            if (m_random.below(3) == 0) {
                upstream = {.incarnation = upstream.incarnation + 1};
            }
            report(chosen);
            break;
        case 3:
            m_fixture.clock.advance(milliseconds(m_random.below(400)));
            break;
        default:
            take();
            break;
        }
    }

    void start()
    {
        for (std::size_t i = 0; i < names.size(); ++i) {
            report(i);
        }
    }

private:
    static constexpr std::array<std::string_view, 4> names {"a", "b", "c", "d"};
    struct upstream_model {
        std::uint64_t incarnation = 1;
        bool leaving = false;
        steady_time deferredUntil {};
    };

    void report(std::size_t which)
    {
        auto known = upstreamOf(names.at(which), "home-a");
        known.report.incarnation = m_upstreams.at(which).incarnation;
        known.report.reportedAt = ++m_reports;
        m_fixture.subject.setUpstreams(std::vector {known});
    }

    void take()
    {
        const auto now = m_fixture.clock.now();
        const auto accepts = [now](const upstream_model &each) { return !each.leaving && each.deferredUntil <= now; };
        const auto taken = m_fixture.take(dispatcher_fixture::request(m_random.below(10)));
        if (taken.empty()) {
            RC_ASSERT(std::ranges::none_of(m_upstreams, accepts));
            return;
        }
        const auto which = static_cast<std::size_t>(std::ranges::find(names, taken) - names.begin());
        RC_ASSERT(accepts(m_upstreams.at(which)));
        const std::array ends {dispatch_outcome::answered, dispatch_outcome::abandoned};
        m_fixture.finish(ends.at(m_random.below(ends.size())));
    }

    seeded_random_source m_random;
    dispatcher_fixture m_fixture;
    std::array<upstream_model, names.size()> m_upstreams {};
    wall_ms m_reports = 0;
};

} // namespace

TEST_CASE("dispatcher: no upstream gets a request that it has said it does not want", "[dispatcher][property]")
{
    CHECK(rc::check("dispatcher against its model of statements", [](std::uint64_t seed) {
        statements_model model(seed);
        model.start();
        for (int i = 0; i < 300; ++i) {
            model.step();
        }
    }));
}

// Each entry host sent a cold upstream at least one request a second: 24 hosts together overran it as soon as it joined.
TEST_CASE("dispatcher: all hosts of a region together keep the rate of a cold upstream, however many they are", "[dispatcher][cold]")
{
    constexpr std::uint32_t allowedPerSecond = 13;
    constexpr auto warmup = seconds(6);
    const std::uint32_t hosts = GENERATE(1U, 7U, 8U, 24U, 73U);
    // Some hosts have not heard of the newest ones yet.
    const std::uint32_t unknownHosts = GENERATE(0U, 2U);
    CAPTURE(hosts, unknownHosts);
    dispatcher_fixture clocks;
    std::vector<std::unique_ptr<dispatcher>> all;
    for (std::uint32_t i = 0; i < hosts; ++i) {
        all.push_back(std::make_unique<dispatcher>(dispatcher_options {.region = region_name("home")}, clocks.fleet, clocks.clock, clocks.random));
        const bool knowsAll = i % 2 == 0 || hosts <= unknownHosts || i >= hosts - unknownHosts;
        all.back()->setRegionShare({.hosts = knowsAll ? hosts : hosts - unknownHosts, .index = i});
        all.back()->setServices(std::vector<routed_service> {{.name = service, .warmup = warmup, .warmupPerSecond = 2}});
        auto cold = upstreamOf("cold", "home-a", 100);
        // The news reaches the hosts at different times.
        cold.warmupEnd = clocks.clock.now() + warmup + milliseconds(i % 5 * 10);
        all.back()->setUpstreams(std::vector<known_upstream> {cold});
    }
    std::vector<steady_time> sentAt;
    const auto start = clocks.clock.now();
    while (clocks.clock.now() < start + warmup) {
        for (const auto &host : all) {
            const auto verdict = host->selectUpstream(dispatcher_fixture::request());
            if (const auto *grant = std::get_if<dispatch_grant>(&verdict)) {
                sentAt.push_back(clocks.clock.now());
                host->finish(*grant, dispatch_outcome::answered, std::nullopt);
            }
        }
        clocks.clock.advance(milliseconds(10));
    }
    for (const auto &first : sentAt) {
        const auto withinSecond = std::ranges::count_if(sentAt, [&](steady_time each) { return each >= first && each < first + seconds(1); });
        REQUIRE(withinSecond <= allowedPerSecond);
    }
    // The warm-up gets as many requests as with seven hosts of one a second each, or nearly.
    const auto atSeven = std::min(hosts, cold_share::minRate) * 6;
    INFO("sent: " << sentAt.size());
    CHECK(sentAt.size() * 10 >= atSeven * 8);
}
