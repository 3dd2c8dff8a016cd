#include "node/control_watch.h"

#include "core/digest.h"
#include "daemon/await_callback.h"
#include "limits/quota_rules.h"
#include "node_common.h"
#include "observe/log.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);
// A control host holds its answer for up to this long while nothing changes. Its list of entry hosts tolerates at least twice
// this time between two polls.
constexpr milliseconds longPollTimeout {500};
// Time for the answer beyond the long-poll timeout: two of the longest one-way delays and a slow host.
constexpr milliseconds responseGrace {700};
constexpr milliseconds retryDelay {100};
// The nearest control host learns of a change at most a network delay and a disk write after the first one.
constexpr milliseconds nearerHostDelay {100};
// A second control host is asked for the state when the first has not sent it in this time; its transfer goes on.
constexpr milliseconds secondFetchDelay {700};
constexpr milliseconds fetchTimeout {5000};
// What a control host tells of the entry hosts is used for this long, a few long polls.
constexpr milliseconds fleetShareLifetime {3000};

} // namespace

control_watch::control_watch(const control_watch_parts &parts, const control_watch_options &options, asio::io_context &context)
    : m_parts(parts)
    , m_options(options)
    , m_context(context)
    , m_fetchTimer(context)
    , m_self(options.self)
{
}

void control_watch::start()
{
    asio::post(m_context, [this] { addSeeds(m_options.seeds); });
}

void control_watch::addSeeds(std::span<const std::string> addresses)
{
    for (const auto &address : addresses) {
        if (m_controlHosts.try_emplace(address).second) {
            asio::co_spawn(m_context, pollLoop(address), asio::detached);
        }
    }
}

void control_watch::stopServing()
{
    asio::post(m_context, [this] { m_servingStopped = true; });
    setServing(false);
}

void control_watch::setServing(bool serving)
{
    asio::post(m_context, [this, serving] {
        m_self.serving = serving && !m_servingStopped;
        pollAllNow();
    });
}

void control_watch::setIsolated(bool isolated)
{
    asio::post(m_context, [this, isolated] {
        m_self.isolated = isolated;
        pollAllNow();
    });
}

void control_watch::pollAllNow()
{
    for (const auto &[address, host] : m_controlHosts) {
        asio::co_spawn(
            m_context, [](control_watch &self, std::string target) -> asio::awaitable<void> { co_await self.poll(target, milliseconds(0)); }(*this, address),
            asio::detached);
    }
}

void control_watch::reportDeath(const upstream_death &death)
{
    const std::lock_guard guard(m_deathLock);
    m_deaths.push_back(death);
}

asio::awaitable<void> control_watch::pollLoop(std::string address)
{
    asio::steady_timer retryTimer(co_await asio::this_coro::executor);
    while (true) {
        const bool answered = co_await poll(address, longPollTimeout);
        auto &host = m_controlHosts[address];
        if (answered != host.reachable) {
            host.reachable = answered;
            logEvent(answered ? log_level::info : log_level::warning, answered ? "control-host-regained" : "control-host-lost", {{"address", address}});
        }
        if (!answered) {
            retryTimer.expires_after(retryDelay);
            co_await retryTimer.async_wait(noThrow);
        }
    }
}

asio::awaitable<bool> control_watch::poll(const std::string &address, milliseconds wait)
{
    const query_options options {.wantsState = false, .wait = wait, .timeout = wait + responseGrace};
    co_return co_await ask(address, options);
}

bool control_watch::isBehind() const
{
    return std::ranges::any_of(m_controlHosts, [this](const auto &item) { return item.second.appliedIndex > m_appliedIndex; });
}

const std::string *control_watch::chooseSource() const
{
    const std::string *nearest = nullptr;
    auto nearestTime = steady_time::duration::max();
    for (const auto &[address, host] : m_controlHosts) {
        const bool isSource = host.appliedIndex > m_appliedIndex && !host.isSendingState;
        if (isSource && (nearest == nullptr || host.fastestAnswer < nearestTime)) {
            nearest = &address;
            nearestTime = host.fastestAnswer;
        }
    }
    return nearest;
}

bool control_watch::mayNearerHostFollow() const
{
    const auto *source = chooseSource();
    const auto sourceTime = source == nullptr ? steady_time::duration::max() : m_controlHosts.at(*source).fastestAnswer;
    return std::ranges::any_of(m_controlHosts, [&](const auto &item) { return item.second.reachable && item.second.fastestAnswer < sourceTime; });
}

asio::awaitable<void> control_watch::fetchLoop()
{
    if (mayNearerHostFollow()) {
        m_fetchTimer.expires_after(nearerHostDelay);
        co_await m_fetchTimer.async_wait(noThrow);
    }
    while (isBehind()) {
        if (const auto *source = chooseSource()) {
            asio::co_spawn(m_context, fetchFrom(*source), asio::detached);
        }
        m_fetchTimer.expires_after(secondFetchDelay);
        co_await m_fetchTimer.async_wait(noThrow);
    }
    m_isFetching = false;
}

asio::awaitable<void> control_watch::fetchFrom(std::string address)
{
    m_controlHosts[address].isSendingState = true;
    const query_options options {.wantsState = true, .wait = milliseconds(0), .timeout = fetchTimeout};
    const bool answered = co_await ask(address, options);
    m_controlHosts[address].isSendingState = false;
    if (answered) {
        m_fetchTimer.cancel();
    } else {
        logRateLimited(log_level::warning, "state-not-fetched", {{"address", address}, {"appliedIndex", static_cast<std::int64_t>(m_appliedIndex)}});
    }
}

asio::awaitable<bool> control_watch::ask(const std::string &address, const query_options &options)
{
    auto &host = m_controlHosts[address];
    watch_query query {
        .watcher = m_self,
        .source = host.incarnation,
        .position = host.position,
        .appliedIndex = options.wantsState ? m_appliedIndex : std::max(m_appliedIndex, host.appliedIndex),
        .positionsOnly = !options.wantsState,
        .wait = options.wait,
    };
    std::size_t deathCount = 0;
    const auto askedAt = m_parts.clock.bootNow();
    {
        const std::lock_guard guard(m_deathLock);
        query.deaths.assign(m_deaths.begin() + static_cast<std::ptrdiff_t>(host.deathsReported), m_deaths.end());
        deathCount = m_deaths.size();
    }
    auto start = [&](std::function<void(result<watch_answer>)> done) { m_parts.peers.watch(address, query, options.timeout, std::move(done)); };
    const auto answer = co_await awaitCallback<result<watch_answer>>(start);
    if (!answer) {
        co_return false;
    }
    host.deathsReported = deathCount;
    host.fastestAnswer = std::min(host.fastestAnswer, m_parts.clock.bootNow() - askedAt);
    applyAnswer(address, answer.value());
    if (answer.value().appliedIndex <= m_appliedIndex) {
        m_parts.lease.renew(askedAt - answer.value().stateAge);
    }
    co_return true;
}

void control_watch::applyAnswer(const std::string &address, const watch_answer &answer)
{
    const auto now = m_parts.clock.now();
    auto &host = m_controlHosts[address];
    const bool stale = answer.source == host.incarnation && answer.position < host.position;
    if (answer.state) {
        applyState(*answer.state);
    }
    if (!stale) {
        host.appliedIndex = answer.appliedIndex;
        m_directory.onReports(address, answer.source, usableReports(answer.upstreams, address, m_parts.clock.wallNow()), now);
        host.incarnation = answer.source;
        host.position = answer.position;
    }
    m_parts.dispatch.setUpstreams(m_directory.takeChanges(now));
    updateFleetShare(host, answer, now);
    for (const auto &death : answer.deaths) {
        m_parts.poison.report(death, now);
    }
    // A control host that has just started knows no entry hosts yet.
    if (!answer.relayPeers.empty()) {
        m_parts.relayPeers.set(answer.relayPeers);
    }
    m_upstreamsKnown = m_upstreamsKnown || !answer.upstreams.empty();
    addSeeds(answer.controlHosts);
    if (isBehind() && !std::exchange(m_isFetching, true)) {
        asio::co_spawn(m_context, fetchLoop(), asio::detached);
    }
    const bool hasState = m_upstreamsKnown && m_parts.routes.get() != nullptr;
    if (hasState && !m_hasInitialState.exchange(true)) {
        logEvent(log_level::info, "informed", {{"appliedIndex", static_cast<std::int64_t>(m_appliedIndex)}});
        setServing(true);
    }
}

void control_watch::updateFleetShare(watched_host &teller, const watch_answer &answer, steady_time now)
{
    const auto hostsInRegion = std::max(answer.entryHostsInRegion, 1U);
    const bool tellsPlace = answer.placeInRegion > 0 && answer.placeInRegion <= hostsInRegion;
    const auto index = tellsPlace ? answer.placeInRegion - 1 : static_cast<std::uint32_t>(stableHash(m_self.host.view()) % hostsInRegion);
    teller.fleet = {.hosts = std::max(answer.entryHosts, 1U), .region = {.hosts = hostsInRegion, .index = index}};
    teller.fleetToldAt = now;
    fleet_share largest = teller.fleet;
    for (const auto &[address, each] : m_controlHosts) {
        if (now >= each.fleetToldAt + fleetShareLifetime) {
            continue;
        }
        largest.hosts = std::max(largest.hosts, each.fleet.hosts);
        if (each.fleet.region.hosts > largest.region.hosts) {
            largest.region = each.fleet.region;
        }
    }
    const auto place = static_cast<std::uint32_t>(stableHash(m_self.host.view()) % largest.hosts);
    m_parts.quotaClient.setFleet(answer.grantor, largest.hosts, place);
    m_parts.dispatch.setRegionShare(largest.region);
    m_parts.dispatch.setFleetHosts(largest.hosts);
    m_parts.retries.setMaxTokens(std::max(1.0, m_options.retrySlack / largest.hosts));
}

void control_watch::applyState(const ledger_state &state)
{
    if (state.appliedIndex <= m_appliedIndex) {
        return;
    }
    m_appliedIndex = state.appliedIndex;
    const auto current = m_parts.routes.get();
    const std::uint64_t version = current ? current->table().version : 0;
    if (state.routing.version > version) {
        auto table = std::make_shared<const routing_table>(state.routing);
        m_directory.setServices(table->serviceNames());
        m_parts.dispatch.setServices(table->services);
        m_parts.quota.setRules(quotaRulesOf(*table));
        m_parts.routes.set(std::make_shared<const route_index>(table));
        const auto restricted = std::ranges::count_if(table->routes, [](const route &each) { return !each.allowedRegions.empty(); });
        logEvent(log_level::info, "routes-in-force",
                 {{"version", static_cast<std::int64_t>(table->version)},
                  {"routes", static_cast<std::int64_t>(table->routes.size())},
                  {"restricted", static_cast<std::int64_t>(restricted)}});
    }
    m_parts.dispatch.setEvacuated(state.evacuated);
}

} // namespace hornbeampick
