#include "world.h"

#include "caller.h"
#include "core/digest.h"

#include <algorithm>

namespace hornbeampick::soak
{

namespace
{

using testing::awaitCondition;
using testing::callHttp;
using testing::received_request;
using testing::scripted_upstream;

// The users' bound from the end of all faults to service.
constexpr milliseconds recovery {15000};
// Reports of upstreams; the users' least interval.
constexpr milliseconds reportEvery {200};
constexpr milliseconds readEvery {250};
// Beyond the bound on routes in force, so that a probe must find them.
constexpr milliseconds probeAfter {2600};
constexpr milliseconds restStep {20};
constexpr int lastRequestsAnEntry = 20;
constexpr unsigned slotsAnUpstream = 8;
constexpr steady_time never = steady_time::max();

steady_time now()
{
    return std::chrono::steady_clock::now();
}

std::uint64_t versionIn(const std::string &routes)
{
    const std::string mark = "\"version\":\"r";
    const auto at = routes.find(mark);
    return at == std::string::npos ? 0 : std::stoull(routes.substr(at + mark.size()));
}

// "/once/e2/id" names the entry host and the request.
struct target_parts {
    std::size_t entry = 0;
    std::string id;
};

target_parts partsOf(const received_request &request)
{
    const auto line = request.line();
    const auto mark = line.find("/e");
    const auto slash = line.find('/', mark + 1);
    const auto end = line.find(' ', slash);
    return {.entry = std::stoul(line.substr(mark + 2)), .id = line.substr(slash + 1, end - slash - 1)};
}

std::string refusal(const received_request &request, const std::string &status, const std::string &more)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\n" + more + "Content-Length: 0\r\n\r\n";
}

} // namespace

world::world(const world_options &options)
    : m_options(options)
    , m_fleet({.controlHosts = options.controlHosts, .entryHosts = options.entryHosts, .proxies = true, .preload = options.faultLibrary})
{
    for (std::size_t i = 0; i < options.upstreams; ++i) {
        auto made = std::make_unique<upstream>();
        made->instance = "u" + std::to_string(i);
        made->domain = testing::node_fleet::domainOf(i);
        made->link = std::make_unique<testing::fault_proxy>("127.0.0.1:1");
        startServer(*made);
        m_upstreams[made->instance] = std::move(made);
    }
}

world::~world()
{
    m_ended = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    // Proxies first: their threads hold connections to the servers.
    for (auto &[name, each] : m_upstreams) {
        each->link.reset();
    }
}

fault_targets world::targets() const
{
    fault_targets names;
    for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
        names.controlHosts.push_back("control-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < m_options.entryHosts; ++i) {
        names.entryHosts.push_back("entry-" + std::to_string(i));
    }
    for (const auto &[name, each] : m_upstreams) {
        names.upstreams.push_back(name);
    }
    return names;
}

bool world::begin()
{
    m_fleet.startAll();
    m_threads.emplace_back([this] { announceAll(); });
    if (!m_fleet.putRoutes(++m_version)) {
        return false;
    }
    const bool serves = awaitCondition([this] {
        for (std::size_t i = 0; i < m_options.entryHosts; ++i) {
            caller probe(m_fleet.front(i));
            const auto id = "first" + std::to_string(++m_nextId);
            if (probe.ask("/retry/e" + std::to_string(i) + "/" + id, id, milliseconds(1000)).status != 200) {
                return false;
            }
        }
        return true;
    });
    for (std::size_t entry = 0; entry < m_options.entryHosts; ++entry) {
        for (std::size_t i = 0; i < m_options.callersAnEntry; ++i) {
            m_threads.emplace_back([this, entry, i] { callOn(entry, m_options.seed * 1000 + entry * 100 + i); });
        }
    }
    m_threads.emplace_back([this] { operate(); });
    m_threads.emplace_back([this] { readRoutes(); });
    return serves;
}

void world::play(std::span<const planned_fault> plan)
{
    struct step {
        milliseconds at;
        bool begins;
        const planned_fault *which;
    };
    std::vector<step> steps;
    for (const auto &each : plan) {
        steps.push_back({.at = each.at, .begins = true, .which = &each});
        steps.push_back({.at = each.at + each.span, .begins = false, .which = &each});
    }
    std::ranges::stable_sort(steps, {}, &step::at);
    std::map<const planned_fault *, steady_time> begunAt;
    const auto startedAt = now();
    for (const auto &each : steps) {
        std::this_thread::sleep_until(startedAt + each.at);
        auto &fault = *each.which->what;
        if (each.begins) {
            begunAt[each.which] = now();
            fault.begin(*this);
            continue;
        }
        fault.heal(*this);
        for (const auto &host : fault.hosts()) {
            m_recorder.noteDisturbance({.host = host, .from = begunAt[each.which], .to = now()});
        }
    }
    m_quiet = true;
    rest(recovery);
    lookAround();
}

soak_record world::seen() const
{
    return m_recorder.take();
}

std::string world::logs() const
{
    return m_fleet.logs();
}

void world::lookAround()
{
    last_look end;
    for (std::size_t i = 0; i < m_options.entryHosts; ++i) {
        end.entryReady.push_back(callHttp(m_fleet.readiness(i), "GET", "/-/readyz").status == 200);
        caller last(m_fleet.front(i));
        for (int asked = 0; asked < lastRequestsAnEntry; ++asked) {
            const auto id = "last" + std::to_string(++m_nextId);
            ++end.asked;
            end.served += last.ask("/retry/e" + std::to_string(i) + "/" + id, id, milliseconds(1000)).status == 200 ? 1 : 0;
        }
    }
    for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
        end.version = std::max(end.version, versionIn(callHttp(m_fleet.control(i), "GET", "/-/Config.Get").body));
    }
    end.stuck = m_stuck;
    m_recorder.setEnd(std::move(end));
}

bool world::rest(milliseconds time)
{
    const auto until = now() + time;
    while (!m_ended && now() < until) {
        std::this_thread::sleep_for(std::min<steady_time::duration>(restStep, until - now()));
    }
    return !m_ended;
}

void world::announceAll()
{
    while (rest(reportEvery)) {
        for (auto &[name, each] : m_upstreams) {
            announce(*each);
        }
    }
}

void world::announce(upstream &each)
{
    std::string address;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    bool leaves = false;
    {
        const std::lock_guard guard(m_lock);
        const bool done = each.leaving && each.leftAt != never;
        if (done || (each.crashed && !each.leaving)) {
            return;
        }
        address = each.link->address();
        sequence = ++each.sequence;
        incarnation = each.incarnation;
        leaves = each.leaving;
    }
    for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
        const auto host = (sequence + i) % m_options.controlHosts;
        // Some say no more than their name when they leave.
        const bool brief = leaves && sequence % 2 == 0;
        const auto status
            = brief ? m_fleet.leave(host, each.instance) : m_fleet.report(host, each.instance, address, "ready", sequence, each.domain, leaves, incarnation);
        if (status == 200) {
            const std::lock_guard guard(m_lock);
            if (leaves && each.leaving && each.incarnation == incarnation) {
                each.leftAt = now();
            }
            return;
        }
    }
}

void world::callOn(std::size_t entry, std::uint64_t seed)
{
    std::mt19937_64 draw(seed);
    caller client(m_fleet.front(entry));
    while (!m_ended) {
        caller_story story {.id = "q" + std::to_string(++m_nextId), .entry = entry, .runOnce = draw() % 2 == 0};
        story.deadline = milliseconds(300 + static_cast<std::int64_t>(draw() % 1700));
        const std::string target = (story.runOnce ? "/once/e" : "/retry/e") + std::to_string(entry) + "/" + story.id;
        story.askedAt = now();
        auto answer = client.ask(target, story.id, story.deadline);
        story.endedAt = now();
        story.status = answer.status;
        story.body = std::move(answer.body);
        m_recorder.noteCaller(std::move(story));
        rest(milliseconds(10 + static_cast<std::int64_t>(draw() % 60)));
    }
}

// Changes of the routes in short series, then a pause in which they must come into force.
void world::operate()
{
    std::mt19937_64 draw(m_options.seed);
    routes_accepted latest;
    while (!m_ended && !m_quiet) {
        const auto series = 1 + draw() % 3;
        for (std::size_t i = 0; i < series && !m_ended; ++i) {
            const auto sentAt = now();
            if (latest.version > 0) {
                latest.supersededAt = sentAt;
                m_recorder.noteAccepted(latest);
                latest = {};
            }
            const auto version = ++m_version;
            if (m_fleet.putRoutes(version, "-" + std::to_string(version))) {
                latest = {.version = version, .acknowledgedAt = now(), .supersededAt = never};
            }
            rest(milliseconds(100 + static_cast<std::int64_t>(draw() % 300)));
        }
        if (rest(probeAfter) && latest.version > 0) {
            probeRoutes(latest.version);
        }
    }
    if (latest.version > 0) {
        m_recorder.noteAccepted(latest);
    }
}

void world::probeRoutes(std::uint64_t version)
{
    for (std::size_t i = 0; i < m_options.entryHosts; ++i) {
        caller probe(m_fleet.front(i));
        const auto id = "p" + std::to_string(++m_nextId);
        const auto sentAt = now();
        const auto answer = probe.ask("/again-" + std::to_string(version) + "/e" + std::to_string(i) + "/" + id, id, milliseconds(1000));
        m_recorder.noteProbe({.entry = i, .version = version, .sentAt = sentAt, .endedAt = now(), .status = answer.status});
    }
}

void world::readRoutes()
{
    std::size_t turn = 0;
    while (rest(readEvery)) {
        const auto host = turn++ % m_options.controlHosts;
        const auto sentAt = now();
        const auto answer = callHttp(m_fleet.control(host), "GET", "/-/Config.Get");
        if (answer.status == 200) {
            m_recorder.noteRead({.host = "control-" + std::to_string(host), .sentAt = sentAt, .version = versionIn(answer.body)});
        }
    }
}

bool world::serveRequest(const std::string &instance, const received_request &request, scripted_upstream::socket &to)
{
    const auto expected = request.field("Expect-Instance");
    if (expected != instance) {
        scripted_upstream::write(to, refusal(request, "421 Misdirected Request", ""));
        return true;
    }
    auto &self = *m_upstreams.at(instance);
    if (++self.running > slotsAnUpstream) {
        --self.running;
        scripted_upstream::write(to, refusal(request, "503 Service Unavailable", "Not-Executed: 1\r\n"));
        return true;
    }
    const auto parts = partsOf(request);
    m_recorder.noteRun({.id = parts.id, .instance = instance, .entry = parts.entry, .at = now()});
    std::this_thread::sleep_for(milliseconds(5 + static_cast<std::int64_t>(stableHash(parts.id) % 40)));
    --self.running;
    scripted_upstream::write(to, scripted_upstream::answer(request, "for " + parts.id));
    return true;
}

void world::startServer(upstream &each)
{
    each.server = std::make_unique<scripted_upstream>(
        [this, instance = each.instance](const received_request &request, scripted_upstream::socket &to) { return serveRequest(instance, request, to); });
    each.link->setTarget(each.server->address());
}

} // namespace hornbeampick::soak
