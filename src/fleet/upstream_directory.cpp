#include "fleet/upstream_directory.h"

#include <algorithm>
#include <string_view>

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
        for (auto &[instance, earlier] : state.observations) {
            earlier.validUntil = std::min(earlier.validUntil, now + restartGracePeriod);
        }
    }
    for (const auto &report : reports) {
        recordDeregistration(report);
        auto &first = m_firstReports[report.instance];
        if (first.domain.empty() || report.incarnation > first.incarnation) {
            first = report;
        }
        state.observations[report.instance] = {.report = report, .warmupEnd = now + report.warmupLeft};
    }
}

void upstream_directory::setServices(std::set<service_name> services)
{
    m_services = std::move(services);
}

// A deregistration without an incarnation ends the one that is known when it is first received. Otherwise, an incarnation that
// becomes known later could be told apart by wall clocks alone.
void upstream_directory::recordDeregistration(const upstream_report &report)
{
    const bool hasIncarnation = report.state == upstream_state::gone && report.leftAt == 0;
    if (!hasIncarnation && report.leftAt == 0) {
        return;
    }
    auto &known = m_deregistrations[report.instance];
    if (hasIncarnation) {
        known.lastEnded = std::max(known.lastEnded, report.incarnation);
    } else if (report.leftAt > known.leftAt) {
        known.leftAt = report.leftAt;
        const auto latestStart = static_cast<std::uint64_t>(report.leftAt + maxClockSkew.count());
        known.lastEnded = std::max({known.lastEnded, report.incarnation, latestIncarnation(report.instance, latestStart)});
    }
}

std::uint64_t upstream_directory::latestIncarnation(const instance_name &instance, std::uint64_t notAfter) const
{
    std::uint64_t newest = 0;
    for (const auto &[source, state] : m_sources) {
        const auto found = state.observations.find(instance);
        if (found != state.observations.end() && found->second.report.incarnation <= notAfter) {
            newest = std::max(newest, found->second.report.incarnation);
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

std::vector<known_upstream> upstream_directory::upstreams(steady_time now) const
{
    struct merged_upstream {
        const observation *newest = nullptr;
        bool silent = true;
        steady_time warmupEnd {};
    };
    std::map<instance_name, merged_upstream> all;
    for (const auto &[source, state] : m_sources) {
        for (const auto &[instance, observed] : state.observations) {
            if (observed.report.address.empty()) {
                // A deregistration at a control host that has no other record of the upstream.
                continue;
            }
            auto &entry = all[instance];
            if (entry.newest == nullptr || observed.report.incarnation > entry.newest->report.incarnation) {
                entry = {.newest = &observed};
            } else if (observed.report.incarnation < entry.newest->report.incarnation) {
                continue;
            } else if (supersedes(observed.report, entry.newest->report)) {
                entry.newest = &observed;
            }
            entry.silent = entry.silent && (observed.report.silent || now >= observed.validUntil || !isReachable(state, now));
            entry.warmupEnd = std::max(entry.warmupEnd, observed.warmupEnd);
        }
    }
    std::map<std::string_view, std::vector<const upstream_report *>> reportsAtAddress;
    for (const auto &[instance, entry] : all) {
        reportsAtAddress[entry.newest->report.address].push_back(&entry.newest->report);
    }
    std::vector<known_upstream> upstreams;
    upstreams.reserve(all.size());
    for (const auto &[instance, entry] : all) {
        known_upstream known {.report = entry.newest->report, .warmupEnd = entry.warmupEnd};
        known.report.silent = entry.silent;
        known.report.domain = keptDomain(m_firstReports.at(instance), known.report);
        const auto deregistered = m_deregistrations.find(instance);
        const bool ended = deregistered != m_deregistrations.end() && deregistered->second.covers(known.report.incarnation);
        const bool takenOver = std::ranges::any_of(reportsAtAddress[known.report.address],
                                                   [&](const upstream_report *other) { return takesOverAddress(*other, known.report, m_services); });
        if (ended || takenOver) {
            known.report.state = upstream_state::gone;
        }
        upstreams.push_back(std::move(known));
    }
    return upstreams;
}

} // namespace hornbeampick
