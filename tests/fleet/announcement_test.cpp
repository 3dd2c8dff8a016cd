#include "fakes/manual_clock.h"
#include "fleet/announcement_log.h"
#include "fleet/entry_host_list.h"
#include "fleet/upstream_directory.h"

#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <rapidcheck.h>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

upstream_report reportOf(std::string_view instance, std::uint64_t born, wall_ms sequence, upstream_state state = upstream_state::active)
{
    return {
        .service = service_name("s"),
        .instance = instance_name(instance),
        .address = "10.0.0.1:80",
        .domain = domain_name("d"),
        .incarnation = born,
        .slots = 4,
        .state = state,
        .reportedAt = sequence,
    };
}

entry_host entryHost(std::string_view name, std::string_view region, bool serving = true)
{
    return {.host = host_name(name), .address = std::string(name) + ":80", .region = region_name(region), .incarnation = 1, .serving = serving};
}

const known_upstream &only(const std::vector<known_upstream> &all)
{
    REQUIRE(all.size() == 1);
    return all.front();
}

} // namespace

// A report with a far larger number than its successors can have would count as the latest one for good.
TEST_CASE("announcements: a report with an implausible number is not one to use", "[announcements]")
{
    constexpr wall_ms now = 1'790'000'000'000;
    const auto isUsable = [&](upstream_report report, auto upstream_report::*field, auto value) {
        report.*field = value;
        return static_cast<bool>(checkReport(report, now));
    };
    const auto good = reportOf("a", now, 5);
    const auto lead = static_cast<std::uint64_t>(std::chrono::milliseconds(std::chrono::hours(24)).count());
    REQUIRE(checkReport(good, now));
    REQUIRE(isUsable(good, &upstream_report::incarnation, std::uint64_t {0}));
    REQUIRE(isUsable(good, &upstream_report::incarnation, now + lead));
    REQUIRE_FALSE(isUsable(good, &upstream_report::incarnation, now + lead + 1));
    REQUIRE_FALSE(isUsable(good, &upstream_report::incarnation, std::numeric_limits<std::uint64_t>::max()));
    REQUIRE(isUsable(good, &upstream_report::reportedAt, wall_ms {1} << 53));
    REQUIRE_FALSE(isUsable(good, &upstream_report::reportedAt, (wall_ms {1} << 53) + 1));
    REQUIRE_FALSE(isUsable(good, &upstream_report::reportedAt, wall_ms {-1}));
    REQUIRE(isUsable(good, &upstream_report::slots, 65536U));
    REQUIRE_FALSE(isUsable(good, &upstream_report::slots, 65537U));
    REQUIRE(isUsable(good, &upstream_report::warmupLeft, milliseconds(600'000)));
    REQUIRE_FALSE(isUsable(good, &upstream_report::warmupLeft, milliseconds(600'001)));
    REQUIRE_FALSE(isUsable(good, &upstream_report::warmupLeft, milliseconds(-1)));
    REQUIRE_FALSE(isUsable(good, &upstream_report::leftAt, std::numeric_limits<wall_ms>::max()));
    REQUIRE_FALSE(isUsable(good, &upstream_report::leftAt, wall_ms {-1}));
}

TEST_CASE("announcements: a report whose upstream has no plain name is not one to use", "[announcements]")
{
    constexpr wall_ms now = 1'790'000'000'000;
    for (const std::string name : {"i-1", "i%ff", "~"}) {
        CAPTURE(name);
        REQUIRE(checkReport(reportOf(name, 1, 1), now));
    }
    for (const std::string name : {"", " ", "a b", "a\r\nb", "a\x7f", "\xff\xfe", "\xc3\xbc"}) {
        CAPTURE(name);
        REQUIRE_FALSE(checkReport(reportOf(name, 1, 1), now));
    }
    REQUIRE(checkReport(reportOf(std::string(256, 'i'), 1, 1), now));
    REQUIRE_FALSE(checkReport(reportOf(std::string(257, 'i'), 1, 1), now));
    REQUIRE_FALSE(checkReport(reportOf(std::string(10'000, 'i'), 1, 1), now));
    auto report = reportOf("a", 1, 1);
    report.service = service_name(std::string(257, 's'));
    REQUIRE_FALSE(checkReport(report, now));
    report = reportOf("a", 1, 1);
    report.domain = domain_name(std::string(257, 'd'));
    REQUIRE_FALSE(checkReport(report, now));
}

TEST_CASE("announcements: a report without an address to connect to is not one to use, unless it only deregisters", "[announcements]")
{
    constexpr wall_ms now = 1'790'000'000'000;
    auto report = reportOf("a", 1, 1);
    for (const auto *address : {"10.0.0.1:1", "10.0.0.1:65535", "127.0.0.1:80"}) {
        CAPTURE(address);
        report.address = address;
        REQUIRE(checkReport(report, now));
    }
    for (const auto *address :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:80x", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1", "a.example:80", "[::1]:80", "0.0.0.0:80"}) {
        CAPTURE(address);
        report.address = address;
        REQUIRE_FALSE(checkReport(report, now));
    }
    report.address.clear();
    REQUIRE_FALSE(checkReport(report, now));
    report.state = upstream_state::gone;
    REQUIRE(checkReport(report, now));
}

TEST_CASE("announcements: only what changes is numbered; an outdated report changes nothing", "[announcements]")
{
    manual_clock clock;
    announcement_log log;
    const auto first = log.report(reportOf("a", 1, 5), clock.now());
    REQUIRE(log.report(reportOf("a", 1, 6), clock.now()) == first);
    REQUIRE(log.report(reportOf("a", 1, 4), clock.now()) == first);
    const auto left = log.report(reportOf("a", 1, 8, upstream_state::draining), clock.now());
    REQUIRE(left > first);
    // Sent before the upstream started draining, received afterwards.
    log.report(reportOf("a", 1, 7), clock.now());
    REQUIRE(log.changedAfter(first, clock.now()).front().state == upstream_state::draining);
    REQUIRE(log.changedAfter(left, clock.now()).empty());
}

// Routes that are restricted to regions trust the failure domain of a report.
TEST_CASE("announcements: a report does not move an upstream to another failure domain", "[announcements][home]")
{
    manual_clock clock;
    announcement_log log;
    log.report(reportOf("a", 1, 5), clock.now());
    auto moved = reportOf("a", 1, 6);
    moved.domain = domain_name("e");
    log.report(moved, clock.now());
    REQUIRE(log.changedAfter(0, clock.now()).front().domain == domain_name("d"));
    // Another control host may have accepted the odd report first.
    upstream_directory directory;
    directory.onReports("c1", 1, std::vector {reportOf("a", 1, 5)}, clock.now());
    directory.onReports("c2", 1, std::vector {moved}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.domain == domain_name("d"));
    // The next incarnation may run elsewhere.
    moved.incarnation = 2;
    directory.onReports("c2", 1, std::vector {moved}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.domain == domain_name("e"));
}

TEST_CASE("announcements: an upstream that falls silent is told as such, and again when it is back", "[announcements]")
{
    manual_clock clock;
    announcement_log log({.heartbeatTimeout = milliseconds(4500)});
    log.report(reportOf("a", 1, 1), clock.now());
    clock.advance(milliseconds(4400));
    REQUIRE_FALSE(log.expire(clock.now()));
    clock.advance(milliseconds(200));
    const auto before = log.position();
    REQUIRE(log.expire(clock.now()));
    REQUIRE(log.changedAfter(before, clock.now()).front().silent);
    const auto silent = log.position();
    REQUIRE(log.report(reportOf("a", 1, 2), clock.now()) > silent);
    REQUIRE_FALSE(log.changedAfter(silent, clock.now()).front().silent);
}

TEST_CASE("announcements: a late report of a former life at an address does not bring it back", "[announcements]")
{
    manual_clock clock;
    announcement_log log;
    log.report(reportOf("old", 10, 5), clock.now());
    const auto before = log.position();
    log.report(reportOf("new", 20, 1), clock.now());
    const auto changed = log.changedAfter(before, clock.now());
    REQUIRE(changed.size() == 2);
    const auto position = log.position();
    log.report(reportOf("old", 10, 9), clock.now());
    REQUIRE(log.position() == position);
}

// An entry that names no known service retired the upstream at its address.
TEST_CASE("announcements: an entry of an unknown service does not end the upstream at its address", "[announcements]")
{
    manual_clock clock;
    announcement_log log;
    upstream_directory directory;
    auto odd = reportOf("odd", 20, 1);
    odd.service = service_name("t");
    const auto stateOfHealthy = [&] {
        directory.onReports("c1", 1, log.changedAfter(0, clock.now()), clock.now());
        const auto known = directory.upstreams(clock.now());
        REQUIRE(known.size() == 2);
        REQUIRE(known.front().report.instance == instance_name("healthy"));
        return known.front().report.state;
    };
    log.report(reportOf("healthy", 10, 5), clock.now());
    log.report(odd, clock.now());
    REQUIRE(stateOfHealthy() == upstream_state::active);
    log.setServices({service_name("s")});
    directory.setServices({service_name("s")});
    odd.reportedAt = 2;
    log.report(odd, clock.now());
    const auto position = log.position();
    log.report(reportOf("healthy", 10, 6, upstream_state::draining), clock.now());
    REQUIRE(log.position() > position);
    REQUIRE(stateOfHealthy() == upstream_state::draining);
    // Once a configuration names its service, it is a later upstream like any other.
    directory.setServices({service_name("s"), service_name("t")});
    REQUIRE(stateOfHealthy() == upstream_state::gone);
    log.setServices({service_name("s"), service_name("t")});
    odd.reportedAt = 3;
    log.report(odd, clock.now());
    REQUIRE(log.changedAfter(0, clock.now()).front().state == upstream_state::gone);
}

TEST_CASE("announcements: a new life under the same name starts its count anew", "[announcements]")
{
    manual_clock clock;
    announcement_log log;
    log.report(reportOf("a", 10, 50, upstream_state::draining), clock.now());
    const auto before = log.position();
    log.report(reportOf("a", 11, 1), clock.now());
    REQUIRE(log.changedAfter(before, clock.now()).front().state == upstream_state::active);
}

TEST_CASE("announcements: cold time is told once, as what is left of it", "[announcements]")
{
    manual_clock clock;
    announcement_log log;
    auto cold = reportOf("a", 1, 1);
    cold.warmupLeft = milliseconds(3000);
    log.report(cold, clock.now());
    const auto position = log.position();
    clock.advance(milliseconds(1500));
    cold.reportedAt = 2;
    cold.warmupLeft = milliseconds(1500);
    log.report(cold, clock.now());
    REQUIRE(log.position() == position);
    REQUIRE(log.changedAfter(0, clock.now()).front().warmupLeft == milliseconds(1500));
    // An upstream may start another warm-up at any time.
    clock.advance(milliseconds(5000));
    cold.reportedAt = 3;
    cold.warmupLeft = milliseconds(3000);
    log.report(cold, clock.now());
    REQUIRE(log.position() > position);
}

TEST_CASE("directory: an upstream that moves between control hosts is silent only when all say so", "[announcements]")
{
    manual_clock clock;
    upstream_directory directory;
    directory.onReports("c1", 1, std::vector {reportOf("a", 1, 1)}, clock.now());
    directory.onReports("c2", 1, std::vector {reportOf("a", 1, 3)}, clock.now());
    auto silent = reportOf("a", 1, 1);
    silent.silent = true;
    directory.onReports("c1", 1, std::vector {silent}, clock.now());
    REQUIRE_FALSE(only(directory.upstreams(clock.now())).report.silent);
    silent.reportedAt = 3;
    directory.onReports("c2", 1, std::vector {silent}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.silent);
}

TEST_CASE("directory: the newest report wins whichever control host tells it last", "[announcements]")
{
    manual_clock clock;
    upstream_directory directory;
    directory.onReports("c2", 1, std::vector {reportOf("a", 1, 9, upstream_state::draining)}, clock.now());
    directory.onReports("c1", 1, std::vector {reportOf("a", 1, 5)}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.state == upstream_state::draining);
}

TEST_CASE("directory: the word of an unreachable control host lapses, unless none can be reached", "[announcements]")
{
    manual_clock clock;
    upstream_directory directory;
    directory.onReports("c1", 1, std::vector {reportOf("a", 1, 1)}, clock.now());
    clock.advance(seconds(7));
    REQUIRE_FALSE(only(directory.upstreams(clock.now())).report.silent);
    directory.onReports("c2", 1, {}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.silent);
}

// Merging the reports of all upstreams again for every answer took most of an entry host's processor time with 18 control hosts and
// some thousand upstreams.
TEST_CASE("directory: an answer that changes nothing costs nothing, and one report only what it concerns", "[announcements][cost]")
{
    manual_clock clock;
    upstream_directory directory;
    std::vector<upstream_report> reports;
    for (int i = 0; i < 1000; ++i) {
        reports.push_back(reportOf("i-" + std::to_string(i), 1, 1));
        reports.back().address = "10.0.0.1:" + std::to_string(1000 + i);
    }
    directory.onReports("c1", 1, reports, clock.now());
    REQUIRE(directory.takeChanges(clock.now()).size() == reports.size());
    for (int i = 0; i < 100; ++i) {
        clock.advance(milliseconds(500));
        directory.onReports("c1", 1, {}, clock.now());
        REQUIRE(directory.takeChanges(clock.now()).empty());
    }
    reports[7].state = upstream_state::draining;
    directory.onReports("c1", 1, std::vector {reports[7]}, clock.now());
    REQUIRE(only(directory.takeChanges(clock.now())).report == reports[7]);
}

TEST_CASE("directory: the changes add up to the state of all upstreams, whatever is reported and however time passes", "[announcements][property]")
{
    CHECK(rc::check("changes and state agree", [] {
        manual_clock clock;
        upstream_directory directory;
        std::map<instance_name, known_upstream> known;
        const auto steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const auto source = "c" + std::to_string(*rc::gen::inRange(0, 3));
            const auto action = *rc::gen::inRange(0, 10);
            if (action == 0) {
                directory.setServices({service_name("s"), service_name(*rc::gen::element<std::string>("s", "t"))});
            } else if (action <= 2) {
                clock.advance(milliseconds(*rc::gen::inRange(1, 8000)));
            }
            std::vector<upstream_report> reports;
            if (action > 3) {
                auto report = reportOf("i" + std::to_string(*rc::gen::inRange(0, 4)), *rc::gen::inRange<std::uint64_t>(0, 4), *rc::gen::inRange<wall_ms>(0, 6),
                                       *rc::gen::element(upstream_state::active, upstream_state::draining, upstream_state::gone));
                report.service = service_name(*rc::gen::element<std::string>("s", "t"));
                report.address = *rc::gen::element<std::string>("10.0.0.1:80", "10.0.0.2:80", "");
                report.domain = domain_name(*rc::gen::element<std::string>("d", "e"));
                report.silent = *rc::gen::inRange(0, 4) == 0;
                report.leftAt = *rc::gen::inRange(0, 5) == 0 ? 2 : 0;
                report.warmupLeft = milliseconds(*rc::gen::element(0, 3000));
                reports.push_back(report);
            }
            directory.onReports(source, *rc::gen::inRange<std::uint64_t>(1, 3), reports, clock.now());
            for (const auto &changed : directory.takeChanges(clock.now())) {
                known[changed.report.instance] = changed;
            }
            for (const auto &each : directory.upstreams(clock.now())) {
                RC_ASSERT(known.contains(each.report.instance));
                RC_ASSERT(known.at(each.report.instance) == each);
            }
        }
    }));
}

TEST_CASE("entry hosts: look-ups name serving hosts of the region, and any others only without them", "[announcements]")
{
    manual_clock clock;
    entry_host_list hosts({.absentAfter = milliseconds(1500)});
    hosts.recordProgress(entryHost("a", "north"), 0, clock.now());
    hosts.recordProgress(entryHost("b", "south"), 0, clock.now());
    REQUIRE(hosts.select({.region = region_name("north")}, clock.now()).addresses == std::vector<std::string> {"a:80"});
    hosts.recordProgress(entryHost("a", "north", false), 0, clock.now());
    REQUIRE(hosts.select({.region = region_name("north")}, clock.now()).addresses == std::vector<std::string> {"b:80"});
    clock.advance(milliseconds(1600));
    REQUIRE(hosts.select({.region = region_name("north")}, clock.now()).addresses.empty());
}

// A control host that has just started hears of the hosts of other regions first.
TEST_CASE("entry hosts: a look-up names no other region until hosts have had time to be known", "[announcements][home]")
{
    manual_clock clock;
    entry_host_list hosts({.absentAfter = milliseconds(1500), .startedAt = clock.now()});
    clock.advance(milliseconds(1000));
    hosts.recordProgress(entryHost("b", "south"), 0, clock.now());
    REQUIRE(hosts.select({.region = region_name("north")}, clock.now()).addresses.empty());
    REQUIRE(hosts.select({.region = region_name("south")}, clock.now()).addresses.size() == 1);
    clock.advance(milliseconds(500));
    const auto later = hosts.select({.region = region_name("north")}, clock.now());
    REQUIRE(later.addresses == std::vector<std::string> {"b:80"});
    REQUIRE(later.isOutsideRegion);
    // It was frozen or cut off from all entry hosts.
    clock.advance(milliseconds(4000));
    hosts.recordProgress(entryHost("b", "south"), 0, clock.now());
    REQUIRE(hosts.select({.region = region_name("north")}, clock.now()).addresses.empty());
}

TEST_CASE("entry hosts: a look-up names only allowed regions beside the caller's own", "[announcements][home]")
{
    manual_clock clock;
    entry_host_list hosts;
    hosts.recordProgress(entryHost("b", "south"), 0, clock.now());
    hosts.recordProgress(entryHost("c", "west"), 0, clock.now());
    const std::vector<region_name> allowed {region_name("west")};
    REQUIRE(hosts.select({.region = region_name("north"), .allowedRegions = allowed}, clock.now()).addresses == std::vector<std::string> {"c:80"});
    REQUIRE(hosts.select({.region = region_name("south"), .allowedRegions = allowed}, clock.now()).addresses == std::vector<std::string> {"b:80"});
}

TEST_CASE("entry hosts: look-ups leave out isolated hosts, unless they are the majority", "[announcements]")
{
    manual_clock clock;
    entry_host_list hosts;
    const auto record = [&](std::string_view name, std::string_view region, bool isolated) {
        auto host = entryHost(std::string(name), std::string(region));
        host.relayAddress = std::string(name) + ":90";
        host.isolated = isolated;
        hosts.recordProgress(host, 0, clock.now());
    };
    record("a", "north", true);
    record("b", "north", false);
    record("c", "north", false);
    record("d", "south", false);
    REQUIRE(hosts.select({.region = region_name("north")}, clock.now()).addresses == std::vector<std::string> {"b:80", "c:80"});
    record("b", "north", true);
    REQUIRE(hosts.select({.region = region_name("north")}, clock.now()).addresses == std::vector<std::string> {"a:80", "b:80", "c:80"});
    const std::vector<relay_peer> both {{.address = "c:90", .region = region_name("north")}, {.address = "d:90", .region = region_name("south")}};
    REQUIRE(hosts.relayPeersFor(entryHost("a", "north"), 9, clock.now()) == both);
    REQUIRE(hosts.relayPeersFor(entryHost("x", "south"), 1, clock.now()) == std::vector {both.back()});
}

TEST_CASE("entry hosts: a change is known to all once each present host has followed it", "[announcements]")
{
    manual_clock clock;
    entry_host_list hosts({.absentAfter = milliseconds(1500)});
    const auto passInContact = [&](milliseconds time) {
        for (milliseconds passed {0}; passed < time; passed += milliseconds(500)) {
            clock.advance(milliseconds(500));
            hosts.recordContact(clock.now());
        }
    };
    hosts.recordContact(clock.now());
    passInContact(milliseconds(1500));
    REQUIRE_FALSE(hosts.allCaughtUp(0, clock.now()));
    hosts.recordProgress(entryHost("a", "north"), 7, clock.now());
    hosts.recordProgress(entryHost("b", "north"), 6, clock.now());
    REQUIRE_FALSE(hosts.allCaughtUp(7, clock.now()));
    hosts.recordProgress(entryHost("b", "north"), 7, clock.now());
    REQUIRE(hosts.allCaughtUp(7, clock.now()));
    // A restarted host has no announcements.
    auto restarted = entryHost("b", "north");
    restarted.incarnation = 2;
    hosts.recordProgress(restarted, 0, clock.now());
    REQUIRE_FALSE(hosts.allCaughtUp(7, clock.now()));
    passInContact(milliseconds(1000));
    hosts.recordProgress(entryHost("a", "north"), 7, clock.now());
    // Without contact, this control host itself may be partitioned from the absent host.
    clock.advance(milliseconds(1000));
    REQUIRE_FALSE(hosts.allCaughtUp(7, clock.now()));
    hosts.recordContact(clock.now() - milliseconds(600));
    REQUIRE_FALSE(hosts.allCaughtUp(7, clock.now()));
    // An absent host does not hold up the confirmation, since it forwards no requests either.
    hosts.recordContact(clock.now() - milliseconds(500));
    REQUIRE(hosts.allCaughtUp(7, clock.now()));
    hosts.recordProgress(restarted, 6, clock.now());
    REQUIRE_FALSE(hosts.allCaughtUp(7, clock.now()));
    hosts.recordProgress(restarted, 7, clock.now());
    REQUIRE(hosts.allCaughtUp(7, clock.now()));
}

TEST_CASE("announcements: what an earlier process knew is told again, and falls silent like all else", "[announcements]")
{
    manual_clock clock;
    announcement_log former;
    former.report(reportOf("a", 1, 5), clock.now());
    former.report(reportOf("b", 1, 5, upstream_state::draining), clock.now());
    announcement_log log({.heartbeatTimeout = milliseconds(4500)});
    log.restore(former.changedAfter(0, clock.now()), clock.now());
    const auto told = log.changedAfter(0, clock.now());
    REQUIRE(told.size() == 2);
    REQUIRE(told[1].state == upstream_state::draining);
    // A report that was sent before the restart.
    log.report(reportOf("b", 1, 4), clock.now());
    REQUIRE(log.changedAfter(0, clock.now())[1].state == upstream_state::draining);
    clock.advance(milliseconds(4500));
    REQUIRE(log.expire(clock.now()));
    REQUIRE(log.changedAfter(0, clock.now()).front().silent);
}

namespace
{

// A deregistration that carries only the instance name.
upstream_report deregistrationOf(std::string_view instance, wall_ms leftAt)
{
    return {.instance = instance_name(instance), .state = upstream_state::gone, .leftAt = leftAt};
}

} // namespace

TEST_CASE("announcements: a farewell that names no life ends the one that is known, and is final", "[announcements]")
{
    manual_clock clock;
    announcement_log log;
    const auto first = log.report(reportOf("a", 1000, 5), clock.now());
    const auto left = log.report(deregistrationOf("a", 2000), clock.now());
    REQUIRE(left > first);
    REQUIRE(log.report(deregistrationOf("a", 2500), clock.now()) == left);
    log.report(reportOf("a", 1000, 6), clock.now());
    const auto told = log.changedAfter(first, clock.now());
    REQUIRE(told.size() == 1);
    REQUIRE(told.front().state == upstream_state::gone);
    REQUIRE(told.front().service == service_name("s"));
    log.report(reportOf("a", 3000, 1), clock.now());
    REQUIRE(log.changedAfter(left, clock.now()).front().state == upstream_state::active);
}

TEST_CASE("announcements: a farewell that names its life need not say more", "[announcements]")
{
    manual_clock clock;
    announcement_log log;
    log.report(reportOf("a", 1000, 5), clock.now());
    upstream_report named {.instance = instance_name("a"), .incarnation = 1000, .state = upstream_state::gone};
    const auto left = log.report(named, clock.now());
    const auto told = log.changedAfter(left - 1, clock.now());
    REQUIRE(told.size() == 1);
    REQUIRE(told.front().state == upstream_state::gone);
    REQUIRE(told.front().address == "10.0.0.1:80");
    // The deregistration of an earlier incarnation changes nothing.
    log.report(reportOf("a", 2000, 1), clock.now());
    log.report(named, clock.now());
    REQUIRE(log.changedAfter(left, clock.now()).front().state == upstream_state::active);
}

TEST_CASE("directory: a farewell at a control host that never heard of the upstream ends the life known from others", "[announcements]")
{
    manual_clock clock;
    upstream_directory directory;
    directory.onReports("c1", 1, std::vector {reportOf("a", 1000, 5)}, clock.now());
    directory.onReports("c2", 1, std::vector {deregistrationOf("a", 2000)}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.state == upstream_state::gone);
    // A heartbeat that was in flight does not revive the upstream; a later incarnation does.
    directory.onReports("c1", 1, std::vector {reportOf("a", 1000, 6)}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.state == upstream_state::gone);
    directory.onReports("c3", 1, std::vector {reportOf("a", 3000, 1)}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.state == upstream_state::active);
}

TEST_CASE("directory: a host that learns of a farewell before the upstream tells lives apart by the time", "[announcements]")
{
    manual_clock clock;
    upstream_directory directory;
    directory.onReports("c2", 1, std::vector {deregistrationOf("a", 2000)}, clock.now());
    REQUIRE(directory.upstreams(clock.now()).empty());
    directory.onReports("c1", 1, std::vector {reportOf("a", 1000, 5)}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.state == upstream_state::gone);
    directory.onReports("c1", 1, std::vector {reportOf("a", 2100, 1)}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.state == upstream_state::active);
}

TEST_CASE("directory: a farewell told late by another control host does not end the next life", "[announcements]")
{
    manual_clock clock;
    upstream_directory directory;
    constexpr wall_ms left = 1'000'000;
    directory.onReports("c1", 1, std::vector {reportOf("a", 1000, 5)}, clock.now());
    directory.onReports("c2", 1, std::vector {deregistrationOf("a", left)}, clock.now());
    directory.onReports("c1", 1, std::vector {reportOf("a", left + 20000, 1)}, clock.now());
    directory.onReports("c3", 1, std::vector {deregistrationOf("a", left + 500)}, clock.now());
    REQUIRE(only(directory.upstreams(clock.now())).report.state == upstream_state::active);
}

// An absent host was removed after its retention period although no leader was known, so that a departure was confirmed without it.
TEST_CASE("entry_host_list: hosts that a control host without a leader no longer hears stay required", "[fleet]")
{
    manual_clock clock;
    entry_host_list hosts({.absentAfter = milliseconds(1500), .removedAfter = milliseconds(15000), .startedAt = clock.now()});
    const auto pass = [&](milliseconds time, bool isInContact, std::initializer_list<const char *> names) {
        for (milliseconds passed {0}; passed < time; passed += milliseconds(500)) {
            clock.advance(milliseconds(500));
            for (const auto *name : names) {
                hosts.recordProgress({.host = host_name(name), .region = region_name("r"), .incarnation = 1}, 5, clock.now());
            }
            if (isInContact) {
                hosts.recordContact(clock.now());
            }
            hosts.expire(clock.now());
        }
    };
    // Nothing is known of the fleet yet.
    pass(milliseconds(1000), false, {"near"});
    CHECK(!hosts.isFleetKnown());
    pass(milliseconds(1500), true, {"near"});
    CHECK(!hosts.isFleetKnown());
    CHECK(!hosts.allCaughtUp(5, clock.now()));
    pass(milliseconds(1500), true, {"near", "far"});
    CHECK(hosts.isFleetKnown());
    CHECK(hosts.allCaughtUp(5, clock.now()));
    // Cut off from the leader and from one host for longer than the retention period.
    pass(milliseconds(20000), false, {"near"});
    CHECK(hosts.count() == 2);
    CHECK(!hosts.allCaughtUp(5, clock.now()));
    // In touch again: the list is that of the hosts that are in touch.
    pass(milliseconds(1500), true, {"near"});
    CHECK(!hosts.allCaughtUp(5, clock.now()));
    CHECK(hosts.count() == 2);
    pass(milliseconds(500), true, {"near"});
    CHECK(hosts.allCaughtUp(5, clock.now()));
    CHECK(hosts.count() == 1);
    // After a pause of the process too.
    pass(milliseconds(1500), true, {"near", "far"});
    clock.advance(milliseconds(4000));
    pass(milliseconds(1500), true, {"near"});
    CHECK(!hosts.allCaughtUp(5, clock.now()));
    pass(milliseconds(500), true, {"near"});
    CHECK(hosts.allCaughtUp(5, clock.now()));
}
