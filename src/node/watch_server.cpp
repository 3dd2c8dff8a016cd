#include "node/watch_server.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Enough to spread the requests of an isolated entry host; the list stays small however many hosts there are.
constexpr std::size_t maxRelayPeers = 32;

} // namespace

watch_server::watch_server(std::uint64_t incarnation, announcement_log &announcements, entry_host_list &hosts, clock_source &clock)
    : m_incarnation(incarnation)
    , m_announcements(announcements)
    , m_hosts(hosts)
    , m_clock(clock)
{
    m_controlHosts.set(std::make_shared<const std::vector<std::string>>());
    m_grantor.set(std::make_shared<const std::string>());
}

void watch_server::handle(watch_query query, answer_done done)
{
    const auto now = m_clock.now();
    m_hosts.recordProgress(query.watcher, query.source == m_incarnation ? query.position : 0, now);
    for (const auto &death : query.deaths) {
        m_announcements.reportDeath(death);
    }
    const auto deadline = now + query.wait;
    {
        const std::lock_guard guard(m_lock);
        m_pendingQueries.push_back({.query = std::move(query), .done = std::move(done), .arrivedAt = now, .deadline = deadline});
    }
    completeReady();
}

void watch_server::awaitAcknowledgement(std::uint64_t position, steady_time deadline, acknowledgement_done done)
{
    {
        const std::lock_guard guard(m_lock);
        m_pendingAcknowledgements.push_back({.position = position, .done = std::move(done), .deadline = deadline});
    }
    completeReady();
}

void watch_server::setState(const ledger_state &state)
{
    auto forWatchers = std::make_shared<ledger_state>(state);
    // Entry hosts do not need these.
    forWatchers->history.clear();
    forWatchers->epochs.clear();
    forWatchers->routing.document.clear();
    m_state.set(std::move(forWatchers));
    completeReady();
}

void watch_server::setConfirmedAt(steady_time confirmedAt)
{
    m_confirmedAt = confirmedAt;
}

void watch_server::setControlHosts(std::vector<std::string> addresses)
{
    if (*m_controlHosts.get() != addresses) {
        m_controlHosts.set(std::make_shared<const std::vector<std::string>>(std::move(addresses)));
    }
}

void watch_server::setGrantor(const std::string &address)
{
    if (*m_grantor.get() != address) {
        m_grantor.set(std::make_shared<const std::string>(address));
    }
}

void watch_server::completeReady()
{
    const auto now = m_clock.now();
    std::list<pending_query> answered;
    std::list<pending_acknowledgement> acknowledged;
    {
        const std::lock_guard guard(m_lock);
        for (auto it = m_pendingQueries.begin(); it != m_pendingQueries.end();) {
            const auto next = std::next(it);
            if (m_closed || now >= it->deadline || hasChangesFor(it->query)) {
                answered.splice(answered.end(), m_pendingQueries, it);
            }
            it = next;
        }
        for (auto it = m_pendingAcknowledgements.begin(); it != m_pendingAcknowledgements.end();) {
            const auto next = std::next(it);
            if (m_closed || now >= it->deadline || m_hosts.allCaughtUp(it->position, now)) {
                acknowledged.splice(acknowledged.end(), m_pendingAcknowledgements, it);
            }
            it = next;
        }
    }
    for (const auto &each : answered) {
        each.done(makeAnswer(each));
    }
    for (const auto &each : acknowledged) {
        each.done(m_hosts.allCaughtUp(each.position, now));
    }
}

void watch_server::close()
{
    std::list<pending_query> answered;
    std::list<pending_acknowledgement> acknowledged;
    {
        const std::lock_guard guard(m_lock);
        m_closed = true;
        answered.swap(m_pendingQueries);
        acknowledged.swap(m_pendingAcknowledgements);
    }
    for (const auto &each : answered) {
        each.done(makeAnswer(each));
    }
    for (const auto &each : acknowledged) {
        each.done(false);
    }
}

bool watch_server::hasChangesFor(const watch_query &query) const
{
    const auto state = m_state.get();
    return query.source != m_incarnation || query.position < m_announcements.position() || (state && query.appliedIndex < state->appliedIndex);
}

watch_answer watch_server::makeAnswer(const pending_query &pending) const
{
    const auto &query = pending.query;
    const auto knownPosition = query.source == m_incarnation ? query.position : 0;
    // Read before the changes: a change that arrives in between is then sent twice rather than lost.
    const auto position = m_announcements.position();
    watch_answer answer {
        .source = m_incarnation,
        .position = position,
        .upstreams = m_announcements.changedAfter(knownPosition, m_clock.now()),
        .controlHosts = *m_controlHosts.get(),
        .entryHosts = m_hosts.count(),
        .entryHostsInRegion = m_hosts.countIn(query.watcher.region),
        .placeInRegion = m_hosts.placeInRegion(query.watcher),
        .deaths = m_announcements.deathsAfter(knownPosition),
        .grantor = *m_grantor.get(),
    };
    if (query.watcher.isolated) {
        answer.relayPeers = m_hosts.relayPeersFor(query.watcher, maxRelayPeers, m_clock.now());
    }
    // Read before the state, which is then at least as new.
    answer.stateAge = std::chrono::ceil<milliseconds>(pending.arrivedAt - m_confirmedAt.load());
    const auto state = m_state.get();
    if (state) {
        answer.appliedIndex = state->appliedIndex;
    }
    if (state && query.appliedIndex < state->appliedIndex && !query.positionsOnly) {
        answer.state = *state;
    }
    return answer;
}

} // namespace hornbeampick
