#include "soak_environment.h"

#include "core/digest.h"
#include "entry_client.h"

#include <algorithm>

namespace hornbeampick::soak
{

namespace
{

using testing::awaitCondition;
using testing::callHttp;
using testing::received_request;
using testing::scripted_upstream;

// The users' bound on the time from the end of all faults until the system serves again.
constexpr milliseconds recoveryTime {15000};
// Heartbeat interval of upstreams: the shortest that the users need.
constexpr milliseconds heartbeatInterval {200};
constexpr milliseconds readInterval {250};
// Longer than invariant_bounds::routesInForce, so that every probe must find the routes in force.
constexpr milliseconds probeDelay {2600};
constexpr milliseconds sleepStep {20};
constexpr int finalRequestsPerEntryHost = 20;
constexpr unsigned slotsPerUpstream = 8;
// Long, so that a draining host takes requests until late in its grace period.
constexpr milliseconds lookupLifetime {2000};
constexpr steady_time never = steady_time::max();
// Salt of the seed from which evacuations are drawn, so that they leave the operator's other orders as they are.
constexpr std::uint64_t evacuationSalt = 0xe7ac;

steady_time now()
{
    return std::chrono::steady_clock::now();
}

// The requests whose ids begin like this run long.
constexpr const char *patientIdPrefix = "k";

const client_pattern busyClient {.idPrefix = "q", .pause = {milliseconds(10), milliseconds(70)}, .deadline = {milliseconds(300), milliseconds(2000)}};
// Uses its connection rarely enough to use it for the first time after a signal at any moment of a drain.
const client_pattern patientClient {
    .idPrefix = patientIdPrefix, .pause = {milliseconds(300), milliseconds(3000)}, .deadline = {milliseconds(1000), milliseconds(4000)}};

std::uint64_t versionIn(const std::string &routes)
{
    const std::string mark = "\"version\":\"r";
    const auto at = routes.find(mark);
    return at == std::string::npos ? 0 : std::stoull(routes.substr(at + mark.size()));
}

// Returns how long an upstream works on a request.
milliseconds runTimeOf(const std::string &id)
{
    constexpr std::uint64_t minMilliseconds = 10;
    constexpr std::uint64_t maxMilliseconds = 3000;
    constexpr std::uint64_t maxShortMilliseconds = 45;
    const auto longest = id.starts_with(patientIdPrefix) ? maxMilliseconds : maxShortMilliseconds;
    return milliseconds(static_cast<std::int64_t>(minMilliseconds + stableHash(id) % (longest - minMilliseconds)));
}

// Entry host and request id, parsed from a target such as "/once/e2/id".
struct parsed_target {
    std::size_t entry = 0;
    std::string id;
};

parsed_target parseTarget(const received_request &request)
{
    const auto line = request.line();
    const auto mark = line.find("/e");
    const auto slash = line.find('/', mark + 1);
    const auto end = line.find(' ', slash);
    return {.entry = std::stoul(line.substr(mark + 2)), .id = line.substr(slash + 1, end - slash - 1)};
}

std::string refusalText(const received_request &request, const std::string &status, const std::string &more)
{
    return "HTTP/1.1 " + status + "\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\n" + more + "Content-Length: 0\r\n\r\n";
}

} // namespace

soak_environment::soak_environment(const environment_options &options)
    : m_options(options)
    , m_fleet({.controlHosts = options.controlHosts,
               .entryHosts = options.entryHosts,
               .proxies = true,
               .preload = options.faultLibrary,
               .lookupLifetime = lookupLifetime,
               .program = options.formerProgram})
{
    for (std::size_t i = 0; i < options.upstreams; ++i) {
        auto made = std::make_unique<upstream>();
        made->instance = "u" + std::to_string(i);
        made->domain = testing::node_fleet::domainOf(i);
        made->link = std::make_unique<testing::fault_proxy>("127.0.0.1:1");
        startServer(*made);
        m_upstreamLinks[made->instance] = made->link.get();
        m_upstreams[made->instance] = std::move(made);
    }
}

soak_environment::~soak_environment()
{
    m_stopping = true;
    for (auto &thread : m_threads) {
        thread.join();
    }
    // Destroys the proxies before the servers, because their threads hold connections to the servers.
    for (auto &[name, each] : m_upstreams) {
        each->link.reset();
    }
}

fault_targets soak_environment::targets() const
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

bool soak_environment::begin()
{
    m_fleet.startAll();
    m_threads.emplace_back([this] { sendHeartbeats(); });
    if (!m_fleet.putRoutes(++m_version)) {
        return false;
    }
    const bool serves = awaitCondition([this] {
        for (std::size_t i = 0; i < m_options.entryHosts; ++i) {
            entry_client probe(m_fleet.front(i));
            const auto id = "first" + std::to_string(++m_nextId);
            if (probe.send("/retry/e" + std::to_string(i) + "/" + id, id, milliseconds(1000)).status != 200) {
                return false;
            }
        }
        return true;
    });
    for (std::size_t entry = 0; entry < m_options.entryHosts; ++entry) {
        const auto clients = m_options.clientsPerEntryHost + m_options.patientClientsPerEntryHost;
        for (std::size_t i = 0; i < clients; ++i) {
            const auto &pattern = i < m_options.clientsPerEntryHost ? busyClient : patientClient;
            m_threads.emplace_back([this, entry, i, &pattern] { runClient(entry, pattern, m_options.seed * 1000 + entry * 100 + i); });
        }
    }
    m_threads.emplace_back([this] { runOperator(); });
    m_threads.emplace_back([this] { readRoutes(); });
    return serves;
}

void soak_environment::run(std::span<const planned_fault> plan)
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
        followStops(startedAt + each.at);
        std::this_thread::sleep_until(startedAt + each.at);
        auto &fault = *each.which->what;
        if (each.begins) {
            begunAt[each.which] = now();
            fault.begin(*this);
            continue;
        }
        fault.heal(*this);
        auto affected = fault.hosts();
        std::ranges::copy(fault.upstreams(), std::back_inserter(affected));
        for (const auto &name : affected) {
            m_recorder.recordFaultInterval({.host = name, .from = begunAt[each.which], .to = now(), .planned = fault.isPlanned()});
        }
    }
    m_routesFrozen = true;
    followStops(never);
    sleepFor(recoveryTime);
    recordFinalChecks();
}

void soak_environment::followStops(steady_time until)
{
    while (!m_stops.empty() && now() < until) {
        restartStopped();
        std::this_thread::sleep_for(std::min<steady_time::duration>(sleepStep, until - now()));
    }
}

soak_record soak_environment::seen() const
{
    return m_recorder.take();
}

std::string soak_environment::logs() const
{
    return m_fleet.logs();
}

std::string soak_environment::logsOf(const std::string &request) const
{
    return request.empty() ? std::string {} : m_fleet.logLinesWith('"' + request + '"');
}

void soak_environment::recordFinalChecks()
{
    final_state end;
    for (std::size_t i = 0; i < m_options.entryHosts; ++i) {
        end.entryReady.push_back(callHttp(m_fleet.readiness(i), "GET", "/-/readyz").status == 200);
        entry_client last(m_fleet.front(i));
        for (int asked = 0; asked < finalRequestsPerEntryHost; ++asked) {
            const auto id = "last" + std::to_string(++m_nextId);
            ++end.asked;
            end.served += last.send("/retry/e" + std::to_string(i) + "/" + id, id, milliseconds(1000)).status == 200 ? 1 : 0;
        }
    }
    for (std::size_t i = 0; i < m_options.controlHosts; ++i) {
        end.version = std::max(end.version, versionIn(callHttp(m_fleet.control(i), "GET", "/-/Config.Get").body));
    }
    end.notStopped = m_notStopped;
    const auto names = targets();
    for (const auto &hosts : {names.controlHosts, names.entryHosts}) {
        for (const auto &host : hosts) {
            if (!m_fleet.isRunning(host)) {
                end.endedByThemselves.push_back(host + " (" + std::to_string(m_fleet.awaitExit(host)) + ")");
            }
        }
    }
    m_recorder.recordFinalState(std::move(end));
}

bool soak_environment::sleepFor(milliseconds time)
{
    const auto until = now() + time;
    while (!m_stopping && now() < until) {
        std::this_thread::sleep_for(std::min<steady_time::duration>(sleepStep, until - now()));
    }
    return !m_stopping;
}

void soak_environment::sendHeartbeats()
{
    while (sleepFor(heartbeatInterval)) {
        for (auto &[name, each] : m_upstreams) {
            sendHeartbeat(*each);
        }
    }
}

void soak_environment::sendHeartbeat(upstream &each)
{
    std::string address;
    std::uint64_t sequence = 0;
    std::uint64_t incarnation = 0;
    bool leaves = false;
    {
        const std::lock_guard guard(m_lock);
        const bool done = each.leaving && each.deregisteredAt != never;
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
        // Every other deregistration carries only the name of the upstream.
        const bool byNameOnly = leaves && sequence % 2 == 0;
        const auto status = byNameOnly ? m_fleet.leave(host, each.instance)
                                       : m_fleet.report(host, each.instance, address, "ready", sequence, each.domain, leaves, incarnation);
        if (status == 200) {
            const std::lock_guard guard(m_lock);
            if (leaves && each.leaving && each.incarnation == incarnation) {
                each.deregisteredAt = now();
            }
            return;
        }
    }
}

void soak_environment::runClient(std::size_t entry, const client_pattern &pattern, std::uint64_t seed)
{
    std::mt19937_64 draw(seed);
    const auto drawTime = [&draw](const time_range &range) {
        const auto spread = static_cast<std::uint64_t>((range.max - range.min).count()) + 1;
        return range.min + milliseconds(static_cast<std::int64_t>(draw() % spread));
    };
    entry_client client(m_fleet.front(entry));
    while (!m_stopping) {
        client_observation observation {.id = pattern.idPrefix + std::to_string(++m_nextId), .entry = entry, .runOnce = draw() % 2 == 0};
        observation.deadline = drawTime(pattern.deadline);
        // A quarter of the requests that may be repeated are restricted to a region.
        observation.allowedRegion = !observation.runOnce && stableHash(observation.id) % 4 == 0 ? "south" : "";
        const std::string path = observation.runOnce ? "/once/e" : observation.allowedRegion.empty() ? "/retry/e" : "/south/e";
        const std::string target = path + std::to_string(entry) + "/" + observation.id;
        observation.requestedAt = now();
        auto answer = client.send(target, observation.id, observation.deadline);
        observation.endedAt = now();
        observation.status = answer.status;
        observation.body = std::move(answer.body);
        observation.onKeptConnection = answer.onKeptConnection;
        observation.end = answer.end;
        m_recorder.recordClient(std::move(observation));
        sleepFor(drawTime(pattern.pause));
    }
}

// Submits route changes in short bursts, each followed by a pause within which the last change must come into force.
void soak_environment::runOperator()
{
    std::mt19937_64 draw(m_options.seed);
    std::mt19937_64 evacuationDraw(m_options.seed ^ evacuationSalt);
    routes_accepted latest;
    evacuation evacuated;
    while (!m_stopping && !m_routesFrozen) {
        const auto series = 1 + draw() % 3;
        for (std::size_t i = 0; i < series && !m_stopping; ++i) {
            const auto sentAt = now();
            if (latest.version > 0) {
                latest.supersededAt = sentAt;
                m_recorder.recordAccepted(latest);
                latest = {};
            }
            const auto version = ++m_version;
            if (m_fleet.putRoutes(version, "-" + std::to_string(version))) {
                latest = {.version = version, .acknowledgedAt = now(), .supersededAt = never};
            }
            sleepFor(milliseconds(100 + static_cast<std::int64_t>(draw() % 300)));
        }
        changeEvacuation(evacuationDraw, evacuated);
        const auto probeAt = now() + probeDelay;
        while (m_changesRequested == 0 && now() < probeAt && sleepFor(sleepStep)) { }
        if (m_changesRequested > 0) {
            --m_changesRequested;
        } else if (!m_stopping && latest.version > 0) {
            probeRoutes(latest.version);
        }
    }
    if (latest.version > 0) {
        m_recorder.recordAccepted(latest);
    }
    if (!evacuated.domain.empty()) {
        // It holds until the end of the run.
        evacuated.until = never;
        m_recorder.recordEvacuation(evacuated);
    }
}

void soak_environment::changeEvacuation(std::mt19937_64 &draw, evacuation &current)
{
    constexpr std::size_t seriesPerChange = 3;
    const bool withdraws = !current.domain.empty();
    if (draw() % seriesPerChange != 0) {
        return;
    }
    const auto domain = withdraws ? current.domain : testing::node_fleet::domainOf(draw() % 4);
    if (withdraws) {
        current.until = now();
        m_recorder.recordEvacuation(current);
        current = {};
    }
    std::size_t turn = draw();
    const auto target = (withdraws ? "/-/Evacuate.End/" : "/-/Evacuate.Start/") + domain;
    const bool accepted = awaitCondition([&] { return callHttp(m_fleet.control(turn++ % m_options.controlHosts), "POST", target).status == 200; });
    if (accepted && !withdraws) {
        current = {.domain = domain, .acknowledgedAt = now()};
    }
}

void soak_environment::probeRoutes(std::uint64_t version)
{
    for (std::size_t i = 0; i < m_options.entryHosts; ++i) {
        entry_client probe(m_fleet.front(i));
        const auto id = "p" + std::to_string(++m_nextId);
        const auto sentAt = now();
        const auto answer = probe.send("/again-" + std::to_string(version) + "/e" + std::to_string(i) + "/" + id, id, milliseconds(1000));
        m_recorder.recordProbe({.entry = i, .version = version, .sentAt = sentAt, .endedAt = now(), .status = answer.status});
    }
}

void soak_environment::readRoutes()
{
    std::size_t turn = 0;
    while (sleepFor(readInterval)) {
        const auto host = turn++ % m_options.controlHosts;
        const auto sentAt = now();
        const auto answer = callHttp(m_fleet.control(host), "GET", "/-/Config.Get");
        if (answer.status == 200) {
            m_recorder.recordRead({.host = "control-" + std::to_string(host), .sentAt = sentAt, .version = versionIn(answer.body)});
        }
    }
}

bool soak_environment::serveRequest(const std::string &instance, const received_request &request, scripted_upstream::socket &to)
{
    const auto expected = request.field("Expect-Instance");
    if (expected != instance) {
        scripted_upstream::write(to, refusalText(request, "421 Misdirected Request", ""));
        return true;
    }
    auto &self = *m_upstreams.at(instance);
    if (++self.running > slotsPerUpstream) {
        --self.running;
        scripted_upstream::write(to, refusalText(request, "503 Service Unavailable", "Not-Executed: 1\r\n"));
        return true;
    }
    const auto parsed = parseTarget(request);
    m_recorder.recordExecution({.id = parsed.id,
                                .instance = instance,
                                .domain = self.domain,
                                .region = self.domain.substr(0, self.domain.find('-')),
                                .entry = parsed.entry,
                                .at = now()});
    const bool complete = work(self, runTimeOf(parsed.id));
    m_recorder.recordExecutionEnd(parsed.id, instance, now());
    --self.running;
    if (!complete) {
        return false;
    }
    scripted_upstream::write(to, scripted_upstream::answer(request, "for " + parsed.id));
    return true;
}

bool soak_environment::work(const upstream &each, milliseconds time)
{
    const auto life = each.life.load();
    const auto until = now() + time;
    while (!m_stopping && each.life == life && now() < until) {
        std::this_thread::sleep_for(std::min<steady_time::duration>(sleepStep, until - now()));
    }
    return each.life == life;
}

void soak_environment::startServer(upstream &each)
{
    ++each.life;
    each.server = std::make_unique<scripted_upstream>(
        [this, instance = each.instance](const received_request &request, scripted_upstream::socket &to) { return serveRequest(instance, request, to); });
    each.link->setTarget(each.server->address());
}

} // namespace hornbeampick::soak
