#include "fleet/upstream_directory.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Upstreams of a control host that restarted have announced themselves to some control host again within this time.
constexpr milliseconds restartGracePeriod {6000};
// Upstreams of an unreachable control host have announced themselves to another one within this time.
constexpr milliseconds sourceTimeout {6000};
// Upper bound of the difference between the wall clocks of hosts and upstreams.
constexpr milliseconds maxClockSkew {6000};

} // namespace

void upstream_directory::onReports(const std::string &source, std::uint64_t incarnation, std::span<const upstream_report> reports, steady_time now)
{
    auto &state = m_sources[source];
    state.lastContactAt = m_lastContactAt = now;
    if (state.incarnation != incarnation) {
        state.incarnation = incarnation;
        for (auto &[instance, upstream] : m_upstreams) {
            const auto earlier = upstream.observations.find(source);
            if (earlier != upstream.observations.end()) {
                earlier->second.validUntil = std::min(earlier->second.validUntil, now + restartGracePeriod);
                m_nextExpiry = std::min(m_nextExpiry, earlier->second.validUntil);
            }
        }
    }
    for (const auto &report : reports) {
        auto &upstream = m_upstreams[report.instance];
        recordDeregistration(upstream, report);
        if (upstream.firstReport.domain.empty() || report.incarnation > upstream.firstReport.incarnation) {
            upstream.firstReport = report;
        }
        upstream.observations[source] = {.report = report, .warmupEnd = now + report.warmupLeft};
        m_changed.insert(report.instance);
        fileByAddress(report.instance, upstream);
    }
}

void upstream_directory::setServices(std::set<service_name> services)
{
    if (m_services != services) {
        m_services = std::move(services);
        markAllChanged();
    }
}

// Whether an upstream has lost its address depends on all others there, so that they change with it.
void upstream_directory::fileByAddress(const instance_name &instance, upstream_record &upstream)
{
    const auto *newest = newestReport(upstream);
    const auto &address = newest == nullptr ? std::string() : newest->address;
    if (address != upstream.address) {
        const auto left = m_byAddress.find(upstream.address);
        if (left != m_byAddress.end()) {
            left->second.erase(instance);
            m_changed.insert(left->second.begin(), left->second.end());
            if (left->second.empty()) {
                m_byAddress.erase(left);
            }
        }
        upstream.address = address;
    }
    if (!address.empty()) {
        auto &there = m_byAddress[address];
        there.insert(instance);
        m_changed.insert(there.begin(), there.end());
    }
}

void upstream_directory::markAllChanged()
{
    for (const auto &[instance, upstream] : m_upstreams) {
        m_changed.insert(instance);
    }
}

// Marks what changes without a report: control hosts that become unreachable or reachable, and observations that end.
void upstream_directory::markChangedByTime(steady_time now)
{
    bool changed = now >= m_nextExpiry;
    for (auto &[source, state] : m_sources) {
        const bool reachable = isReachable(state, now);
        changed = changed || reachable != state.wasReachable;
        state.wasReachable = reachable;
    }
    if (!changed) {
        return;
    }
    markAllChanged();
    m_nextExpiry = steady_time::max();
    for (const auto &[instance, upstream] : m_upstreams) {
        for (const auto &[source, observed] : upstream.observations) {
            if (observed.validUntil > now) {
                m_nextExpiry = std::min(m_nextExpiry, observed.validUntil);
            }
        }
    }
}

// A deregistration without an incarnation ends the one that is known when it is first received. Otherwise, an incarnation that
// becomes known later could be told apart by wall clocks alone.
void upstream_directory::recordDeregistration(upstream_record &upstream, const upstream_report &report)
{
    const bool hasIncarnation = report.state == upstream_state::gone && report.leftAt == 0;
    if (!hasIncarnation && report.leftAt == 0) {
        return;
    }
    if (!upstream.deregistered) {
        upstream.deregistered = deregistration {};
    }
    auto &known = *upstream.deregistered;
    if (hasIncarnation) {
        known.lastEnded = std::max(known.lastEnded, report.incarnation);
    } else if (report.leftAt > known.leftAt) {
        known.leftAt = report.leftAt;
        const auto latestStart = static_cast<std::uint64_t>(report.leftAt + maxClockSkew.count());
        known.lastEnded = std::max({known.lastEnded, report.incarnation, latestIncarnation(upstream, latestStart)});
    }
}

std::uint64_t upstream_directory::latestIncarnation(const upstream_record &upstream, std::uint64_t notAfter)
{
    std::uint64_t newest = 0;
    for (const auto &[source, observed] : upstream.observations) {
        if (observed.report.incarnation <= notAfter) {
            newest = std::max(newest, observed.report.incarnation);
        }
    }
    return newest;
}

bool upstream_directory::deregistration::covers(std::uint64_t incarnation) const
{
    // When no incarnation was known at the deregistration, the wall clock decides.
    return incarnation <= lastEnded || (lastEnded == 0 && incarnation <= static_cast<std::uint64_t>(leftAt));
}

bool upstream_directory::isReachable(const source_state &state, steady_time now) const
{
    const bool allUnreachable = now >= m_lastContactAt + sourceTimeout;
    return allUnreachable || now < state.lastContactAt + sourceTimeout;
}

// A deregistration at a control host that has no other record of the upstream names no address, and is no report of its state.
const upstream_report *upstream_directory::newestReport(const upstream_record &upstream)
{
    const upstream_report *newest = nullptr;
    for (const auto &[source, observed] : upstream.observations) {
        const auto &report = observed.report;
        if (report.address.empty()) {
            continue;
        }
        const bool isLaterIncarnation = newest == nullptr || report.incarnation > newest->incarnation;
        if (isLaterIncarnation || (report.incarnation == newest->incarnation && supersedes(report, *newest))) {
            newest = &report;
        }
    }
    return newest;
}

upstream_directory::merged_upstream upstream_directory::merge(const upstream_record &upstream, steady_time now) const
{
    merged_upstream merged {.newest = newestReport(upstream)};
    if (merged.newest == nullptr) {
        return merged;
    }
    for (const auto &[source, observed] : upstream.observations) {
        if (observed.report.address.empty() || observed.report.incarnation != merged.newest->incarnation) {
            continue;
        }
        merged.silent = merged.silent && (observed.report.silent || now >= observed.validUntil || !isReachable(m_sources.at(source), now));
        merged.warmupEnd = std::max(merged.warmupEnd, observed.warmupEnd);
    }
    return merged;
}

bool upstream_directory::isTakenOver(const upstream_report &report) const
{
    const auto there = m_byAddress.find(report.address);
    return there != m_byAddress.end() && std::ranges::any_of(there->second, [&](const instance_name &instance) {
               const auto *other = newestReport(m_upstreams.at(instance));
               return other != nullptr && takesOverAddress(*other, report, m_services);
           });
}

known_upstream upstream_directory::stateOf(const upstream_record &upstream, const merged_upstream &merged) const
{
    known_upstream known {.report = *merged.newest, .warmupEnd = merged.warmupEnd};
    known.report.silent = merged.silent;
    known.report.domain = keptDomain(upstream.firstReport, known.report);
    const bool ended = upstream.deregistered && upstream.deregistered->covers(known.report.incarnation);
    if (ended || isTakenOver(known.report)) {
        known.report.state = upstream_state::gone;
    }
    return known;
}

std::vector<known_upstream> upstream_directory::takeChanges(steady_time now)
{
    markChangedByTime(now);
    std::vector<known_upstream> changes;
    changes.reserve(m_changed.size());
    for (const auto &instance : m_changed) {
        const auto &upstream = m_upstreams.at(instance);
        const auto merged = merge(upstream, now);
        if (merged.newest != nullptr) {
            changes.push_back(stateOf(upstream, merged));
        }
    }
    m_changed.clear();
    return changes;
}

std::vector<known_upstream> upstream_directory::upstreams(steady_time now) const
{
    std::vector<known_upstream> all;
    all.reserve(m_upstreams.size());
    for (const auto &[instance, upstream] : m_upstreams) {
        const auto merged = merge(upstream, now);
        if (merged.newest != nullptr) {
            all.push_back(stateOf(upstream, merged));
        }
    }
    return all;
}

} // namespace hornbeampick
