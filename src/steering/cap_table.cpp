#include "steering/cap_table.h"

#include "core/digest.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

constexpr std::uint64_t bitsPerByte = 8;

std::size_t shardOf(const cap_key &key)
{
    return stableHash(key.service.view(), stableHash(key.other.view(), static_cast<std::uint64_t>(key.kind)));
}

} // namespace

std::string cap_key::text() const
{
    switch (kind) {
    case cap_kind::regionCapacity:
        return "capacity " + service.string();
    case cap_kind::shift:
        return "shift " + service.string() + " from " + other.string();
    case cap_kind::link:
        return "link to " + other.string();
    }
    return {};
}

cap_table::cap_table(const topology &fleet, location self)
    : m_self(std::move(self))
    , m_domainCount(1)
    , m_domainIndex(fleet.positionOf(m_self.domain).value_or(0))
{
    if (const auto *region = fleet.find(m_self.region)) {
        m_domainCount = std::max<std::size_t>(region->domains.size(), 1);
    }
}

void cap_table::setRules(std::shared_ptr<const rule_set> rules)
{
    const std::lock_guard guard(m_lock);
    m_allocation.rules = std::move(rules);
}

void cap_table::setPartition(const cap_partition &partition, steady_time now, steady_time from)
{
    const std::lock_guard guard(m_lock);
    if (m_allocation.current == partition) {
        return;
    }
    std::erase_if(m_allocation.previous, [now](const previous_partition &previous) { return now >= previous.until; });
    m_allocation.previous.push_back({.partition = m_allocation.current, .until = from});
    m_allocation.current = partition;
}

std::optional<cap_reservation> cap_table::reserve(const cap_key &key, std::uint64_t units, steady_time now)
{
    const auto limit = limitOf(key, now);
    if (!limit) {
        return cap_reservation {.key = key, .units = 0, .takenAt = now};
    }
    const bool taken = m_limiters.with(shardOf(key), [&](limiters &all) {
        auto &limiter = all[key];
        limiter.setLimit(*limit);
        return limiter.take(units, now);
    });
    if (!taken) {
        return std::nullopt;
    }
    return cap_reservation {.key = key, .units = units, .takenAt = now};
}

void cap_table::refund(const cap_reservation &reservation, steady_time now)
{
    if (reservation.units == 0) {
        return;
    }
    m_limiters.with(shardOf(reservation.key), [&](limiters &all) { all[reservation.key].refund(reservation.units, reservation.takenAt, now); });
}

milliseconds cap_table::chargeBytes(const region_name &to, std::uint64_t bytes, steady_time now)
{
    const cap_key key {.kind = cap_kind::link, .service = {}, .other = to};
    const auto limit = limitOf(key, now);
    if (!limit) {
        return {};
    }
    return m_limiters.with(shardOf(key), [&](limiters &all) {
        auto &limiter = all[key];
        limiter.setLimit(*limit);
        const auto wait = limiter.timeUntilAvailable(std::min(bytes, *limit), now);
        limiter.charge(bytes, now + wait);
        return wait;
    });
}

std::uint64_t cap_table::used(const cap_key &key, steady_time now)
{
    return m_limiters.with(shardOf(key), [&](limiters &all) {
        const auto found = all.find(key);
        return found == all.end() ? std::uint64_t {0} : found->second.used(now);
    });
}

std::optional<std::uint64_t> cap_table::limitOf(const cap_key &key, steady_time now) const
{
    const std::lock_guard guard(m_lock);
    if (!m_allocation.rules) {
        return std::nullopt;
    }
    const auto total = capOf(*m_allocation.rules, key);
    if (!total) {
        return std::nullopt;
    }
    std::uint64_t quota = quotaOf(*total, m_allocation.current);
    for (const auto &previous : m_allocation.previous) {
        if (now < previous.until) {
            quota = std::min(quota, quotaOf(*total, previous.partition));
        }
    }
    return quota;
}

std::uint64_t cap_table::quotaOf(std::uint64_t total, const std::optional<cap_partition> &partition) const
{
    if (!partition) {
        return 0;
    }
    const std::uint64_t domainQuota = evenShare(total, m_domainCount, m_domainIndex);
    return evenShare(domainQuota, partition->count, partition->index);
}

std::optional<std::uint64_t> cap_table::capOf(const rule_set &rules, const cap_key &key) const
{
    switch (key.kind) {
    case cap_kind::regionCapacity:
        if (const auto *rule = rules.capacityOf(m_self.region, key.service)) {
            return rule->perSecond;
        }
        return std::nullopt;
    case cap_kind::link:
        if (const auto *rule = rules.linkBetween(m_self.region, key.other)) {
            return rule->bitsPerSecond / bitsPerByte;
        }
        return std::nullopt;
    case cap_kind::shift: {
        // Overlapping shifts between the same two regions share the lowest of their caps.
        std::optional<std::uint64_t> lowest;
        for (const auto &rule : rules.shifts) {
            const bool applies = rule.service == key.service && rule.from == key.other && rule.to == m_self.region && rule.perSecond;
            if (applies) {
                lowest = std::min<std::uint64_t>(lowest.value_or(*rule.perSecond), *rule.perSecond);
            }
        }
        return lowest;
    }
    }
    return std::nullopt;
}

} // namespace hornbeampick
