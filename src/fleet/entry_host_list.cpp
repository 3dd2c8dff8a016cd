#include "fleet/entry_host_list.h"

#include "core/digest.h"
#include "rules/routing_table.h"

#include <algorithm>
#include <utility>

namespace hornbeampick
{

namespace
{

// Contact that is interrupted for longer than `absentAfter` divided by this does not count as continuous.
constexpr int contactGapDivisor = 2;

} // namespace

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

bool entry_host_list::allCaughtUp(std::uint64_t position, steady_time now) const
{
    const std::lock_guard guard(m_lock);
    std::size_t present = 0;
    for (const auto &[name, known] : m_records) {
        if (now >= known.lastQueryAt + m_options.absentAfter) {
            if (!isOutOfService(known)) {
                return false;
            }
            continue;
        }
        ++present;
        if (known.position < position) {
            return false;
        }
    }
    return m_isFleetKnown && present > 0;
}

bool entry_host_list::isFleetKnown() const
{
    const std::lock_guard guard(m_lock);
    return m_isFleetKnown;
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
    entry_host_presence known {.listed = static_cast<std::uint32_t>(m_records.size()), .absent = absent};
    if (m_contact) {
        known.contactAge = std::chrono::duration_cast<milliseconds>(now - m_contact->until);
    }
    return known;
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
    std::erase_if(m_records, [&](const auto &item) { return now >= item.second.lastQueryAt + m_options.removedAfter && isOutOfService(item.second); });
}

void entry_host_list::recordContact(steady_time contactAt)
{
    const std::lock_guard guard(m_lock);
    const bool isFirst = !m_contact && contactAt > steady_time {};
    if (isFirst || (m_contact && contactAt > m_contact->until + m_options.absentAfter / contactGapDivisor)) {
        m_contact = {.since = contactAt, .until = contactAt};
    }
    if (m_contact) {
        m_contact->until = std::max(m_contact->until, contactAt);
        m_isFleetKnown = m_isFleetKnown || m_contact->until >= m_contact->since + m_options.absentAfter;
    }
}

bool entry_host_list::isOutOfService(const record &known) const
{
    return m_contact && m_contact->until >= std::max(known.lastQueryAt, m_contact->since) + m_options.absentAfter;
}

} // namespace hornbeampick
