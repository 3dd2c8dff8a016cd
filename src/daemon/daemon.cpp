#include "daemon/daemon.h"

#include "claims/epoch_planner.h"
#include "daemon/front_end.h"
#include "daemon/process_signals.h"
#include "daemon/rule_submitter.h"
#include "daemon_options.h"
#include "observe/log.h"
#include "peer_endpoint.h"
#include "replica_link.h"
#include "settings/settings_file.h"
#include "storage/replica_file_store.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <map>
#include <thread>
#include <vector>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);
// Interval at which queued requests are expired and the slots of warming upstreams are granted.
constexpr milliseconds gateInterval {20};
constexpr milliseconds tableInterval {100};
constexpr milliseconds epochInterval {500};
// Longest time that a graceful shutdown waits for requests in flight.
constexpr milliseconds drainTimeout {30000};
constexpr milliseconds drainPollInterval {20};
constexpr milliseconds rpcGracePeriod {500};

std::string addressOf(const std::string &ip, int port)
{
    return ip + ":" + std::to_string(port);
}

// Returns the address at which others reach an endpoint that listens on `port`.
std::string advertisedAddress(const schema::endpoint_settings &endpoint, int port)
{
    return endpoint.advertised().empty() ? addressOf(endpoint.address(), port) : endpoint.advertised();
}

std::string_view textOf(replica_role role)
{
    constexpr std::array names {"follower", "pre-candidate", "candidate", "leader", "learner", "stopped", "absent"};
    return names.at(static_cast<std::size_t>(role));
}

// Owns the components of a host, declared in the order in which they depend on each other.
class host_daemon final : public daemon, public status_source
{
public:
    explicit host_daemon(std::shared_ptr<const schema::daemon_settings> settings)
        : m_settings(std::move(settings))
        , m_self(locationOf(*m_settings))
        , m_fleet(topologyOf(*m_settings))
        , m_services(servicesOf(*m_settings))
        , m_random(operatingSystemSeed())
        , m_incarnation(static_cast<std::uint64_t>(m_clock.wallNow()))
        , m_traces(m_settings->host(), m_settings->log().trace_file(), m_clock, m_random)
        , m_peers(makeGrpcPeerClient(tlsOf(*m_settings), &m_counters))
        , m_upstreams(makeUpstreamClient({}))
        , m_members(selfOf(*m_settings, m_incarnation), {.deadAfter = milliseconds(m_settings->timing().dead_ms())})
        , m_claims({.incarnation = m_incarnation})
        , m_caps(m_fleet, m_self)
        , m_rules(m_epochs, m_claims, m_caps, m_clock)
        , m_gate(poolOptions(*m_settings), m_clock, m_random)
        , m_poison({.quarantine = milliseconds(m_settings->timing().quarantine_ms())})
        , m_loads(loadLifetime(*m_settings))
        , m_epochPlanner(m_fleet, {.epochLength = milliseconds(m_settings->timing().epoch_ms())})
        , m_agent(agentParts(), agentOptions(*m_settings))
        , m_link(*m_peers, m_agent)
        , m_runner({m_gate, m_caps, m_poison, *m_upstreams, m_agent, m_counters, m_traces, m_clock})
        , m_claimClient(m_epochs, m_members, m_claims, *m_peers, m_clock)
        , m_router(routerParts())
        , m_front({m_router, m_agent, m_rules, m_epochs, m_table, m_members, m_counters, m_traces, *this, m_clock}, frontOptions(*m_settings))
    {
        rebuildTable();
    }

    ~host_daemon() override
    {
        stopParts();
    }

    /// Opens the data folder, then the ports.
    status open()
    {
        const auto &rpc = m_settings->rpc();
        if (!m_settings->data_folder().empty()) {
            if (auto opened = openReplica(); !opened) {
                return opened;
            }
        }
        m_submitter = std::make_unique<rule_submitter>(rule_submitter_parts {m_replica.get(), *m_peers, m_fleet, m_clock, m_rules}, m_services,
                                                       voterAddresses(*m_settings));
        m_endpoint = std::make_unique<peer_endpoint>(endpointParts());
        auto server = makeGrpcPeerServer(addressOf(rpc.address(), static_cast<int>(rpc.port())), tlsOf(*m_settings), *m_endpoint, &m_counters);
        if (!server) {
            return server.error();
        }
        m_server = std::move(server.value());
        auto http = makeHttpServer(httpOptions(*m_settings), m_context, m_front);
        if (!http) {
            return http.error();
        }
        m_http = std::move(http.value());
        m_members.setAddresses(httpAddress(), rpcAddress());
        return success();
    }

    void run() override
    {
        asio::co_spawn(m_context, m_agent.run(), asio::detached);
        asio::co_spawn(m_context, runGateTimer(), asio::detached);
        asio::co_spawn(m_context, runTableTimer(), asio::detached);
        asio::co_spawn(m_context, runEpochTimer(), asio::detached);
        asio::co_spawn(m_context, awaitSignals(), asio::detached);
        if (m_replica) {
            m_replica->start();
        }
        logEvent(log_level::info, "started",
                 {{"http", httpAddress()}, {"rpc", rpcAddress()}, {"rpcPort", static_cast<std::int64_t>(m_server->port())}, {"disk", m_replica != nullptr}});
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < m_settings->limits().threads(); ++i) {
            threads.emplace_back([this] { m_context.run(); });
        }
        {
            const signal_delivery delivery;
            for (auto &thread : threads) {
                thread.join();
            }
        }
        stopParts();
        logEvent(log_level::info, "stopped");
    }

    void stop() override
    {
        if (!m_stopRequested.exchange(true)) {
            asio::co_spawn(m_context, drainAndStop(), asio::detached);
        }
    }

    [[nodiscard]] std::string httpAddress() const override
    {
        return advertisedAddress(m_settings->http(), m_http->port());
    }
    [[nodiscard]] std::string rpcAddress() const override
    {
        return advertisedAddress(m_settings->rpc(), m_server->port());
    }

    [[nodiscard]] host_status hostStatus() const override
    {
        const auto view = m_replica ? m_replica->view() : replica_view {};
        return {
            .self = m_members.self(),
            .ruleVersion = m_rules.state()->version,
            .inForceSince = m_rules.inForceSince(),
            .replicaRole = std::string(textOf(view.role)),
            .term = view.term,
            .leader = view.leader ? view.leader->host.string() : std::string(),
            .cutOff = m_agent.isCutOff(),
            .rulesKnown = m_rules.rules() != nullptr,
        };
    }

    [[nodiscard]] std::string metricsText() override
    {
        m_counters.setRuleVersion(m_rules.state()->version);
        m_counters.setReplicaRole(textOf(m_replica ? m_replica->view().role : replica_role::absent));
        for (const auto &load : m_endpoint->onLoads()) {
            m_counters.setHeadroom(load.service, load.region, static_cast<double>(load.load.slots) - load.load.inFlight);
        }
        std::map<member_state, std::size_t> counts {{member_state::alive, 0}, {member_state::suspect, 0}, {member_state::leaving, 0}, {member_state::dead, 0}};
        for (const auto &member : m_members.members()) {
            ++counts[member.state];
        }
        for (const auto &[state, count] : counts) {
            m_counters.setMembers(textOf(state), count);
        }
        return m_counters.text();
    }

private:
    fleet_agent_parts agentParts()
    {
        return {m_members, m_loads, m_gate, m_rules, m_epochs, m_caps, m_poison, *m_peers, m_counters, m_clock, m_random, m_fleet, m_self};
    }

    request_router_parts routerParts()
    {
        return {m_runner, m_claimClient, m_loads,    m_budget, m_caps,  m_poison, m_members, m_table,
                m_gate,   *m_peers,      m_counters, m_traces, m_clock, m_random, m_self};
    }

    peer_endpoint_parts endpointParts()
    {
        return {m_agent, m_rules,      m_claims,        m_poison, m_runner, m_gate,  m_loads,   m_members, m_caps, m_table,
                m_front, *m_submitter, m_replica.get(), *m_peers, *this,    m_clock, m_context, m_fleet,   m_self, m_services};
    }

    status openReplica()
    {
        auto files = makePosixFileSystem(m_settings->data_folder());
        if (!files) {
            return files.error();
        }
        m_files = std::move(files.value());
        m_store = makeReplicaFileStore(*m_files);
        const auto address = advertisedAddress(m_settings->rpc(), static_cast<int>(m_settings->rpc().port()));
        m_replica = std::make_unique<replica_node>(replicaOptions(*m_settings, address), *m_store, m_link, m_link, m_clock, m_random);
        return success();
    }

    asio::awaitable<void> runGateTimer()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            {
                const control_work_timer work(&m_counters, "admission");
                m_gate.tick();
                for (const auto drained : m_gate.takeDrainDurations()) {
                    m_counters.observeDrain("upstream", drained);
                }
            }
            timer.expires_after(gateInterval);
            co_await timer.async_wait(noThrow);
        }
    }

    asio::awaitable<void> runTableTimer()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            {
                const control_work_timer work(&m_counters, "steering");
                rebuildTable();
            }
            m_poison.tick(m_clock.now());
            timer.expires_after(tableInterval);
            co_await timer.async_wait(noThrow);
        }
    }

    void rebuildTable()
    {
        std::vector<std::vector<region_load>> loads;
        const auto now = m_clock.now();
        for (const auto &service : m_services) {
            loads.push_back(m_loads.regions(service, now));
            addLoad(loads.back(), m_self.region, m_gate.load(service));
        }
        const auto members = m_members.members();
        const auto headroomTransfers = computeHeadroomTransfers(loads, now);
        m_table.set(std::make_shared<const steering_table>(steering_inputs {
            .rules = m_rules.rules(),
            .regions = m_fleet.regions(),
            .services = m_services,
            .members = members,
            .loads = loads,
            .transfers = headroomTransfers,
            .localRegion = m_self.region,
            .now = m_clock.wallNow(),
            .lookupTtl = milliseconds(m_settings->timing().lookup_ttl_ms()),
        }));
    }

    // Returns transfers by service and home region; empty for services that prefer latency to headroom.
    std::vector<std::vector<headroom_transfer>> computeHeadroomTransfers(std::span<const std::vector<region_load>> loads, steady_time now)
    {
        std::vector<std::vector<headroom_transfer>> headroomTransfers(m_services.size());
        for (std::size_t service = 0; service < m_services.size(); ++service) {
            if (!m_settings->services(static_cast<int>(service)).headroom_first()) {
                continue;
            }
            for (const auto &region : m_fleet.regions()) {
                headroomTransfers[service].push_back(m_balance.update(m_services[service], region.name, loads[service], now));
            }
        }
        return headroomTransfers;
    }

    // Opens claim epochs while this host leads the log.
    asio::awaitable<void> runEpochTimer()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (m_replica) {
            const auto view = m_replica->view();
            m_link.setLeader(view.role == replica_role::leader);
            if (view.role == replica_role::leader) {
                proposeEpoch();
            }
            timer.expires_after(epochInterval);
            co_await timer.async_wait(noThrow);
        }
    }

    void proposeEpoch()
    {
        const auto state = m_rules.state();
        auto epoch = m_epochPlanner.next(state->epochs, m_members.members(), m_clock.wallNow());
        if (epoch) {
            logEvent(log_level::info, "epoch-opened", {{"region", epoch->region.string()}, {"number", static_cast<std::int64_t>(epoch->number)}});
            m_replica->submit(std::move(*epoch), [](const submit_result &) {});
        }
    }

    asio::awaitable<void> awaitSignals()
    {
        bool keepRunning = true;
        while (keepRunning) {
            const auto [failed, number] = co_await m_signals.async_wait(noThrow);
            keepRunning = !failed && number == SIGHUP;
            if (keepRunning) {
                logEvent(log_level::info, "signal-ignored", {{"signal", static_cast<std::int64_t>(number)}});
            }
        }
        stop();
    }

    // Shuts down gracefully: withdraws from look-ups, waits until callers' cached look-ups have expired, then drains requests in flight.
    asio::awaitable<void> drainAndStop()
    {
        const auto startedAt = m_clock.now();
        logEvent(log_level::info, "leaving");
        m_members.leave(startedAt);
        asio::steady_timer timer(co_await asio::this_coro::executor);
        // The departure spreads within the suspicion timeout; only after that does the last cached look-up that names this host begin to age.
        timer.expires_after(milliseconds(m_settings->timing().lookup_ttl_ms() + m_settings->timing().suspect_ms()));
        co_await timer.async_wait(noThrow);
        m_http->drain();
        while (m_http->activeRequests() > 0 && m_clock.now() < startedAt + drainTimeout) {
            timer.expires_after(drainPollInterval);
            co_await timer.async_wait(noThrow);
        }
        const auto taken = std::chrono::duration_cast<milliseconds>(m_clock.now() - startedAt);
        m_counters.observeDrain("host", taken);
        logEvent(log_level::info, "drained", {{"milliseconds", static_cast<std::int64_t>(taken.count())}});
        m_agent.stop();
        if (m_replica) {
            m_replica->stop();
        }
        m_server->stop(rpcGracePeriod);
        m_context.stop();
    }

    void stopParts()
    {
        m_agent.stop();
        if (m_replica) {
            m_replica->stop();
        }
        if (m_server) {
            m_server->stop(milliseconds(0));
        }
        // Calls in progress refer to the components.
        m_peers->cancelAll();
    }

    std::shared_ptr<const schema::daemon_settings> m_settings;
    location m_self;
    topology m_fleet;
    std::vector<service_name> m_services;
    system_clock_source m_clock;
    seeded_random_source m_random;
    std::uint64_t m_incarnation;
    metrics m_counters;
    tracer m_traces;
    std::unique_ptr<peer_client> m_peers;
    std::unique_ptr<upstream_client> m_upstreams;
    member_table m_members;
    claim_store m_claims;
    epoch_table m_epochs;
    cap_table m_caps;
    active_rules m_rules;
    request_gate m_gate;
    poison_registry m_poison;
    retry_budget m_budget;
    load_view m_loads;
    headroom_balance m_balance;
    epoch_planner m_epochPlanner;
    published<steering_table> m_table;
    fleet_agent m_agent;
    replica_link m_link;
    std::unique_ptr<file_system> m_files;
    std::unique_ptr<replica_store> m_store;
    std::unique_ptr<replica_node> m_replica;
    request_runner m_runner;
    claim_client m_claimClient;
    request_router m_router;
    front_end m_front;
    std::unique_ptr<rule_submitter> m_submitter;
    std::unique_ptr<peer_endpoint> m_endpoint;
    std::atomic<bool> m_stopRequested {false};
    // Destroyed before the members above, which its coroutines refer to, and after the servers below, which submit work to it.
    asio::io_context m_context;
    asio::signal_set m_signals {m_context, SIGTERM, SIGINT, SIGHUP};
    std::unique_ptr<peer_server> m_server;
    std::unique_ptr<http_server> m_http;
};

} // namespace

result<std::unique_ptr<daemon>> makeDaemon(std::shared_ptr<const schema::daemon_settings> settings)
{
    auto made = std::make_unique<host_daemon>(std::move(settings));
    if (auto opened = made->open(); !opened) {
        return opened.error();
    }
    return std::unique_ptr<daemon>(std::move(made));
}

} // namespace hornbeampick
