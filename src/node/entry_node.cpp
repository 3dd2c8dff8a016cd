#include "control_watch.h"
#include "core/text.h"
#include "node/node.h"
#include "node_parts.h"
#include "observe/log.h"
#include "relay/relay_server.h"
#include "settings/settings_file.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
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
constexpr std::size_t smallBodyBytes = 65536;
constexpr milliseconds drainTick {20};
// Kept back from the grace of a stop, so that the process ends by itself.
constexpr milliseconds graceReserve {600};
// Look-ups are kept for their lifetime, by some callers longer; for this many lifetimes new connections are still taken.
constexpr int lifetimesStayed = 2;
constexpr milliseconds poisonTick {1000};
// Settings may change without a signal.
constexpr milliseconds reloadEvery {5000};
// Upstreams that die of a request before it goes to none.
constexpr std::size_t deathsToQuarantine = 3;
constexpr milliseconds quarantine {120000};
// Part of the operators' ratio of retries that is used: hosts count requests at slightly different times.
constexpr double retryPart = 0.8;

class entry_node final : public node, public readiness_source, public upstream_death_listener
{
public:
    entry_node(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds, settings_reload reload)
        : m_settings(std::move(settings))
        , m_reload(std::move(reload))
        , m_headerCodec(frontEnds.headerCodec)
        , m_fleet(topologyOf(*m_settings))
        , m_random(operatingSystemSeed())
        , m_peers(makeGrpcControlClient(nodeTls(), &m_counters))
        , m_dispatch({.region = region_name(m_settings->region())}, m_fleet, m_clock, m_random)
        , m_retries({.earned = retryPart * m_settings->deployment().retry_ratio(), .initial = 2, .most = 4})
        , m_poison({.deathsToQuarantine = deathsToQuarantine, .quarantine = quarantine})
        , m_watch({*m_peers, m_dispatch, m_routes, m_retries, m_poison, m_clock}, watchOptions(), m_context)
        , m_readinessHandler(frontEnds.readiness(*this))
        , m_metricsHandler(m_counters, [this] { refreshMetrics(); })
    {
    }

    ~entry_node() override
    {
        end();
    }

    entry_node(const entry_node &) = delete;
    entry_node &operator=(const entry_node &) = delete;

    status open()
    {
        auto relay = startRelay({.address = m_settings->front(), .threads = m_settings->threads()},
                                {m_dispatch, m_routes, *m_headerCodec, m_retries, m_poison, *this, m_counters, m_clock});
        if (!relay) {
            return relay.error();
        }
        m_relay = std::move(relay.value());
        auto readiness = serveAt(m_settings->readiness(), m_context, *m_readinessHandler, smallBodyBytes);
        if (!readiness) {
            return readiness.error();
        }
        m_readiness = std::move(readiness.value());
        auto page = serveAt(m_settings->metrics(), m_context, m_metricsHandler, smallBodyBytes);
        if (!page) {
            return page.error();
        }
        m_metricsPage = std::move(page.value());
        return success();
    }

    void run() override
    {
        logEvent(log_level::info, "started", {{"front", m_settings->front()}, {"region", m_settings->region()}});
        m_watch.start();
        asio::co_spawn(m_context, awaitStop(), asio::detached);
        asio::co_spawn(m_context, awaitReload(), asio::detached);
        asio::co_spawn(m_context, forgetPoison(), asio::detached);
        m_context.run();
        end();
        logEvent(log_level::info, "stopped");
    }

    [[nodiscard]] bool isReady() const override
    {
        return m_watch.isInformed() && !m_stopping;
    }

    void onUpstreamDeath(const upstream_death &death) override
    {
        m_watch.reportDeath(death);
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
                .incarnation = m_random.next(),
            },
            .retrySlack = m_settings->deployment().retry_slack() / 2,
        };
        options.seeds = seedsOf(*m_settings);
        return options;
    }

    // Peer addresses of the control hosts that the settings name.
    static std::vector<std::string> seedsOf(const schema::node_settings &settings)
    {
        const auto rpcPort = parseEndpoint(settings.rpc()).port;
        std::vector<std::string> seeds;
        for (const auto &seed : settings.seeds()) {
            seeds.push_back(withPort(seed, rpcPort));
        }
        return seeds;
    }

    asio::awaitable<void> awaitStop()
    {
        asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
        co_await signals.async_wait(noThrow);
        co_await leave();
    }

    // Out of look-ups first, then idle. New connections are taken until callers' look-ups have run out.
    asio::awaitable<void> leave()
    {
        const auto startedAt = m_clock.now();
        m_stopping = true;
        logEvent(log_level::info, "stopping", {{"active", static_cast<std::int64_t>(m_relay->activeRequests())}});
        m_watch.setServing(false);
        m_relay->beginDrain();
        const auto &deployment = m_settings->deployment();
        const auto grace = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(deployment.grace_s()));
        const auto latest = startedAt + std::max(grace - graceReserve, milliseconds(0));
        const auto earliest = std::min(startedAt + lifetimesStayed * milliseconds(deployment.lookup_ttl_ms()), latest);
        asio::steady_timer timer(co_await asio::this_coro::executor);
        bool taking = true;
        while (m_clock.now() < latest && (m_clock.now() < earliest || m_relay->activeRequests() > 0)) {
            if (taking && m_clock.now() >= earliest) {
                // What is carried now has the rest of the grace.
                m_relay->stopAccepting();
                taking = false;
            }
            timer.expires_after(drainTick);
            co_await timer.async_wait(noThrow);
        }
        const auto taken = std::chrono::duration_cast<milliseconds>(m_clock.now() - startedAt);
        logEvent(log_level::info, "drained",
                 {{"milliseconds", static_cast<std::int64_t>(taken.count())}, {"active", static_cast<std::int64_t>(m_relay->activeRequests())}});
        m_context.stop();
    }

    asio::awaitable<void> awaitReload()
    {
        using namespace asio::experimental::awaitable_operators;
        asio::signal_set signals(co_await asio::this_coro::executor, SIGHUP);
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            timer.expires_after(reloadEvery);
            const auto woken = co_await (signals.async_wait(noThrow) || timer.async_wait(noThrow));
            const bool told = woken.index() == 0;
            const auto fresh = m_reload();
            if (!fresh) {
                continue;
            }
            const auto seeds = seedsOf(*fresh);
            if (told || seeds != m_seeds) {
                logEvent(log_level::info, "reload", {{"signal", told}, {"seeds", static_cast<std::int64_t>(seeds.size())}, {"changed", seeds != m_seeds}});
            }
            m_seeds = seeds;
            m_watch.addSeeds(m_seeds);
        }
    }

    asio::awaitable<void> forgetPoison()
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        while (true) {
            timer.expires_after(poisonTick);
            co_await timer.async_wait(noThrow);
            m_poison.tick(m_clock.now());
        }
    }

    void refreshMetrics()
    {
        const auto routes = m_routes.get();
        m_counters.setRuleVersion(routes ? routes->table().version : 0);
        for (const auto &view : m_dispatch.views()) {
            m_counters.setHeadroom(view.service, region_name(m_settings->region()), view.slots - view.inUse);
        }
    }

    void end()
    {
        m_peers->cancelAll();
        if (m_relay) {
            m_relay->stop();
        }
    }

    std::shared_ptr<const schema::node_settings> m_settings;
    settings_reload m_reload;
    std::vector<std::string> m_seeds;
    std::shared_ptr<header_codec> m_headerCodec;
    topology m_fleet;
    asio::io_context m_context {1};
    system_clock_source m_clock;
    seeded_random_source m_random;
    metrics m_counters;
    std::unique_ptr<control_client> m_peers;
    published<route_index> m_routes;
    dispatcher m_dispatch;
    retry_budget m_retries;
    poison_registry m_poison;
    control_watch m_watch;
    std::atomic<bool> m_stopping {false};
    std::unique_ptr<http_handler> m_readinessHandler;
    metrics_page m_metricsHandler;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_metricsPage;
    std::unique_ptr<relay_server> m_relay;
};

} // namespace

result<std::unique_ptr<node>> makeEntryNode(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds, settings_reload reload)
{
    auto made = std::make_unique<entry_node>(std::move(settings), frontEnds, std::move(reload));
    if (auto opened = made->open(); !opened) {
        return opened.error();
    }
    return std::unique_ptr<node>(std::move(made));
}

} // namespace hornbeampick
