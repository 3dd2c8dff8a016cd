#include "fleet/upstream_directory.h"

#include <algorithm>
#include <tuple>

namespace hornbeampick
{

namespace
{

// Upstreams whose control host restarted announce themselves elsewhere within this time.
constexpr milliseconds formerLifeValid {6000};
// So they do when it cannot be reached for this long.
constexpr milliseconds sourceSilentAfter {6000};
// Wall clocks of hosts and upstreams differ by less.
constexpr milliseconds mostSkew {6000};

} // namespace

void upstream_directory::onReports(const std::string &source, std::uint64_t incarnation, std::span<const upstream_report> reports, steady_time now)
{
    auto &state = m_sources[source];
    state.heardAt = m_lastHeard = now;
    if (state.incarnation != incarnation) {
        state.incarnation = incarnation;
        for (auto &[instance, former] : state.statements) {
            former.validUntil = std::min(former.validUntil, now + formerLifeValid);
        }
    }
    for (const auto &report : reports) {
        noteEnd(report);
        state.statements[report.instance] = {.report = report, .coldUntil = now + report.warmupLeft};
    }
}

// Without the name of a life, the one that is known when the farewell is first heard ends: a life that is not known yet
// would otherwise have to be told apart by clocks alone.
void upstream_directory::noteEnd(const upstream_report &report)
{
    const bool named = report.state == upstream_state::gone && report.leftAt == 0;
    if (!named && report.leftAt == 0) {
        return;
    }
    auto &known = m_farewells[report.instance];
    if (named) {
        known.ended = std::max(known.ended, report.incarnation);
    } else if (report.leftAt > known.leftAt) {
        known.leftAt = report.leftAt;
        const auto latest = static_cast<std::uint64_t>(report.leftAt + mostSkew.count());
        known.ended = std::max({known.ended, report.incarnation, newestLife(report.instance, latest)});
    }
}

std::uint64_t upstream_directory::newestLife(const instance_name &instance, std::uint64_t notAfter) const
{
    std::uint64_t newest = 0;
    for (const auto &[source, state] : m_sources) {
        const auto found = state.statements.find(instance);
        if (found != state.statements.end() && found->second.report.incarnation <= notAfter) {
            newest = std::max(newest, found->second.report.incarnation);
        }
    }
    return newest;
}

bool upstream_directory::farewell::ends(std::uint64_t incarnation) const
{
    // No life was known when it left: by the clock.
    return incarnation <= ended || (ended == 0 && incarnation <= static_cast<std::uint64_t>(leftAt));
}

bool upstream_directory::isHeard(const source_state &state, steady_time now) const
{
    const bool cutOff = now >= m_lastHeard + sourceSilentAfter;
    return cutOff || now < state.heardAt + sourceSilentAfter;
}

std::vector<known_upstream> upstream_directory::upstreams(steady_time now) const
{
    struct joined {
        const statement *newest = nullptr;
        bool silent = true;
        steady_time coldUntil {};
    };
    std::map<instance_name, joined> all;
    for (const auto &[source, state] : m_sources) {
        for (const auto &[instance, said] : state.statements) {
            if (said.report.address.empty()) {
                // A farewell to a host that does not know it.
                continue;
            }
            auto &entry = all[instance];
            if (entry.newest == nullptr || said.report.incarnation > entry.newest->report.incarnation) {
                entry = {.newest = &said};
            } else if (said.report.incarnation < entry.newest->report.incarnation) {
                continue;
            } else if (supersedes(said.report, entry.newest->report)) {
                entry.newest = &said;
            }
            entry.silent = entry.silent && (said.report.silent || now >= said.validUntil || !isHeard(state, now));
            entry.coldUntil = std::max(entry.coldUntil, said.coldUntil);
        }
    }
    // The latest life at an address owns it.
    std::map<std::string, std::uint64_t> holders;
    for (const auto &[instance, entry] : all) {
        auto &newest = holders[entry.newest->report.address];
        newest = std::max(newest, entry.newest->report.incarnation);
    }
    std::vector<known_upstream> upstreams;
    upstreams.reserve(all.size());
    for (const auto &[instance, entry] : all) {
        known_upstream known {.report = entry.newest->report, .coldUntil = entry.coldUntil};
        known.report.silent = entry.silent;
        const auto left = m_farewells.find(instance);
        const bool ended = left != m_farewells.end() && left->second.ends(known.report.incarnation);
        if (ended || known.report.incarnation < holders[known.report.address]) {
            known.report.state = upstream_state::gone;
        }
        upstreams.push_back(std::move(known));
    }
    return upstreams;
}

} // namespace hornbeampick
