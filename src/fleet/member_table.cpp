#include "fleet/member_table.h"

#include "core/digest.h"

#include <algorithm>
#include <tuple>

namespace hornbeampick
{

namespace
{

// Consecutive direct exchanges that must fail before a member is suspected.
constexpr int failuresToSuspect = 2;

// Records with a larger rank replace records with a smaller one.
auto rankOf(const fleet_member &member)
{
    return std::tuple(member.incarnation, member.sequence, member.state);
}

template <typename Predicate, typename Records> std::vector<fleet_member> select(const Records &records, Predicate predicate)
{
    std::vector<fleet_member> chosen;
    for (const auto &[host, each] : records) {
        if (predicate(each)) {
            chosen.push_back(each.member);
        }
    }
    return chosen;
}

} // namespace

member_table::member_table(fleet_member self, const member_table_options &options)
    : m_self(self.host)
    , m_options(options)
{
    m_records[m_self].member = std::move(self);
}

void member_table::setAddresses(std::string httpAddress, std::string rpcAddress)
{
    const std::lock_guard guard(m_lock);
    auto &self = m_records[m_self].member;
    self.httpAddress = std::move(httpAddress);
    self.rpcAddress = std::move(rpcAddress);
    ++m_revision;
}

bool member_table::merge(const fleet_member &incoming, steady_time now)
{
    const std::lock_guard guard(m_lock);
    if (incoming.host.empty() || incoming.rpcAddress.empty()) {
        return false;
    }
    if (incoming.host == m_self) {
        refute(incoming, now);
        return false;
    }
    auto &known = m_records[incoming.host];
    const bool isNew = known.member.host.empty() || rankOf(incoming) > rankOf(known.member);
    if (isNew) {
        known.member = incoming;
        known.changedAt = now;
        known.consecutiveFailures = 0;
        ++m_revision;
    }
    return isNew;
}

void member_table::onExchangeSucceeded(const host_name &host, steady_time now)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_records.find(host);
    if (found == m_records.end()) {
        return;
    }
    found->second.lastContactAt = now;
    found->second.consecutiveFailures = 0;
}

void member_table::onExchangeFailed(const host_name &host, steady_time now)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_records.find(host);
    if (found == m_records.end()) {
        return;
    }
    auto &peer = found->second;
    ++peer.consecutiveFailures;
    if (peer.consecutiveFailures >= failuresToSuspect && peer.member.state == member_state::alive) {
        setState(peer, member_state::suspect, now);
    }
}

void member_table::tick(steady_time now)
{
    const std::lock_guard guard(m_lock);
    for (auto &[host, each] : m_records) {
        const bool expiring = each.member.state == member_state::suspect || each.member.state == member_state::leaving;
        if (host != m_self && expiring && now >= each.changedAt + m_options.deadAfter) {
            setState(each, member_state::dead, now);
        }
    }
    const auto erased = std::erase_if(
        m_records, [&](const auto &item) { return item.second.member.state == member_state::dead && now >= item.second.changedAt + m_options.deadRetention; });
    m_revision += erased;
}

void member_table::leave(steady_time now)
{
    const std::lock_guard guard(m_lock);
    auto &self = m_records[m_self];
    ++self.member.sequence;
    setState(self, member_state::leaving, now);
}

fleet_member member_table::self() const
{
    const std::lock_guard guard(m_lock);
    return m_records.at(m_self).member;
}

std::optional<fleet_member> member_table::find(const host_name &host) const
{
    const std::lock_guard guard(m_lock);
    const auto found = m_records.find(host);
    if (found == m_records.end()) {
        return std::nullopt;
    }
    return found->second.member;
}

member_list member_table::members() const
{
    const std::lock_guard guard(m_lock);
    if (m_listRevision != m_revision) {
        m_list.emplace(select(m_records, [](const record &) { return true; }));
        m_listRevision = m_revision;
    }
    return *m_list;
}

std::vector<fleet_member> member_table::recentChanges(steady_time now) const
{
    const std::lock_guard guard(m_lock);
    return select(m_records, [&](const record &each) { return now < each.changedAt + m_options.disseminationPeriod; });
}

std::vector<fleet_member> member_table::servingIn(const domain_name &domain) const
{
    const std::lock_guard guard(m_lock);
    return select(m_records, [&](const record &each) { return each.member.domain == domain && each.member.serves(); });
}

std::vector<fleet_member> member_table::servingIn(const region_name &region) const
{
    const std::lock_guard guard(m_lock);
    return select(m_records, [&](const record &each) { return each.member.region == region && each.member.serves(); });
}

std::vector<fleet_member> member_table::contactedWithin(milliseconds window, steady_time now) const
{
    const std::lock_guard guard(m_lock);
    return select(m_records, [&](const record &each) {
        const bool inContact = each.lastContactAt != steady_time {} && now < each.lastContactAt + window;
        return each.member.host == m_self || inContact;
    });
}

std::uint64_t member_table::tableDigest() const
{
    const std::lock_guard guard(m_lock);
    if (m_digestRevision == m_revision) {
        return m_digest;
    }
    std::uint64_t total = 0;
    for (const auto &[host, each] : m_records) {
        const std::uint64_t seed = (each.member.incarnation ^ (each.member.sequence << 1U)) + static_cast<std::uint64_t>(each.member.state);
        total ^= stableHash(host.view(), seed);
    }
    m_digest = total;
    m_digestRevision = m_revision;
    return total;
}

std::uint64_t member_table::revision() const
{
    const std::lock_guard guard(m_lock);
    return m_revision;
}

void member_table::setState(record &updated, member_state state, steady_time now)
{
    updated.member.state = state;
    updated.changedAt = now;
    ++m_revision;
}

void member_table::refute(const fleet_member &incoming, steady_time now)
{
    auto &self = m_records[m_self];
    const bool sameIncarnation = incoming.incarnation == self.member.incarnation;
    if (!sameIncarnation || incoming.state == self.member.state || rankOf(incoming) < rankOf(self.member)) {
        return;
    }
    self.member.sequence = incoming.sequence + 1;
    self.changedAt = now;
    ++m_revision;
}

} // namespace hornbeampick
