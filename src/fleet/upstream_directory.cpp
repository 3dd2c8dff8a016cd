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
        state.statements[report.instance] = {.report = report, .coldUntil = now + report.warmupLeft};
    }
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
        if (known.report.incarnation < holders[known.report.address]) {
            known.report.state = upstream_state::gone;
        }
        upstreams.push_back(std::move(known));
    }
    return upstreams;
}

} // namespace hornbeampick
