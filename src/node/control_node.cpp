#include "core/text.h"
#include "daemon/await_callback.h"
#include "daemon/logging_ledger_listener.h"
#include "daemon/process_signals.h"
#include "node/announcement_persister.h"
#include "node/departure_confirmer.h"
#include "node/node.h"
#include "node/quota_server.h"
#include "node/watch_server.h"
#include "node_common.h"
#include "observe/log.h"
#include "replica/replica_node.h"
#include "settings/settings_file.h"
#include "storage/replica_file_store.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);
// Fits a complete configuration of several thousand routes.
constexpr std::size_t maxRequestBodyBytes = 8 << 20;
constexpr milliseconds maintenanceInterval {50};
constexpr std::size_t bytesPerMegabyte = std::size_t {1024} * 1024;
// The entries of the log take at most this part of the memory of the process.
constexpr std::size_t logMemoryDivisor = 16;
// Number of heartbeat intervals without a report after which an upstream counts as silent.
constexpr int overdueHeartbeats = 3;
// With this many voting control hosts, any two may lose their disks while the rest lose power. Further control hosts are learners
// and replace lost voters.
constexpr std::size_t targetVoterCount = 7;
constexpr milliseconds electionTimeout {600};
constexpr milliseconds leaderHeartbeatInterval {100};
// Delay after the transfer of leadership, in which the last messages are still sent.
constexpr milliseconds leadershipTransferDelay {100};
// Longer than the time in which a departure is confirmed and a retried save, so that the calls in progress are answered.
constexpr milliseconds drainTimeout {1500};
constexpr milliseconds drainPollInterval {20};
constexpr milliseconds rpcShutdownGrace {300};

class control_node final : public node, public control_api, public control_handler, public replica_transport, public logging_ledger_listener
{
public:
    control_node(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds)
        : m_settings(std::move(settings))
        , m_random(operatingSystemSeed())
        , m_peers(makeGrpcControlClient(plainTextTls(), &m_counters))
        , m_announcements({.heartbeatTimeout = overdueHeartbeats * milliseconds(m_settings->deployment().heartbeat_ms())})
        , m_quotaServer({.quota = quotaOptionsOf(m_settings->deployment())}, m_hosts, m_clock)
        , m_watchServer(m_random.next(), m_announcements, m_hosts, m_clock)
        , m_handler(frontEnds.control(*this))
        , m_metricsHandler(m_counters, [this] { refreshMetrics(); })
    {
    }

    ~control_node() override
    {
        shutDown();
    }

    control_node(const control_node &) = delete;
    control_node &operator=(const control_node &) = delete;

    status open()
    {
        auto files = makePosixFileSystem(m_settings->data_folder());
        if (!files) {
            return files.error();
        }
        m_files = std::move(files.value());
        m_store = makeReplicaFileStore(*m_files);
        m_announcementStore = makeAnnouncementFileStore(*m_files);
        m_persister = std::make_unique<announcement_persister>(m_announcements, *m_announcementStore, m_clock);
        m_persister->start();
        m_departures = std::make_unique<departure_confirmer>(
            departure_confirmer_parts {.hosts = m_hosts, .watchServer = m_watchServer, .saver = *m_persister, .clock = m_clock});
        m_replica = std::make_unique<replica_node>(replicaOptions(), *m_store, *this, *this, m_clock, m_random);
        const auto &listenAddress = m_settings->rpc_listen().empty() ? m_settings->rpc() : m_settings->rpc_listen();
        auto rpcServer = makeGrpcControlServer(listenAddress, plainTextTls(), *this, &m_counters);
        if (!rpcServer) {
            return rpcServer.error();
        }
        m_rpcServer = std::move(rpcServer.value());
        auto controlServer = startHttpServer(m_settings->control(), m_context, *m_handler, maxRequestBodyBytes, m_intake);
        if (!controlServer) {
            return controlServer.error();
        }
        m_controlServer = std::move(controlServer.value());
        auto directoryServer = startHttpServer(m_settings->directory(), m_context, *m_handler, maxRequestBodyBytes, m_intake);
        if (!directoryServer) {
            return directoryServer.error();
        }
        m_directoryServer = std::move(directoryServer.value());
        auto metricsServer = startHttpServer(m_settings->metrics(), m_context, m_metricsHandler, maxRequestBodyBytes, m_intake);
        if (!metricsServer) {
            return metricsServer.error();
        }
        m_metricsServer = std::move(metricsServer.value());
        return success();
    }

    void run() override
    {
        logEvent(log_level::info, "started", {{"control", m_settings->control()}, {"rpc", m_settings->rpc()}, {"bootstrap", m_settings->bootstrap()}});
        m_replica->start();
        asio::co_spawn(m_context, runMaintenance(), asio::detached);
        asio::co_spawn(m_context, awaitSignals(), asio::detached);
        std::vector<std::thread> threads;
        for (unsigned i = 0; i < m_settings->threads(); ++i) {
            threads.emplace_back([this] { m_context.run(); });
        }
        {
            const signal_delivery delivery;
            for (auto &thread : threads) {
                thread.join();
            }
        }
        shutDown();
        logEvent(log_level::info, "stopped");
    }

    asio::awaitable<status> announce(upstream_report report) override
    {
        if (const auto checked = checkReport(report, m_clock.wallNow()); !checked) {
            co_return checked.error();
        }
        if (report.state == upstream_state::gone && report.incarnation == 0) {
            report.leftAt = m_clock.wallNow();
        }
        const auto positionBefore = m_announcements.position();
        const auto state = report.state;
        const auto instance = report.instance;
        const auto position = m_announcements.report(report, m_clock.now());
        if (m_announcements.position() != positionBefore) {
            logEvent(log_level::info, "upstream-changed",
                     {{"instance", instance.string()},
                      {"service", report.service.string()},
                      {"address", report.address},
                      {"failureDomain", report.domain.string()},
                      {"state", static_cast<std::int64_t>(state)},
                      {"warmupLeftMs", static_cast<std::int64_t>(report.warmupLeft.count())},
                      {"sequence", report.reportedAt}});
            m_watchServer.completeReady();
            m_persister->notifyChanged();
        }
        if (state < upstream_state::draining) {
            co_return success();
        }
        co_return co_await m_departures->confirm(instance, position);
    }

    asio::awaitable<status> submitRouting(routing_table table) override
    {
        const auto version = static_cast<std::int64_t>(table.version);
        if (const auto checked = checkRouting(table); !checked) {
            logEvent(log_level::warning, "routes-refused", {{"version", version}, errorField(checked.error())});
            co_return checked.error();
        }
        entry_body body = std::move(table);
        co_return co_await submit(std::move(body), "routes", version);
    }

    asio::awaitable<status> evacuate(evacuation_order order) override
    {
        // Messages of the log that hold a name in another encoding than UTF-8 cannot be parsed.
        if (!isPlainName(order.domain.view())) {
            co_return make_error_code(errc::malformedRequest);
        }
        entry_body body = std::move(order);
        co_return co_await submit(std::move(body), "evacuation", 0);
    }

    asio::awaitable<result<routing_table>> readRouting() override
    {
        // Committing a barrier entry proves that this host still leads.
        entry_body barrier = barrier_entry {};
        const auto committed = co_await submit(std::move(barrier), "read", 0);
        if (!committed) {
            co_return committed.error();
        }
        const auto state = m_state.get();
        if (!state || state->routing.version == 0) {
            co_return make_error_code(errc::notReady);
        }
        co_return state->routing;
    }

    [[nodiscard]] entry_choice chooseEntry(const entry_query &query) const override
    {
        const auto now = m_clock.now();
        const auto routes = m_routes.get();
        const auto allowedRegions = routes ? routes->regionsOf(query.hostname) : std::vector<region_name>();
        auto selection = m_hosts.select({.region = query.region, .allowedRegions = allowedRegions}, now);
        if (selection.isOutsideRegion) {
            logRateLimited(log_level::info, "look-up-outside-region",
                           {{"region", printableName(query.region.view())},
                            {"hostname", printableName(query.hostname)},
                            {"named", static_cast<std::int64_t>(selection.addresses.size())},
                            {"listedInRegion", static_cast<std::int64_t>(m_hosts.countIn(query.region))},
                            {"sinceStartMs", static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - m_startedAt).count())}});
        }
        return {.addresses = std::move(selection.addresses), .lifetime = milliseconds(m_settings->deployment().lookup_ttl_ms())};
    }

    [[nodiscard]] std::optional<std::string> leaderAddress() const override
    {
        const auto view = m_replica->view();
        if (view.role == replica_role::leader || !view.leader) {
            return std::nullopt;
        }
        return view.leader->address;
    }

    void onWatch(watch_query query, std::function<void(const watch_answer &)> done) override
    {
        m_watchServer.handle(std::move(query), std::move(done));
    }
    void onReplicate(replica_message message) override
    {
        m_replica->receive(std::move(message));
    }
    void onForm(form_request request, std::function<void(const form_reply &)> done) override
    {
        m_replica->receiveForm(std::move(request), std::move(done));
    }

    quota_answer onDraw(const quota_draw &draw) override
    {
        m_quotaServer.setView(m_replica->view());
        return m_quotaServer.onDraw(draw);
    }

    void send(const replica_message &message) override
    {
        m_peers->replicate(message.to.address, message);
    }
    void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) override
    {
        m_peers->form(address, request, std::move(done));
    }

    void onLedger(const ledger_state &state) override
    {
        const auto previous = m_state.get();
        if (!previous || previous->routing.version != state.routing.version || previous->evacuated != state.evacuated) {
            logEvent(log_level::info, "state-applied",
                     {{"index", static_cast<std::int64_t>(state.appliedIndex)},
                      {"routesVersion", static_cast<std::int64_t>(state.routing.version)},
                      {"evacuated", static_cast<std::int64_t>(state.evacuated.size())}});
            m_announcements.setServices(state.routing.serviceNames());
            m_routes.set(std::make_shared<const route_index>(std::make_shared<const routing_table>(state.routing)));
            m_watchServer.setState(state);
            m_quotaServer.setRouting(state.routing);
        }
        m_state.set(std::make_shared<const ledger_state>(state));
    }

private:
    replica_node_options replicaOptions() const
    {
        // The log's hosts are named by their peer address, which is all that is known of the other hosts at the first start.
        replica_node_options options {
            .host = host_name(m_settings->rpc()),
            .address = m_settings->rpc(),
            .targetVoters = targetVoterCount,
            .mayBootstrap = m_settings->bootstrap(),
            .electionTimeout = electionTimeout,
            .heartbeat = leaderHeartbeatInterval,
            .maxLogBytes = m_settings->memory_mb() * bytesPerMegabyte / logMemoryDivisor,
        };
        const auto rpcPort = parseEndpoint(m_settings->rpc()).port;
        for (const auto &seed : m_settings->seeds()) {
            const auto address = withPort(seed, rpcPort);
            options.bootstrap.push_back({.host = host_name(address), .address = address});
        }
        return options;
    }

    asio::awaitable<status> submit(entry_body body, std::string_view kind, std::int64_t version)
    {
        auto start = [this, &body](std::function<void(submit_result)> done) {
            m_replica->submit(std::move(body), [done = std::move(done)](const submit_result &verdict) { done(verdict); });
        };
        const auto verdict = co_await awaitCallback<submit_result>(start);
        if (verdict.error != errc::ok || version != 0) {
            logRateLimited(verdict.error == errc::ok ? log_level::info : log_level::warning, "order",
                           {{"what", std::string(kind)}, {"version", version}, {"outcome", std::string(errorCode(verdict.error))}});
        }
        if (verdict.error != errc::ok) {
            co_return make_error_code(verdict.error);
        }
        co_return success();
    }

    asio::awaitable<void> runMaintenance()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            const auto now = m_clock.now();
            if (m_announcements.expire(now)) {
                m_persister->notifyChanged();
            }
            const auto view = m_replica->view();
            m_hosts.recordContact(view.confirmedAt);
            m_hosts.expire(now);
            m_watchServer.setConfirmedAt(view.confirmedAt);
            m_quotaServer.setView(view);
            m_watchServer.setGrantor(m_quotaServer.isGranting() ? m_settings->rpc() : view.leader ? view.leader->address : std::string());
            std::vector<std::string> memberAddresses;
            for (const auto &voter : view.config.voters) {
                memberAddresses.push_back(voter.address);
            }
            for (const auto &learner : view.config.learners) {
                memberAddresses.push_back(learner.address);
            }
            m_watchServer.setControlHosts(std::move(memberAddresses));
            m_watchServer.completeReady();
            timer.expires_after(maintenanceInterval);
            co_await timer.async_wait(noThrow);
        }
    }

    asio::awaitable<void> awaitSignals()
    {
        bool keepRunning = true;
        while (keepRunning) {
            const auto [failed, number] = co_await m_signals.async_wait(noThrow);
            keepRunning = !failed && number == SIGHUP;
            if (keepRunning) {
                logEvent(log_level::info, "reload");
            }
        }
        co_await drain();
    }

    // Shuts down gracefully: first leadership passes to another host, then the calls in progress get their answers.
    asio::awaitable<void> drain()
    {
        const auto startedAt = m_clock.now();
        logEvent(log_level::info, "stopping", {{"active", static_cast<std::int64_t>(activeCalls())}});
        m_controlServer->drain();
        if (m_directoryServer) {
            m_directoryServer->drain();
        }
        m_replica->stop();
        asio::steady_timer timer(co_await asio::this_coro::executor, leadershipTransferDelay);
        co_await timer.async_wait(noThrow);
        while (m_clock.now() < startedAt + drainTimeout && activeCalls() > 0) {
            timer.expires_after(drainPollInterval);
            co_await timer.async_wait(noThrow);
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_clock.now() - startedAt);
        logEvent(log_level::info, "drained",
                 {{"milliseconds", static_cast<std::int64_t>(elapsed.count())}, {"active", static_cast<std::int64_t>(activeCalls())}});
        m_context.stop();
    }

    [[nodiscard]] std::size_t activeCalls() const
    {
        return m_controlServer->activeRequests() + (m_directoryServer ? m_directoryServer->activeRequests() : 0);
    }

    void refreshMetrics()
    {
        const auto state = m_state.get();
        m_counters.setRuleVersion(state ? state->routing.version : 0);
    }

    void shutDown()
    {
        m_watchServer.close();
        if (m_replica) {
            m_replica->stop();
        }
        if (m_rpcServer) {
            m_rpcServer->stop(rpcShutdownGrace);
        }
        m_peers->cancelAll();
    }

    std::shared_ptr<const schema::node_settings> m_settings;
    metrics m_counters;
    intake_reporter m_intakeReporter {m_counters};
    // Outlives the context, whose pending sessions close their accounts when they are destroyed.
    intake_budget m_intake {intakeOptionsOf(*m_settings), m_intakeReporter};
    asio::io_context m_context;
    asio::signal_set m_signals {m_context, SIGTERM, SIGINT, SIGHUP};
    system_clock_source m_clock;
    seeded_random_source m_random;
    steady_time m_startedAt = m_clock.now();
    std::unique_ptr<control_client> m_peers;
    announcement_log m_announcements;
    entry_host_list m_hosts {{.startedAt = m_startedAt}};
    quota_server m_quotaServer;
    watch_server m_watchServer;
    published<ledger_state> m_state;
    published<route_index> m_routes;
    std::unique_ptr<http_handler> m_handler;
    metrics_handler m_metricsHandler;
    std::unique_ptr<file_system> m_files;
    std::unique_ptr<replica_store> m_store;
    std::unique_ptr<announcement_store> m_announcementStore;
    std::unique_ptr<announcement_persister> m_persister;
    std::unique_ptr<departure_confirmer> m_departures;
    std::unique_ptr<replica_node> m_replica;
    std::unique_ptr<peer_server> m_rpcServer;
    std::unique_ptr<http_server> m_controlServer;
    std::unique_ptr<http_server> m_directoryServer;
    std::unique_ptr<http_server> m_metricsServer;
};

} // namespace

result<std::unique_ptr<node>> makeControlNode(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds)
{
    auto created = std::make_unique<control_node>(std::move(settings), frontEnds);
    if (auto opened = created->open(); !opened) {
        return opened.error();
    }
    return std::unique_ptr<node>(std::move(created));
}

} // namespace hornbeampick
