#include "watch_desk.h"

#include <algorithm>

namespace hornbeampick
{

watch_desk::watch_desk(std::uint64_t source, announcement_log &announcements, entry_host_list &hosts, clock_source &clock)
    : m_source(source)
    , m_announcements(announcements)
    , m_hosts(hosts)
    , m_clock(clock)
{
    m_controlHosts.set(std::make_shared<const std::vector<std::string>>());
}

void watch_desk::ask(watch_query query, answer_done done)
{
    const auto now = m_clock.now();
    m_hosts.note(query.watcher, query.source == m_source ? query.position : 0, now);
    for (const auto &death : query.deaths) {
        m_announcements.reportDeath(death);
    }
    const auto until = now + query.wait;
    {
        const std::lock_guard guard(m_lock);
        m_queries.push_back({.query = std::move(query), .done = std::move(done), .until = until});
    }
    serve();
}

void watch_desk::confirm(std::uint64_t position, required_hosts required, milliseconds wait, confirm_done done)
{
    {
        const std::lock_guard guard(m_lock);
        m_confirms.push_back({.position = position, .required = required, .done = std::move(done), .until = m_clock.now() + wait});
    }
    serve();
}

void watch_desk::setState(const ledger_state &state)
{
    m_state.set(std::make_shared<const ledger_state>(state));
    serve();
}

void watch_desk::setControlHosts(std::vector<std::string> addresses)
{
    if (*m_controlHosts.get() != addresses) {
        m_controlHosts.set(std::make_shared<const std::vector<std::string>>(std::move(addresses)));
    }
}

void watch_desk::serve()
{
    const auto now = m_clock.now();
    std::list<waiting_query> answered;
    std::list<waiting_confirm> confirmed;
    {
        const std::lock_guard guard(m_lock);
        for (auto it = m_queries.begin(); it != m_queries.end();) {
            const auto next = std::next(it);
            if (m_closed || now >= it->until || hasNews(it->query)) {
                answered.splice(answered.end(), m_queries, it);
            }
            it = next;
        }
        for (auto it = m_confirms.begin(); it != m_confirms.end();) {
            const auto next = std::next(it);
            if (m_closed || now >= it->until || m_hosts.allKnow(it->position, it->required, now)) {
                confirmed.splice(confirmed.end(), m_confirms, it);
            }
            it = next;
        }
    }
    for (const auto &each : answered) {
        each.done(answerTo(each.query));
    }
    for (const auto &each : confirmed) {
        each.done(m_hosts.allKnow(each.position, each.required, now));
    }
}

void watch_desk::close()
{
    std::list<waiting_query> answered;
    std::list<waiting_confirm> confirmed;
    {
        const std::lock_guard guard(m_lock);
        m_closed = true;
        answered.swap(m_queries);
        confirmed.swap(m_confirms);
    }
    for (const auto &each : answered) {
        each.done(answerTo(each.query));
    }
    for (const auto &each : confirmed) {
        each.done(false);
    }
}

bool watch_desk::hasNews(const watch_query &query) const
{
    const auto state = m_state.get();
    return query.source != m_source || query.position < m_announcements.position() || (state && query.appliedIndex < state->appliedIndex);
}

watch_answer watch_desk::answerTo(const watch_query &query) const
{
    const auto known = query.source == m_source ? query.position : 0;
    // Read first: a change that comes meanwhile is told again, never lost.
    const auto position = m_announcements.position();
    watch_answer answer {
        .source = m_source,
        .position = position,
        .upstreams = m_announcements.changedAfter(known, m_clock.now()),
        .controlHosts = *m_controlHosts.get(),
        .entryHosts = m_hosts.count(),
        .entryHostsInRegion = m_hosts.countIn(query.watcher.region),
        .deaths = m_announcements.deathsAfter(known),
    };
    const auto state = m_state.get();
    if (state && query.appliedIndex < state->appliedIndex) {
        answer.state = *state;
        // Entry hosts have no use for them.
        answer.state->history.clear();
        answer.state->epochs.clear();
        answer.state->routing.document.clear();
    }
    return answer;
}

} // namespace hornbeampick
