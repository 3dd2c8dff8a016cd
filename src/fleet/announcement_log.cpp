#include "fleet/announcement_log.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Ends of warm-up that differ by no more than this are equal: a report is some milliseconds old when it arrives.
constexpr milliseconds warmupTolerance {300};
// Deaths are rare, and an entry host that watches continuously receives each of them before it is evicted.
constexpr std::size_t maxDeaths = 64;

} // namespace

announcement_log::announcement_log(const announcement_log_options &options)
    : m_options(options)
{
}

void announcement_log::setServices(std::set<service_name> services)
{
    const std::lock_guard guard(m_lock);
    m_services = std::move(services);
}

std::uint64_t announcement_log::report(const upstream_report &incoming, steady_time now)
{
    const std::lock_guard guard(m_lock);
    if (incoming.leftAt != 0) {
        return deregister(incoming, now);
    }
    if (isAddressTakenOver(incoming)) {
        return m_position;
    }
    auto &known = m_records[incoming.instance];
    const bool isNew = known.position == 0;
    if (!isNew && !supersedes(incoming, known.report)) {
        return known.position;
    }
    retireEarlierAtAddress(incoming);
    const bool hasChanged = isNew || isChange(known, incoming, now);
    const auto leftAt = known.report.leftAt;
    const auto domain = keptDomain(known.report, incoming);
    if (incoming.address.empty() && incoming.incarnation == known.report.incarnation) {
        // A deregistration carries only the instance and its incarnation: keep the other fields.
        known.report.state = incoming.state;
    } else {
        known.report = incoming;
    }
    known.report.domain = domain;
    known.report.silent = false;
    // An incarnation that started before the deregistration may be the one that was meant. Entry hosts decide, since they know
    // which incarnation they had at that time.
    known.report.leftAt = incoming.incarnation <= static_cast<std::uint64_t>(leftAt) ? leftAt : 0;
    known.lastReportAt = now;
    if (hasChanged) {
        known.warmupEnd = now + incoming.warmupLeft;
        known.position = ++m_position;
    }
    return known.position;
}

void announcement_log::restore(std::span<const upstream_report> known, steady_time now)
{
    const std::lock_guard guard(m_lock);
    for (const auto &report : known) {
        m_records[report.instance] = {.report = report, .lastReportAt = now, .warmupEnd = now + report.warmupLeft, .position = ++m_position};
    }
}

// Handles a deregistration without an incarnation. It may arrive at a control host that has no record of the upstream.
std::uint64_t announcement_log::deregister(const upstream_report &incoming, steady_time now)
{
    auto &known = m_records[incoming.instance];
    known.lastReportAt = now;
    if (known.report.leftAt != 0) {
        return known.position;
    }
    if (known.position == 0) {
        known.report = incoming;
    }
    known.report.state = upstream_state::gone;
    known.report.leftAt = incoming.leftAt;
    known.position = ++m_position;
    return known.position;
}

bool announcement_log::expire(steady_time now)
{
    const std::lock_guard guard(m_lock);
    const auto before = m_position;
    for (auto &[instance, known] : m_records) {
        const bool timedOut = known.report.state != upstream_state::gone && !known.report.silent && now >= known.lastReportAt + m_options.heartbeatTimeout;
        if (timedOut) {
            known.report.silent = true;
            known.position = ++m_position;
        }
    }
    std::erase_if(m_records, [&](const auto &item) {
        const bool ended = item.second.report.state == upstream_state::gone || item.second.report.silent;
        return ended && now >= item.second.lastReportAt + m_options.tombstoneRetention;
    });
    return m_position != before;
}

bool announcement_log::reportDeath(const upstream_death &death)
{
    const std::lock_guard guard(m_lock);
    if (std::ranges::find(m_deaths, death, &death_record::death) != m_deaths.end()) {
        return false;
    }
    if (m_deaths.size() >= maxDeaths) {
        m_deaths.erase(m_deaths.begin());
    }
    m_deaths.push_back({.death = death, .position = ++m_position});
    return true;
}

std::vector<upstream_death> announcement_log::deathsAfter(std::uint64_t position) const
{
    std::vector<upstream_death> deaths;
    const std::lock_guard guard(m_lock);
    for (const auto &each : m_deaths) {
        if (each.position > position) {
            deaths.push_back(each.death);
        }
    }
    return deaths;
}

std::uint64_t announcement_log::position() const
{
    const std::lock_guard guard(m_lock);
    return m_position;
}

std::vector<upstream_report> announcement_log::changedAfter(std::uint64_t position, steady_time now) const
{
    std::vector<upstream_report> changed;
    const std::lock_guard guard(m_lock);
    for (const auto &[instance, known] : m_records) {
        if (known.position > position) {
            changed.push_back(known.report);
            changed.back().warmupLeft = std::max(milliseconds(0), std::chrono::ceil<milliseconds>(known.warmupEnd - now));
        }
    }
    return changed;
}

// Returns true when another upstream has taken over the address of the report.
bool announcement_log::isAddressTakenOver(const upstream_report &incoming) const
{
    return std::ranges::any_of(m_records, [&](const auto &item) { return takesOverAddress(item.second.report, incoming, m_services); });
}

// Marks the upstreams whose address the report takes over as gone.
void announcement_log::retireEarlierAtAddress(const upstream_report &incoming)
{
    for (auto &[instance, known] : m_records) {
        if (known.report.state != upstream_state::gone && takesOverAddress(incoming, known.report, m_services)) {
            known.report.state = upstream_state::gone;
            known.position = ++m_position;
        }
    }
}

// Returns true when the report changes more than the fields that differ in every heartbeat.
bool announcement_log::isChange(const record &known, const upstream_report &incoming, steady_time now)
{
    auto before = known.report;
    auto after = incoming;
    after.domain = keptDomain(before, after);
    before.reportedAt = after.reportedAt = 0;
    before.inFlight = after.inFlight = 0;
    before.warmupLeft = after.warmupLeft = milliseconds(0);
    const auto warmupEnd = now + incoming.warmupLeft;
    const bool warmsUpAgain = incoming.warmupLeft > milliseconds(0) && warmupEnd > known.warmupEnd + warmupTolerance;
    return warmsUpAgain || before != after;
}

} // namespace hornbeampick
