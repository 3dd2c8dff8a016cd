#include "node/quota_server.h"

#include "limits/quota_rules.h"
#include "observe/log.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// The two clocks are read one after the other, so that they may differ by a little without a suspension.
constexpr milliseconds suspensionThreshold {100};

} // namespace

quota_server::quota_server(const quota_server_options &options, const entry_host_list &hosts, clock_source &clock)
    : m_options(options)
    , m_hosts(hosts)
    , m_clock(clock)
    , m_ledger(options.quota)
    , m_suspended(clock.bootNow() - clock.now())
{
}

void quota_server::setRouting(const routing_table &table)
{
    m_ledger.setRules(quotaRulesOf(table));
}

void quota_server::setView(const replica_view &view)
{
    const std::lock_guard guard(m_lock);
    m_view = view;
    mayGrant(m_clock.now());
}

bool quota_server::isGranting()
{
    const std::lock_guard guard(m_lock);
    return mayGrant(m_clock.now());
}

quota_answer quota_server::onDraw(const quota_draw &draw)
{
    const auto now = m_clock.now();
    {
        const std::lock_guard guard(m_lock);
        if (!mayGrant(now)) {
            return {.number = draw.number, .isGranting = false};
        }
    }
    const fleet_presence fleet {.hosts = std::max(m_hosts.count(), 1U), .absent = m_hosts.countQuietFor(m_options.quietAfter, now)};
    auto answer = m_ledger.settle(draw, fleet, m_clock.bootNow());
    const auto exhausted = std::ranges::find_if(answer.grants, [](const quota_grant &grant) { return grant.retryAfter > milliseconds(0); });
    if (exhausted != answer.grants.end()) {
        logExhausted(*exhausted, fleet);
    }
    return answer;
}

void quota_server::logExhausted(const quota_grant &grant, const fleet_presence &fleet) const
{
    const auto all = m_ledger.statistics();
    const auto found = std::ranges::find(all, grant.organisation, &quota_statistics::organisation);
    if (found == all.end()) {
        return;
    }
    logRateLimited(log_level::info, "quota-exhausted",
                   {{"organisation", grant.organisation.string()},
                    {"level", found->level},
                    {"grantedPerSecond", found->grantedPerSecond},
                    {"perSecond", found->perSecond},
                    {"notGranted", static_cast<std::int64_t>(found->refused)},
                    {"retryAfterMs", static_cast<std::int64_t>(grant.retryAfter.count())},
                    {"hosts", static_cast<std::int64_t>(fleet.hosts)},
                    {"absentHosts", static_cast<std::int64_t>(fleet.absent)}});
}

// Requires m_lock.
bool quota_server::mayGrant(steady_time now)
{
    const auto suspended = m_clock.bootNow() - now;
    if (suspended > m_suspended + suspensionThreshold) {
        m_distrustUntil = now;
    }
    m_suspended = std::max(m_suspended, suspended);
    const bool isConfirmed = m_view.confirmedAt > m_distrustUntil && now - m_view.confirmedAt < m_options.confirmedWithin;
    const bool leads = m_view.role == replica_role::leader && isConfirmed;
    if (leads != m_leading) {
        m_leading = leads;
        if (leads) {
            m_ledger.lead(m_clock.bootNow());
        } else {
            m_ledger.stopLeading();
        }
        logEvent(log_level::info, leads ? "quotas-granted-here" : "quotas-not-granted-here", {{"term", static_cast<std::int64_t>(m_view.term)}});
    }
    return leads;
}

} // namespace hornbeampick
