// Replaces hosts of an earlier build by hosts of this one, one after another and also back, under load. Needs the program of the earlier build.

#include "fakes/node_fleet.h"
#include "fakes/scripted_upstream.h"
#include "soak/entry_client.h"
#include "soak/fault_block.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <sstream>
#include <thread>

using namespace hornbeampick;
using namespace hornbeampick::testing;
using soak::request_end;

namespace
{

using std::chrono::steady_clock;

// The users' bounds on an acknowledged deregistration, configuration and evacuation.
constexpr milliseconds drainBound {2500};
constexpr milliseconds routesBound {2500};
constexpr milliseconds evacuationBound {5000};
constexpr milliseconds requestDeadline {2000};
constexpr steady_time never = steady_time::max();
constexpr std::size_t hostsOfEachKind = 3;

std::string formerProgram()
{
    const auto *path = std::getenv("HORNBEAMPICK_FORMER");
    if (path == nullptr || *path == '\0') {
        FAIL("HORNBEAMPICK_FORMER is not set; set it to the program that tools/build-former prints");
    }
    return path;
}

// Routes of hostname x: /once/, /retry/, /south/ that is restricted to region south, and /vVERSION/.
std::string configurationOf(std::uint64_t version)
{
    const auto number = std::to_string(version);
    return R"({"version":"r)" + number
        + R"(","routes":{"columns":["name","hostname","path_prefix","route_type","timeout_ms","target_latency_ms","priority","service","max_attempts","allowed_regions"],"rows":[)"
        + R"(["v","x","/v)" + number
        + R"(/","idempotent",3000,400,1,"s",2,[]],["r","x","/retry/","idempotent",3000,400,1,"s",2,[]],["o","x","/once/","non_idempotent",3000,400,0,"s",2,[]],)"
        + R"(["h","x","/south/","idempotent",3000,400,1,"s",2,["south"]]]},"services":{"columns":["name","warmup_s","warmup_per_s"],"rows":[["s",1.0,200.0]]}})";
}

std::uint64_t versionIn(const std::string &configuration)
{
    const std::string mark = R"("version":"r)";
    const auto at = configuration.find(mark);
    return at == std::string::npos ? 0 : std::stoull(configuration.substr(at + mark.size()));
}

// A host to replace, and the build that it runs afterwards.
struct replacement {
    std::string host;
    bool toFormer = false;
};

// A promise about an upstream or a failure domain, from its acknowledgement on.
struct promise {
    std::string name;
    steady_time from {};
    steady_time until = never;
};

// A fleet of the former build with four upstreams, callers on kept connections, and a record of what they see.
class upgrade_fixture
{
public:
    explicit upgrade_fixture(const std::string &program, std::span<const std::string> presentHosts = {})
        : fleet({.controlHosts = hostsOfEachKind, .entryHosts = hostsOfEachKind, .preload = HORNBEAMPICK_FAULT_LIBRARY, .program = program})
        , m_former(program)
    {
        for (const auto *domain : {"north-a", "north-b", "south-a", "south-b"}) {
            auto &made = m_upstreams[domain];
            made.server = std::make_unique<scripted_upstream>(
                [this, domain = std::string(domain)](const received_request &request, scripted_upstream::socket &to) { return run(domain, request, to); });
        }
        for (const auto &host : presentHosts) {
            fleet.setProgram(host, "");
        }
        fleet.startAll();
        m_threads.emplace_back([this] { sendHeartbeats(); });
        REQUIRE(putRoutes());
        REQUIRE(awaitCondition([&] { return serves(0) && serves(1) && serves(2); }));
    }
    ~upgrade_fixture()
    {
        stopLoad();
    }
    upgrade_fixture(const upgrade_fixture &) = delete;
    upgrade_fixture &operator=(const upgrade_fixture &) = delete;

    void startLoad()
    {
        for (std::size_t entry = 0; entry < hostsOfEachKind; ++entry) {
            for (std::size_t caller = 0; caller < callersPerHost; ++caller) {
                m_threads.emplace_back([this, entry] { call(entry); });
            }
        }
        m_threads.emplace_back([this] { readRoutes(); });
    }
    void stopLoad()
    {
        m_stopped = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
    }

    // Sends an order to the control hosts in turn until one accepts it.
    bool order(const std::string &target, const std::string &body = "")
    {
        return awaitCondition([&] { return callHttp(fleet.control(m_turn++ % hostsOfEachKind), "POST", target, body).status == 200; });
    }
    bool putRoutes()
    {
        const auto version = ++m_sentVersion;
        if (!order("/-/Config.Put", configurationOf(version))) {
            return false;
        }
        const std::lock_guard guard(m_lock);
        m_versions.push_back({.name = std::to_string(version), .from = steady_clock::now()});
        return true;
    }
    // Returns true if every entry host serves a route that only the newest version has.
    bool servesNewestRoutes()
    {
        const auto path = "/v" + std::to_string(m_sentVersion.load()) + "/";
        return serves(0, path) && serves(1, path) && serves(2, path);
    }
    bool evacuate(const std::string &domain)
    {
        const bool accepted = order("/-/Evacuate.Start/" + domain);
        const std::lock_guard guard(m_lock);
        m_evacuations.push_back({.name = domain, .from = steady_clock::now()});
        return accepted;
    }
    bool takeBack(const std::string &domain)
    {
        end(m_evacuations, domain);
        return order("/-/Evacuate.End/" + domain);
    }
    // Deregisters the upstream of a failure domain; false if no control host acknowledges it.
    bool retire(const std::string &domain)
    {
        {
            const std::lock_guard guard(m_lock);
            m_upstreams[domain].announces = false;
        }
        const bool accepted = order("/-/Instances.Deregister/" + domain);
        const std::lock_guard guard(m_lock);
        m_departures.push_back({.name = domain, .from = steady_clock::now()});
        return accepted;
    }
    void admit(const std::string &domain)
    {
        end(m_departures, domain);
        const std::lock_guard guard(m_lock);
        const auto startedAt = std::chrono::system_clock::now().time_since_epoch();
        m_upstreams[domain].incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(startedAt).count());
        m_upstreams[domain].announces = true;
    }

    // Stops a host as operators do and starts the other build.
    void replace(const replacement &step)
    {
        CAPTURE(step.host, step.toFormer);
        fleet.signal(step.host, SIGTERM);
        REQUIRE(fleet.awaitExit(step.host) == 0);
        fleet.setProgram(step.host, step.toFormer ? m_former : "");
        fleet.start(step.host);
        if (step.host.starts_with("entry-")) {
            REQUIRE(awaitCondition([&] { return serves(step.host.back() - '0'); }));
        } else {
            REQUIRE(awaitCondition([&] { return callHttp(fleet.control(step.host.back() - '0'), "GET", "/-/Config.Get").status == 200; }));
        }
    }

    bool serves(std::size_t entry, const std::string &path = "/retry/")
    {
        const auto id = "own" + std::to_string(++m_nextId);
        return callHttp(fleet.front(entry), "GET", path + id, "", {{"Request-Id", id}, {"Deadline-Ms", std::to_string(requestDeadline.count())}}).status == 200;
    }
    // Returns how many of `count` requests an entry host serves, one after another.
    int servedOf(std::size_t entry, const std::string &path, int count)
    {
        int served = 0;
        for (int i = 0; i < count; ++i) {
            served += serves(entry, path) ? 1 : 0;
        }
        return served;
    }
    // Sets whether new connections of an entry host to upstreams are refused.
    void setUpstreamsUnreachable(std::size_t entry, bool unreachable) const
    {
        const soak::fault_block block {.upstreamsUnreachable = unreachable ? 1 : 0};
        std::ofstream file(fleet.faultFileOf("entry-" + std::to_string(entry)), std::ios::binary | std::ios::in | std::ios::out);
        file.write(reinterpret_cast<const char *>(&block), sizeof(block));
    }
    bool hasRun(const std::string &domain, std::size_t more = 1)
    {
        const auto before = m_upstreams.at(domain).server->requests();
        return awaitCondition([&] { return m_upstreams.at(domain).server->requests() >= before + more; });
    }

    // Returns what was seen against the rules, a line each. Requires stopLoad().
    std::string violations() const
    {
        std::string all;
        for (const auto &[id, seen] : m_requests) {
            const auto note = [&, &id = id, &seen = seen](const std::string &what) {
                std::ostringstream line;
                line << what << ": " << id << " at entry-" << seen.entry << ", status " << seen.answer.status << '\n';
                all += line.str();
            };
            const auto found = m_runs.find(id);
            const std::size_t runs = found != m_runs.end() ? found->second : 0;
            const bool cut = seen.answer.end == request_end::closed;
            if (cut && (runs > 0 || seen.took > lossSlack)) {
                note("request without an answer");
            }
            if (seen.answer.end == request_end::timedOut || seen.answer.status == 404 || (seen.answer.status >= 500 && seen.answer.status != 503)) {
                note("request failed");
            }
            if (seen.answer.status == 503 && runs > 0) {
                note("refused, but run");
            }
            if (seen.answer.status == 200 && seen.answer.body != "for " + id) {
                note("another request's answer");
            }
            if (runs > 1 && id.starts_with("once")) {
                note("run twice");
            }
        }
        return all + m_violations;
    }
    std::size_t served() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_requests, [](const auto &each) { return each.second.answer.status == 200; }));
    }
    std::size_t asked() const
    {
        return m_requests.size();
    }

    node_fleet fleet;

private:
    static constexpr std::size_t callersPerHost = 3;
    static constexpr milliseconds lossSlack {200};

    struct upstream {
        std::unique_ptr<scripted_upstream> server {};
        bool announces = true;
        std::uint64_t incarnation = node_fleet::firstIncarnation;
        std::uint64_t sequence = 0;
    };
    struct caller_request {
        std::size_t entry = 0;
        soak::client_answer answer {};
        steady_clock::duration took {};
    };

    void end(std::vector<promise> &promises, const std::string &name)
    {
        const std::lock_guard guard(m_lock);
        for (auto &each : promises) {
            each.until = each.name == name ? std::min(each.until, steady_clock::now()) : each.until;
        }
    }

    static bool breaks(const std::vector<promise> &promises, const std::string &name, steady_time at, milliseconds bound)
    {
        return std::ranges::any_of(promises, [&](const promise &each) { return each.name == name && at > each.from + bound && at < each.until; });
    }

    bool run(const std::string &domain, const received_request &request, scripted_upstream::socket &to)
    {
        const auto id = request.field("Request-Id");
        {
            const std::lock_guard guard(m_lock);
            const auto at = steady_clock::now();
            ++m_runs[id];
            const auto note = [&](const std::string &what) { m_violations += what + " " + domain + ": " + request.line() + "\n"; };
            if (request.line().find(" /south/") != std::string::npos && !domain.starts_with("south")) {
                note("restricted request in");
            }
            if (breaks(m_departures, domain, at, drainBound)) {
                note("request after the deregistration of");
            }
            if (breaks(m_evacuations, domain, at, evacuationBound)) {
                note("request after the evacuation of");
            }
        }
        // Every eighth request runs long enough to be at work while its host is stopped.
        std::this_thread::sleep_for(milliseconds(id.back() == '7' ? 900 : 10));
        scripted_upstream::write(to, scripted_upstream::answer(request, "for " + id));
        return true;
    }

    void sendHeartbeats()
    {
        while (!m_stopped) {
            for (auto &[domain, each] : m_upstreams) {
                std::uint64_t incarnation = 0;
                {
                    const std::lock_guard guard(m_lock);
                    if (!each.announces) {
                        continue;
                    }
                    incarnation = each.incarnation;
                }
                ++each.sequence;
                for (std::size_t tries = 0; tries < hostsOfEachKind; ++tries) {
                    const auto host = (each.sequence + tries) % hostsOfEachKind;
                    if (fleet.report(host, domain, each.server->address(), "ready", each.sequence, domain, false, incarnation) == 200) {
                        break;
                    }
                }
            }
            std::this_thread::sleep_for(milliseconds(200));
        }
    }

    void call(std::size_t entry)
    {
        const std::vector<std::string> kinds {"once", "retry", "south"};
        soak::entry_client client(fleet.front(entry));
        while (!m_stopped) {
            const auto number = ++m_nextId;
            const auto &kind = kinds[number % kinds.size()];
            const auto id = kind + std::to_string(number);
            const auto sentAt = steady_clock::now();
            const auto answer
                = client.send(std::string("/").append(kind).append("/e").append(std::to_string(entry)).append("/").append(id), id, requestDeadline);
            const auto took = steady_clock::now() - sentAt;
            if (answer.end != request_end::notSent) {
                const std::lock_guard guard(m_lock);
                m_requests[id] = {.entry = entry, .answer = answer, .took = took};
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
    }

    void readRoutes()
    {
        for (std::size_t turn = 0; !m_stopped; ++turn) {
            const auto host = turn % hostsOfEachKind;
            const auto sentAt = steady_clock::now();
            const auto answer = callHttp(fleet.control(host), "GET", "/-/Config.Get");
            if (answer.status == 200) {
                const std::lock_guard guard(m_lock);
                const auto version = versionIn(answer.body);
                if (std::ranges::any_of(m_versions,
                                        [&](const promise &each) { return sentAt > each.from + routesBound && std::stoull(each.name) > version; })) {
                    m_violations += "control-" + std::to_string(host) + " answers the old version " + std::to_string(version) + "\n";
                }
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }

    std::string m_former;
    std::map<std::string, upstream> m_upstreams;
    std::atomic<bool> m_stopped {false};
    std::atomic<std::uint64_t> m_sentVersion {0};
    std::atomic<std::uint64_t> m_nextId {0};
    std::size_t m_turn = 0;
    mutable std::mutex m_lock;
    // All below are guarded by m_lock while the load runs.
    std::vector<promise> m_versions;
    std::vector<promise> m_evacuations;
    std::vector<promise> m_departures;
    std::map<std::string, caller_request> m_requests;
    std::map<std::string, std::size_t> m_runs;
    std::string m_violations;
    std::vector<std::thread> m_threads;
};

// Replaces hosts in the given order under load, while routes change and an upstream leaves and returns.
void replaceUnderLoad(std::span<const replacement> order)
{
    upgrade_fixture fixture(formerProgram());
    auto &fleet = fixture.fleet;
    REQUIRE(fixture.evacuate("north-b"));
    fixture.startLoad();
    bool retired = false;
    for (const auto &step : order) {
        INFO(step.host << fleet.logs());
        // What the mix before the replacement acknowledges holds in the mix after it.
        if (retired) {
            fixture.admit("south-b");
        } else {
            REQUIRE(fixture.retire("south-b"));
        }
        retired = !retired;
        REQUIRE(fixture.putRoutes());
        fixture.replace(step);
        CHECK(awaitCondition([&] { return fixture.servesNewestRoutes(); }));
        REQUIRE(fixture.putRoutes());
        std::this_thread::sleep_for(routesBound);
        CHECK(fixture.servesNewestRoutes());
    }
    // What is on the disks, written by both builds, is enough.
    for (const auto *host : {"control-0", "control-1", "control-2"}) {
        fleet.kill(host);
    }
    for (const auto *host : {"control-0", "control-1", "control-2"}) {
        fleet.start(host);
    }
    REQUIRE(fixture.putRoutes());
    std::this_thread::sleep_for(routesBound);
    CHECK(fixture.servesNewestRoutes());
    REQUIRE(fixture.takeBack("north-b"));
    const bool isUsedAgain = fixture.hasRun("north-b", 10);
    INFO(fleet.logs());
    CHECK(isUsedAgain);
    fixture.stopLoad();
    INFO(fleet.logLinesWith("north-b"));
    INFO(fleet.logLinesWith("south-b"));
    CHECK(fixture.violations() == "");
    CHECK(fixture.served() * 10 > fixture.asked() * 9);
}

} // namespace

TEST_CASE("upgrade: control hosts and then entry hosts are replaced under load; no request is lost, and nothing acknowledged", "[integration][upgrade]")
{
    replaceUnderLoad(std::vector<replacement> {{"control-0"}, {"control-1"}, {"control-2"}, {"entry-0"}, {"entry-1"}, {"entry-2"}});
}

TEST_CASE("upgrade: entry hosts and then control hosts are replaced under load; no request is lost, and nothing acknowledged", "[integration][upgrade]")
{
    replaceUnderLoad(std::vector<replacement> {{"entry-0"}, {"entry-1"}, {"entry-2"}, {"control-2"}, {"control-1"}, {"control-0"}});
}

TEST_CASE("upgrade: hosts of both kinds are replaced and go back to the former build; no request is lost, and nothing acknowledged", "[integration][upgrade]")
{
    const bool toFormer = true;
    replaceUnderLoad(std::vector<replacement> {{"control-1"},
                                               {"entry-1"},
                                               {"control-0"},
                                               {"control-1", toFormer},
                                               {"entry-1", toFormer},
                                               {"control-2"},
                                               {"entry-0"},
                                               {"control-0", toFormer},
                                               {"control-2", toFormer}});
}

TEST_CASE("upgrade: an entry host that reaches no upstream serves through peers of its build, and harms none of another", "[integration][upgrade]")
{
    struct build_mix {
        std::vector<std::string> presentHosts;
        // The cut-off host is of this build, and so are a control host and another entry host.
        bool servesThroughPeers = false;
        // That other entry host is in the region to which the route /south/ is restricted.
        bool servesRestricted = false;
    };
    const auto mix = GENERATE(values<build_mix>({
        {{"control-0", "control-1", "control-2", "entry-0", "entry-2"}, true},
        {{"control-1", "entry-0", "entry-2"}, true},
        {{"control-0", "control-1", "control-2", "entry-0", "entry-1"}, true, true},
        {{"control-1", "entry-0", "entry-1"}, true, true},
        {{"entry-0", "entry-2"}},
        {{"control-0", "control-1", "control-2", "entry-1", "entry-2"}},
    }));
    CAPTURE(mix.presentHosts);
    upgrade_fixture fixture(formerProgram(), mix.presentHosts);
    INFO(fixture.fleet.logs());
    fixture.setUpstreamsUnreachable(0, true);
    const auto cutAt = steady_clock::now();
    while (steady_clock::now() - cutAt < milliseconds(2500)) {
        fixture.serves(0);
        std::this_thread::sleep_for(milliseconds(20));
    }
    constexpr int tries = 20;
    for (const auto *path : {"/once/", "/south/"}) {
        CAPTURE(path);
        if (mix.servesThroughPeers) {
            // A peer outside the allowed region gets no restricted request.
            const bool isServed = mix.servesRestricted || path == std::string_view("/once/");
            CHECK(fixture.servedOf(0, path, tries) == (isServed ? tries : 0));
        }
        CHECK(fixture.servedOf(1, path, tries) == tries);
        CHECK(fixture.servedOf(2, path, tries) == tries);
    }
    fixture.setUpstreamsUnreachable(0, false);
    CHECK(awaitCondition([&] { return fixture.servedOf(0, "/south/", tries) == tries; }));
    fixture.stopLoad();
    CHECK(fixture.violations() == "");
}
