#include "fleet/entry_host_list.h"

#include "core/digest.h"
#include "rules/routing_table.h"

#include <algorithm>
#include <utility>

namespace hornbeampick
{

entry_host_list::entry_host_list(const entry_host_list_options &options)
    : m_options(options)
    , m_listeningSince(options.startedAt)
{
}

void entry_host_list::recordProgress(const entry_host &host, std::uint64_t position, steady_time now)
{
    const std::lock_guard guard(m_lock);
    if (m_lastQueryAt && now >= *m_lastQueryAt + m_options.absentAfter) {
        m_listeningSince = now;
    }
    m_lastQueryAt = now;
    auto &known = m_records[host.host];
    if (host.incarnation != known.host.incarnation) {
        known.position = 0;
    }
    known.host = host;
    known.position = std::max(known.position, position);
    known.lastQueryAt = now;
}

entry_selection entry_host_list::select(const entry_host_query &query, steady_time now) const
{
    std::vector<const entry_host *> elsewhere;
    std::vector<const entry_host *> inRegion;
    const std::lock_guard guard(m_lock);
    const bool isComplete = now - m_options.absentAfter >= m_listeningSince;
    for (const auto &[name, known] : m_records) {
        if (!isServing(known, now)) {
            continue;
        }
        if (known.host.region == query.region) {
            inRegion.push_back(&known.host);
        } else if (isComplete && isRegionAllowed(query.allowedRegions, known.host.region)) {
            elsewhere.push_back(&known.host);
        }
    }
    auto &hosts = inRegion.empty() ? elsewhere : inRegion;
    const auto isolated = static_cast<std::size_t>(std::ranges::count_if(hosts, [](const entry_host *each) { return each->isolated; }));
    if (2 * isolated <= hosts.size()) {
        std::erase_if(hosts, [](const entry_host *each) { return each->isolated; });
    }
    entry_selection selection {.isOutsideRegion = inRegion.empty() && !elsewhere.empty()};
    selection.addresses.reserve(hosts.size());
    for (const auto *each : hosts) {
        selection.addresses.push_back(each->address);
    }
    return selection;
}

std::vector<relay_peer> entry_host_list::relayPeersFor(const entry_host &watcher, std::size_t limit, steady_time now) const
{
    std::vector<relay_peer> peers;
    const std::lock_guard guard(m_lock);
    for (const auto &[name, known] : m_records) {
        if (isServing(known, now) && !known.host.isolated && !known.host.relayAddress.empty()) {
            peers.push_back({.address = known.host.relayAddress, .region = known.host.region});
        }
    }
    const auto seed = stableHash(watcher.host.view());
    std::ranges::sort(peers, {}, [&](const relay_peer &each) { return std::pair(each.region != watcher.region, stableHash(each.address, seed)); });
    peers.resize(std::min(peers.size(), limit));
    return peers;
}

bool entry_host_list::isServing(const record &known, steady_time now) const
{
    return known.host.serving && now < known.lastQueryAt + m_options.absentAfter;
}

bool entry_host_list::allCaughtUp(std::uint64_t position, required_hosts required, steady_time now) const
{
    const std::lock_guard guard(m_lock);
    std::size_t present = 0;
    for (const auto &[name, known] : m_records) {
        if (now >= known.lastQueryAt + m_options.absentAfter) {
            if (required == required_hosts::includingAbsent) {
                return false;
            }
            continue;
        }
        ++present;
        if (known.position < position) {
            return false;
        }
    }
    return present > 0;
}

std::uint32_t entry_host_list::countQuietFor(milliseconds age, steady_time now) const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::uint32_t>(std::ranges::count_if(m_records, [&](const auto &item) { return now - item.second.lastQueryAt >= age; }));
}

entry_host_presence entry_host_list::presence(steady_time now) const
{
    const auto absent = countQuietFor(m_options.absentAfter, now);
    const std::lock_guard guard(m_lock);
    return {.listed = static_cast<std::uint32_t>(m_records.size()), .absent = absent, .knowsLeader = m_leaderKnownSince.has_value()};
}

std::uint32_t entry_host_list::count() const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::uint32_t>(m_records.size());
}

std::uint32_t entry_host_list::placeInRegion(const entry_host &host) const
{
    const std::lock_guard guard(m_lock);
    const auto end = m_records.upper_bound(host.host);
    if (!m_records.contains(host.host)) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::count_if(m_records.begin(), end, [&](const auto &item) { return item.second.host.region == host.region; }));
}

std::uint32_t entry_host_list::countIn(const region_name &region) const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::uint32_t>(std::ranges::count_if(m_records, [&](const auto &item) { return item.second.host.region == region; }));
}

void entry_host_list::expire(steady_time now)
{
    const std::lock_guard guard(m_lock);
    if (isInTouch(now)) {
        std::erase_if(m_records, [&](const auto &item) { return now >= item.second.lastQueryAt + m_options.removedAfter; });
    }
}

void entry_host_list::recordLeader(bool isKnown, steady_time now)
{
    const std::lock_guard guard(m_lock);
    // A process that was suspended may have missed the queries of others since.
    const bool hasPaused = m_leaderRecordedAt && now >= *m_leaderRecordedAt + m_options.absentAfter;
    m_leaderRecordedAt = now;
    if (!isKnown || hasPaused) {
        m_leaderKnownSince.reset();
    }
    if (isKnown && !m_leaderKnownSince) {
        m_leaderKnownSince = now;
    }
    m_wasInTouch = m_wasInTouch || isInTouch(now);
}

std::optional<required_hosts> entry_host_list::requiredForConfirmation(steady_time now) const
{
    const std::lock_guard guard(m_lock);
    if (isInTouch(now)) {
        return required_hosts::present;
    }
    // A host that is cut off from the log's leader may also be cut off from entry hosts that have not queried it lately.
    return m_wasInTouch ? std::optional(required_hosts::includingAbsent) : std::nullopt;
}

bool entry_host_list::isInTouch(steady_time now) const
{
    return m_leaderKnownSince && now >= *m_leaderKnownSince + m_options.absentAfter;
}

} // namespace hornbeampick
