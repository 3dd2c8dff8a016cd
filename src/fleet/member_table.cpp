#include "fleet/member_table.h"

#include "core/digest.h"

#include <algorithm>
#include <tuple>

namespace hornbeampick
{

namespace
{

// Direct exchanges that must fail in a row before a member is suspected.
constexpr int missesToSuspect = 2;

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

bool member_table::merge(const fleet_member &heard, steady_time now)
{
    const std::lock_guard guard(m_lock);
    if (heard.host.empty() || heard.rpcAddress.empty()) {
        return false;
    }
    if (heard.host == m_self) {
        refute(heard, now);
        return false;
    }
    auto &known = m_records[heard.host];
    const bool isNew = known.member.host.empty() || rankOf(heard) > rankOf(known.member);
    if (isNew) {
        known.member = heard;
        known.changedAt = now;
        known.missed = 0;
        ++m_revision;
    }
    return isNew;
}

void member_table::onHeard(const host_name &host, steady_time now)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_records.find(host);
    if (found == m_records.end()) {
        return;
    }
    found->second.heardAt = now;
    found->second.missed = 0;
}

void member_table::onMissed(const host_name &host, steady_time now)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_records.find(host);
    if (found == m_records.end()) {
        return;
    }
    auto &missed = found->second;
    ++missed.missed;
    if (missed.missed >= missesToSuspect && missed.member.state == member_state::alive) {
        change(missed, member_state::suspect, now);
    }
}

void member_table::tick(steady_time now)
{
    const std::lock_guard guard(m_lock);
    for (auto &[host, each] : m_records) {
        const bool waning = each.member.state == member_state::suspect || each.member.state == member_state::leaving;
        if (host != m_self && waning && now >= each.changedAt + m_options.deadAfter) {
            change(each, member_state::dead, now);
        }
    }
    const auto erased = std::erase_if(
        m_records, [&](const auto &item) { return item.second.member.state == member_state::dead && now >= item.second.changedAt + m_options.forgetAfter; });
    m_revision += erased;
}

void member_table::leave(steady_time now)
{
    const std::lock_guard guard(m_lock);
    auto &self = m_records[m_self];
    ++self.member.sequence;
    change(self, member_state::leaving, now);
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

std::vector<fleet_member> member_table::fresh(steady_time now) const
{
    const std::lock_guard guard(m_lock);
    return select(m_records, [&](const record &each) { return now < each.changedAt + m_options.freshFor; });
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

std::vector<fleet_member> member_table::heardWithin(milliseconds window, steady_time now) const
{
    const std::lock_guard guard(m_lock);
    return select(m_records, [&](const record &each) {
        const bool heard = each.heardAt != steady_time {} && now < each.heardAt + window;
        return each.member.host == m_self || heard;
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

void member_table::change(record &changed, member_state state, steady_time now)
{
    changed.member.state = state;
    changed.changedAt = now;
    ++m_revision;
}

void member_table::refute(const fleet_member &heard, steady_time now)
{
    auto &self = m_records[m_self];
    const bool sameLife = heard.incarnation == self.member.incarnation;
    if (!sameLife || heard.state == self.member.state || rankOf(heard) < rankOf(self.member)) {
        return;
    }
    self.member.sequence = heard.sequence + 1;
    self.changedAt = now;
    ++m_revision;
}

} // namespace hornbeampick
