#include "core/text.h"
#include "daemon/process_signals.h"
#include "node/control_watch.h"
#include "node/node.h"
#include "node/quota_client.h"
#include "node_common.h"
#include "observe/log.h"
#include "relay/relay_server.h"
#include "relay/upstream_probe.h"
#include "settings/settings_file.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cmath>
#include <csignal>
#include <map>
#include <thread>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t maxRequestBodyBytes = 65536;
constexpr milliseconds drainPollInterval {20};
constexpr milliseconds periodicTaskInterval {1000};
// The settings file may change without a SIGHUP, so that it is also polled.
constexpr milliseconds reloadInterval {5000};
// How often it is checked whether upstreams are to be probed.
constexpr milliseconds reachabilityInterval {100};
// At most one line per service and interval tells a changed overflow share, and only a change of at least this much.
constexpr milliseconds overflowLogInterval {10000};
constexpr double overflowLogChange = 0.05;

std::int64_t toPercent(double fraction)
{
    return std::lround(100 * fraction);
}
// Covers two of the longest one-way delays between regions, which a handshake takes.
constexpr milliseconds probeTimeout {300};
// Number of upstreams that must die of a request before it is quarantined.
constexpr std::size_t deathsToQuarantine = 3;
constexpr milliseconds quarantineTime {120000};
// Share of the operators' retry ratio that is used. The margin allows for hosts counting requests at slightly different times.
constexpr double retryRatioShare = 0.8;

class entry_node final : public node, public readiness_source, public upstream_death_listener, public quota_demand_listener
{
public:
    entry_node(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds, settings_reload reload)
        : m_settings(std::move(settings))
        , m_reload(std::move(reload))
        , m_headerCodec(frontEnds.headerCodec)
        , m_fleet(topologyOf(*m_settings))
        , m_random(operatingSystemSeed())
        , m_peers(makeGrpcControlClient(plainTextTls(), &m_counters))
        , m_dispatch({.region = region_name(m_settings->region()),
                      .learnUpstreamSpeed = m_settings->deployment().learn_upstream_speed(),
                      .overflowFromReports = usesReportedOverflow(*m_settings)},
                     m_fleet, m_clock, m_random)
        , m_retries({.tokensPerAttempt = retryRatioShare * m_settings->deployment().retry_ratio(), .initialTokens = 2, .maxTokens = 4})
        , m_link({.megabitsPerSecond = m_settings->link_mbps()})
        , m_lease({.applyTime = milliseconds(m_settings->deployment().routes_apply_ms())})
        , m_relayPeers(region_name(m_settings->region()), m_random)
        , m_quota({.quota = quotaOptionsOf(m_settings->deployment())})
        , m_incarnation(m_random.next())
        , m_quotaClient({*m_peers, m_quota, m_clock}, {.host = host_name(m_settings->host()), .incarnation = m_incarnation}, m_context)
        , m_poison({.deathsToQuarantine = deathsToQuarantine, .quarantine = quarantineTime})
        , m_controlWatch({*m_peers, m_dispatch, m_routes, m_retries, m_poison, m_relayPeers, m_lease, m_clock, m_quota, m_quotaClient}, watchOptions(),
                         m_context)
        , m_readinessHandler(frontEnds.readiness(*this))
        , m_metricsHandler(m_counters, [this] { refreshMetrics(); })
    {
    }

    ~entry_node() override
    {
        shutDown();
    }

    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    status open()
    {
        auto relay = startRelay({.address = m_settings->front(), .peerAddress = m_settings->rpc(), .threads = m_settings->threads(), .intake = &m_intake},
                                {m_dispatch, m_routes, *m_headerCodec, m_retries, m_poison, *this, m_counters, m_clock, m_reachability, m_relayPeers, m_link,
                                 m_lease, m_quota, *this});
        if (!relay) {
            return relay.error();
        }
        m_relay = std::move(relay.value());
        auto readinessServer = startHttpServer(m_settings->readiness(), m_context, *m_readinessHandler, maxRequestBodyBytes, m_intake);
        if (!readinessServer) {
            return readinessServer.error();
        }
        m_readinessServer = std::move(readinessServer.value());
        auto metricsServer = startHttpServer(m_settings->metrics(), m_context, m_metricsHandler, maxRequestBodyBytes, m_intake);
        if (!metricsServer) {
            return metricsServer.error();
        }
        m_metricsServer = std::move(metricsServer.value());
        return success();
    }

    void run() override
    {
        logEvent(log_level::info, "started", {{"front", m_settings->front()}, {"region", m_settings->region()}});
        m_controlWatch.start();
        m_quotaClient.start();
        asio::co_spawn(m_context, awaitStopSignal(), asio::detached);
        asio::co_spawn(m_context, reloadLoop(), asio::detached);
        asio::co_spawn(m_context, runPeriodicTasks(), asio::detached);
        asio::co_spawn(m_context, watchReachability(), asio::detached);
        asio::co_spawn(m_context, logOverflow(), asio::detached);
        std::thread worker([this] { m_context.run(); });
        {
            const signal_delivery delivery;
            worker.join();
        }
        shutDown();
        logEvent(log_level::info, "stopped");
    }

    [[nodiscard]] bool isReady() const override
    {
        return m_controlWatch.hasInitialState() && !m_stopping;
    }

    void onUpstreamDeath(const upstream_death &death) override
    {
        m_controlWatch.reportDeath(death);
    }

    void onQuotaDemand() override
    {
        m_quotaClient.notifyDemand();
    }

private:
    control_watch_options watchOptions()
    {
        control_watch_options options {
            .self = {
                .host = host_name(m_settings->host()),
                .address = m_settings->front(),
                .region = region_name(m_settings->region()),
                .domain = domain_name(m_settings->failure_domain()),
                .incarnation = m_incarnation,
                .relayAddress = m_settings->rpc(),
            },
            .retrySlack = m_settings->deployment().retry_slack() / 2,
        };
        options.seeds = seedsOf(*m_settings);
        return options;
    }

    // Returns the peer addresses of the control hosts named in the settings.
    static std::vector<std::string> seedsOf(const schema::node_settings &settings)
    {
        const auto rpcPort = parseEndpoint(settings.rpc()).port;
        std::vector<std::string> seeds;
        for (const auto &seed : settings.seeds()) {
            seeds.push_back(withPort(seed, rpcPort));
        }
        return seeds;
    }

    asio::awaitable<void> awaitStopSignal()
    {
        co_await m_stopSignals.async_wait(noThrow);
        co_await drain();
    }

    // Shuts down gracefully: first the host is removed from look-ups, then it stops taking requests, then those in progress finish.
    asio::awaitable<void> drain()
    {
        const auto startedAt = m_clock.now();
        m_stopping = true;
        logEvent(log_level::info, "stopping", {{"active", static_cast<std::int64_t>(m_relay->activeRequests())}});
        m_controlWatch.stopServing();
        const auto &deployment = m_settings->deployment();
        const drain_schedule schedule({.grace = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(deployment.grace_s())),
                                       .lookupLifetime = milliseconds(deployment.lookup_ttl_ms())},
                                      startedAt);
        m_relay->beginDrain(schedule);
        asio::steady_timer timer(co_await asio::this_coro::executor, schedule.acceptUntil());
        co_await timer.async_wait(noThrow);
        // From here on further requests are refused, so that none is cut off between the last look at their number and the end. A request
        // that got past the refusal just before counts as active, and is waited for.
        m_relay->stopAccepting();
        while (m_clock.now() < schedule.end() && m_relay->activeRequests() > 0) {
            timer.expires_after(drainPollInterval);
            co_await timer.async_wait(noThrow);
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_clock.now() - startedAt);
        logEvent(log_level::info, "drained",
                 {{"milliseconds", static_cast<std::int64_t>(elapsed.count())}, {"active", static_cast<std::int64_t>(m_relay->activeRequests())}});
        m_context.stop();
    }

    asio::awaitable<void> reloadLoop()
    {
        using namespace asio::experimental::awaitable_operators;
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            timer.expires_after(reloadInterval);
            const auto event = co_await (m_reloadSignals.async_wait(noThrow) || timer.async_wait(noThrow));
            const bool signalled = event.index() == 0;
            const auto reloaded = m_reload();
            if (!reloaded) {
                continue;
            }
            const auto seeds = seedsOf(*reloaded);
            if (signalled || seeds != m_seeds) {
                logEvent(log_level::info, "reload", {{"signal", signalled}, {"seeds", static_cast<std::int64_t>(seeds.size())}, {"changed", seeds != m_seeds}});
            }
            m_seeds = seeds;
            m_controlWatch.addSeeds(m_seeds);
        }
    }

    asio::awaitable<void> runPeriodicTasks()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            timer.expires_after(periodicTaskInterval);
            co_await timer.async_wait(noThrow);
            m_poison.tick(m_clock.now());
            logLimitChanges();
        }
    }

    void logLimitChanges()
    {
        for (const auto &change : m_dispatch.takeLimitChanges()) {
            logRateLimited(change.isLimited ? log_level::warning : log_level::info, change.isLimited ? "upstream-limited" : "upstream-limit-recovered",
                           {{"instance", change.instance.string()},
                            {"service", change.service.string()},
                            {"limit", static_cast<std::int64_t>(change.limit)},
                            {"slots", static_cast<std::int64_t>(change.slots)}});
        }
    }

    // Probes upstreams while attempts fail or this host is isolated, and reports the state to control hosts when it changes.
    asio::awaitable<void> watchReachability()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            timer.expires_after(reachabilityInterval);
            co_await timer.async_wait(noThrow);
            if (!m_reachability.isSuspect(m_clock.now()) && !m_reachability.isIsolated()) {
                continue;
            }
            auto targets = m_dispatch.probeTargets();
            if (targets.empty()) {
                continue;
            }
            const auto probed = targets.size();
            m_reachability.beginProbe();
            const auto outcome = co_await probeUpstreams(std::move(targets), probeTimeout);
            if (m_reachability.onProbe(outcome, probed)) {
                const bool isolated = m_reachability.isIsolated();
                logEvent(isolated ? log_level::warning : log_level::info, isolated ? "upstreams-unreachable" : "upstreams-regained",
                         {{"probed", static_cast<std::int64_t>(probed)}, {"refused", outcome == probe_outcome::refused}});
                m_relayPeers.reset();
                m_controlWatch.setIsolated(isolated);
            }
        }
    }

    // Logs the overflow share of each service whose share has changed noticeably since its last line.
    asio::awaitable<void> logOverflow()
    {
        std::map<service_name, double> logged;
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            timer.expires_after(overflowLogInterval);
            co_await timer.async_wait(noThrow);
            for (const auto &view : m_dispatch.serviceStats()) {
                auto &last = logged[view.service];
                if (std::abs(view.spilled - last) < overflowLogChange) {
                    continue;
                }
                last = view.spilled;
                logEvent(log_level::info, "overflow-share",
                         {{"service", view.service.string()},
                          {"percent", toPercent(view.spilled)},
                          {"homePercent", toPercent(view.homeUtilisation)},
                          {"othersPercent", toPercent(view.othersUtilisation)}});
            }
        }
    }

    void refreshMetrics()
    {
        const auto routes = m_routes.get();
        m_counters.setRuleVersion(routes ? routes->table().version : 0);
        for (const auto &view : m_dispatch.serviceStats()) {
            m_counters.setHeadroom(view.service, region_name(m_settings->region()), view.slots - view.inUse);
            if (view.limits && view.slowness) {
                m_counters.setLearnedLimits(view.service, view.limits->smallest, view.limits->largest);
                m_counters.setLearnedSlowness(view.service, view.slowness->smallest, view.slowness->largest);
            }
            m_counters.setOverflow(view.service, view.spilled, view.homeUtilisation, view.othersUtilisation);
        }
    }

    void shutDown()
    {
        m_peers->cancelAll();
        if (m_relay) {
            m_relay->stop();
        }
    }

    std::shared_ptr<const schema::node_settings> m_settings;
    metrics m_counters;
    intake_reporter m_intakeReporter {m_counters};
    // Outlives the context, whose pending sessions close their accounts when they are destroyed.
    intake_budget m_intake {intakeOptionsOf(*m_settings), m_intakeReporter};
    settings_reload m_reload;
    std::vector<std::string> m_seeds;
    std::shared_ptr<header_codec> m_headerCodec;
    topology m_fleet;
    asio::io_context m_context {1};
    asio::signal_set m_stopSignals {m_context, SIGTERM, SIGINT};
    asio::signal_set m_reloadSignals {m_context, SIGHUP};
    system_clock_source m_clock;
    seeded_random_source m_random;
    std::unique_ptr<control_client> m_peers;
    published<route_index> m_routes;
    dispatcher m_dispatch;
    retry_budget m_retries;
    link_limiter m_link;
    routes_lease m_lease;
    relay_peers m_relayPeers;
    upstream_reachability m_reachability;
    quota_account m_quota;
    std::uint64_t m_incarnation;
    quota_client m_quotaClient;
    poison_registry m_poison;
    control_watch m_controlWatch;
    std::atomic<bool> m_stopping {false};
    std::unique_ptr<http_handler> m_readinessHandler;
    metrics_handler m_metricsHandler;
    std::unique_ptr<http_server> m_readinessServer;
    std::unique_ptr<http_server> m_metricsServer;
    std::unique_ptr<relay_server> m_relay;
};

} // namespace

result<std::unique_ptr<node>> makeEntryNode(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds, settings_reload reload)
{
    auto created = std::make_unique<entry_node>(std::move(settings), frontEnds, std::move(reload));
    if (auto opened = created->open(); !opened) {
        return opened.error();
    }
    return std::unique_ptr<node>(std::move(created));
}

} // namespace hornbeampick
