#include "steering/cap_table.h"

#include "core/digest.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

constexpr std::uint64_t bitsAByte = 8;

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
    , m_domains(1)
    , m_domainPosition(fleet.positionOf(m_self.domain).value_or(0))
{
    if (const auto *region = fleet.find(m_self.region)) {
        m_domains = std::max<std::size_t>(region->domains.size(), 1);
    }
}

void cap_table::setRules(std::shared_ptr<const rule_set> rules)
{
    const std::lock_guard guard(m_lock);
    m_split.rules = std::move(rules);
}

void cap_table::setSeat(const cap_seat &seat, steady_time now, steady_time from)
{
    const std::lock_guard guard(m_lock);
    if (m_split.current == seat) {
        return;
    }
    std::erase_if(m_split.former, [now](const former_seat &former) { return now >= former.until; });
    m_split.former.push_back({.seat = m_split.current, .until = from});
    m_split.current = seat;
}

std::optional<cap_receipt> cap_table::take(const cap_key &key, std::uint64_t units, steady_time now)
{
    const auto limit = limitOf(key, now);
    if (!limit) {
        return cap_receipt {.key = key, .units = 0, .takenAt = now};
    }
    const bool taken = m_limiters.with(shardOf(key), [&](limiters &all) {
        auto &limiter = all[key];
        limiter.setLimit(*limit);
        return limiter.take(units, now);
    });
    if (!taken) {
        return std::nullopt;
    }
    return cap_receipt {.key = key, .units = units, .takenAt = now};
}

void cap_table::giveBack(const cap_receipt &receipt, steady_time now)
{
    if (receipt.units == 0) {
        return;
    }
    m_limiters.with(shardOf(receipt.key), [&](limiters &all) { all[receipt.key].giveBack(receipt.units, receipt.takenAt, now); });
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
        const auto wait = limiter.waitFor(std::min(bytes, *limit), now);
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
    if (!m_split.rules) {
        return std::nullopt;
    }
    const auto total = totalOf(*m_split.rules, key);
    if (!total) {
        return std::nullopt;
    }
    std::uint64_t part = partOf(*total, m_split.current);
    for (const auto &former : m_split.former) {
        if (now < former.until) {
            part = std::min(part, partOf(*total, former.seat));
        }
    }
    return part;
}

std::uint64_t cap_table::partOf(std::uint64_t total, const std::optional<cap_seat> &seat) const
{
    if (!seat) {
        return 0;
    }
    const std::uint64_t domainPart = shareOf(total, m_domains, m_domainPosition);
    return shareOf(domainPart, seat->seats, seat->position);
}

std::optional<std::uint64_t> cap_table::totalOf(const rule_set &rules, const cap_key &key) const
{
    switch (key.kind) {
    case cap_kind::regionCapacity:
        if (const auto *rule = rules.capacityOf(m_self.region, key.service)) {
            return rule->perSecond;
        }
        return std::nullopt;
    case cap_kind::link:
        if (const auto *rule = rules.linkBetween(m_self.region, key.other)) {
            return rule->bitsPerSecond / bitsAByte;
        }
        return std::nullopt;
    case cap_kind::shift: {
        // Overlapping shifts of the same pair are held to the smallest of their caps.
        std::optional<std::uint64_t> least;
        for (const auto &rule : rules.shifts) {
            const bool applies = rule.service == key.service && rule.from == key.other && rule.to == m_self.region && rule.perSecond;
            if (applies) {
                least = std::min<std::uint64_t>(least.value_or(*rule.perSecond), *rule.perSecond);
            }
        }
        return least;
    }
    }
    return std::nullopt;
}

} // namespace hornbeampick
