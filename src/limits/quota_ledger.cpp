#include "limits/quota_ledger.h"

#include <cmath>

namespace hornbeampick
{

namespace
{

// A new grantor grants nothing until the tokens of its predecessor have expired. Longer than `quota_options::heldTime`.
constexpr milliseconds predecessorTokenLifetime {450};
// Contact of a host that is older does not count; shorter than the time after which the host uses its floor (1 s).
constexpr milliseconds presenceTime {800};
constexpr milliseconds hostRefreshInterval {100};
// Hosts that have not drawn for this time are forgotten.
constexpr seconds hostRetention {60};
// Tokens that were granted earlier are not put back; the bucket has refilled since.
constexpr seconds peakRetention {2};
// Longest time since the last draw that is known to be answered for which returned tokens are put back. With the lifetime of tokens, it
// stays within `peakRetention`.
constexpr milliseconds returnRetention {1000};
constexpr std::size_t maxPeaks = 64;
// Length of a slot of requested tokens; with four slots, hosts that asked within the last 0.4 s have a part in a scarce bucket.
constexpr milliseconds demandSlotTime {100};
// The level does not fall below the debt of all hosts, times this factor because hosts may differ in the number of hosts they know.
constexpr double debtFactor = 2;

std::size_t hashOf(const organisation_name &name)
{
    return std::hash<organisation_name> {}(name);
}

std::size_t hashOf(const host_name &name)
{
    return std::hash<host_name> {}(name);
}

} // namespace

quota_ledger::quota_ledger(const quota_options &options)
    : m_options(options)
{
}

void quota_ledger::setRules(std::span<const quota_rule> rules)
{
    std::unordered_map<organisation_name, const quota_rule *> limited;
    for (const quota_rule &rule : rules) {
        if (rule.perSecond > 0) {
            limited.emplace(rule.organisation, &rule);
        }
    }
    m_buckets.forEach([&limited](bucket_map &buckets) { std::erase_if(buckets, [&limited](const auto &each) { return !limited.contains(each.first); }); });
    for (const auto &[name, rule] : limited) {
        m_buckets.with(hashOf(name), [this, &name = name, rule = rule](bucket_map &buckets) {
            bucket &changed = buckets[name];
            changed.rule = *rule;
            changed.level = std::min(changed.level, m_options.capacityOf(*rule));
        });
    }
}

void quota_ledger::lead(steady_time since)
{
    {
        const std::lock_guard guard(m_termLock);
        m_isLeading = true;
        ++m_term;
        m_fillFrom = since + predecessorTokenLifetime;
        m_presenceAt = m_fillFrom;
        m_withheldFraction = 0;
        m_withheldSeconds = 0;
    }
    // What hosts reported to a predecessor, or to this host in an earlier term, is not known to this term.
    m_hosts.forEach([](host_map &hosts) { hosts.clear(); });
    m_unconfirmedHosts = 0;
}

void quota_ledger::stopLeading()
{
    const std::lock_guard guard(m_termLock);
    m_isLeading = false;
}

quota_ledger::term_state quota_ledger::advance(const fleet_presence &fleet, steady_time now)
{
    const double hosts = std::max(1U, fleet.hosts);
    const double absent = std::min(hosts, static_cast<double>(fleet.absent) + m_unconfirmedHosts.load());
    const double fraction = quotaFloorShare * absent / hosts;
    const std::lock_guard guard(m_termLock);
    if (now > m_presenceAt) {
        // Without any draw for a long time, all hosts may have used their floors.
        const double elapsedFraction = now - m_presenceAt > presenceTime ? quotaFloorShare : std::max(fraction, m_withheldFraction);
        m_withheldSeconds += elapsedFraction * quota_options::secondsOf(now - m_presenceAt);
        m_presenceAt = now;
        m_withheldFraction = fraction;
    }
    return {.isLeading = m_isLeading,
            .term = m_term,
            .fillFrom = m_fillFrom,
            .withheldFraction = std::max(fraction, m_withheldFraction),
            .withheldSeconds = m_withheldSeconds};
}

void quota_ledger::refreshHosts(steady_time now)
{
    const std::int64_t time = now.time_since_epoch().count();
    std::int64_t last = m_hostsRefreshedAt.load();
    if (time >= last && time - last < std::chrono::nanoseconds(hostRefreshInterval).count()) {
        return;
    }
    if (!m_hostsRefreshedAt.compare_exchange_strong(last, time)) {
        return;
    }
    std::uint32_t unconfirmed = 0;
    m_hosts.forEach([&unconfirmed, now](host_map &hosts) {
        std::erase_if(hosts, [now](const auto &each) { return now - each.second.seenAt > hostRetention; });
        for (const auto &[name, record] : hosts) {
            // Hosts that have not drawn recently are counted by the caller, by their contact.
            if (now - record.seenAt < presenceTime && now - record.unconfirmedSince >= presenceTime) {
                ++unconfirmed;
            }
        }
    });
    m_unconfirmedHosts = unconfirmed;
}

void quota_ledger::recordPeak(bucket &peaked, steady_time now)
{
    while (!peaked.peaks.empty() && peaked.peaks.back().level <= peaked.level) {
        peaked.peaks.pop_back();
    }
    peaked.peaks.push_back({.sequence = ++peaked.sequence, .at = now, .level = peaked.level});
    if (peaked.peaks.size() > maxPeaks) {
        // The second oldest peak stands for both.
        const double level = peaked.peaks.front().level;
        peaked.peaks.erase(peaked.peaks.begin());
        peaked.peaks.front().level = std::max(peaked.peaks.front().level, level);
    }
    while (now - peaked.peaks.front().at > peakRetention) {
        peaked.forgottenSequence = peaked.peaks.front().sequence;
        peaked.peaks.erase(peaked.peaks.begin());
    }
}

double quota_ledger::capacityOf(const bucket &measured, const term_state &term) const
{
    return std::max(1.0, m_options.capacityOf(measured.rule) * (1 - term.withheldFraction));
}

bool quota_ledger::refill(bucket &filled, const term_state &term, steady_time now) const
{
    if (filled.term > term.term) {
        return false;
    }
    if (filled.term < term.term) {
        filled.term = term.term;
        filled.level = 0;
        filled.filledAt = term.fillFrom;
        filled.withheldSeconds = 0;
        filled.peaks.clear();
        filled.forgottenSequence = filled.sequence;
        filled.wanted = {};
    }
    if (now > filled.filledAt) {
        const double time = quota_options::secondsOf(now - filled.filledAt) - (term.withheldSeconds - filled.withheldSeconds);
        filled.level += filled.rule.perSecond * std::max(0.0, time);
        filled.filledAt = now;
        filled.withheldSeconds = std::max(filled.withheldSeconds, term.withheldSeconds);
    }
    filled.level = std::min(filled.level, capacityOf(filled, term));
    recordPeak(filled, now);
    return true;
}

void quota_ledger::putBack(bucket &target, double tokens, std::uint64_t sinceSequence, const term_state &term) const
{
    if (tokens <= 0 || sinceSequence < target.forgottenSequence) {
        return;
    }
    double peak = target.level;
    for (const level_peak &each : target.peaks) {
        if (each.sequence > sinceSequence) {
            peak = std::max(peak, each.level);
        }
    }
    const double restored = std::min(tokens, capacityOf(target, term) - peak);
    if (restored <= 0) {
        return;
    }
    for (level_peak &each : target.peaks) {
        if (each.sequence > sinceSequence) {
            each.level += restored;
        }
    }
    target.level += restored;
}

double quota_ledger::shareOf(bucket &drawn, std::uint32_t wanted, open_claim &open, steady_time now)
{
    const std::int64_t slot = now.time_since_epoch() / demandSlotTime;
    if (slot - drawn.wantedSlot >= static_cast<std::int64_t>(demandSlots) || slot < drawn.wantedSlot) {
        drawn.wanted = {};
        drawn.wantedSlot = slot;
    }
    while (drawn.wantedSlot < slot) {
        ++drawn.wantedSlot;
        drawn.wanted[static_cast<std::size_t>(drawn.wantedSlot) % demandSlots] = 0;
    }
    if (slot - open.wantedSlot < static_cast<std::int64_t>(demandSlots)) {
        std::uint64_t &earlier = drawn.wanted[static_cast<std::size_t>(open.wantedSlot) % demandSlots];
        earlier -= std::min<std::uint64_t>(earlier, open.wanted);
    }
    drawn.wanted[static_cast<std::size_t>(slot) % demandSlots] += wanted;
    open.wanted = wanted;
    open.wantedSlot = slot;
    double total = 0;
    for (const std::uint64_t each : drawn.wanted) {
        total += static_cast<double>(each);
    }
    if (drawn.level >= total) {
        return drawn.level;
    }
    // What exceeds the burst is not kept for later draws, because the bucket might overflow before them.
    return std::max(std::ceil(drawn.level * wanted / total), drawn.level - drawn.rule.burst);
}

quota_grant quota_ledger::settleClaim(bucket &drawn, const quota_claim &claim, open_claim &open, const draw_state &state, const term_state &term,
                                      steady_time now) const
{
    if (claim.returned > open.returned && state.isReturnRecent) {
        putBack(drawn, claim.returned - open.returned, drawn.forgottenSequence, term);
    }
    if (claim.spent > open.spent) {
        drawn.level = std::max(drawn.level - (claim.spent - open.spent), -debtFactor * m_options.totalDebt(drawn.rule));
    }
    open.spent = std::max(open.spent, claim.spent);
    open.returned = std::max(open.returned, claim.returned);
    const double share = shareOf(drawn, state.isUnconfirmed ? 0 : claim.wanted, open, now);
    if (drawn.level >= 1 && !state.isUnconfirmed) {
        open.granted = std::min(claim.wanted, static_cast<std::uint32_t>(std::min(drawn.level, share)));
        drawn.level -= open.granted;
    }
    open.sequence = drawn.sequence;
    open.isDrawn = true;

    const std::int64_t second = std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    if (second != drawn.second) {
        drawn.grantedPerSecond = second == drawn.second + 1 ? static_cast<double>(drawn.grantedInSecond) : 0;
        drawn.grantedInSecond = 0;
        drawn.second = second;
    }
    drawn.grantedInSecond += open.granted;
    drawn.refused += claim.wanted - open.granted;

    quota_grant grant {.organisation = claim.organisation, .tokens = open.granted};
    if (drawn.level < 1) {
        const double wait = (1 - drawn.level) / (drawn.rule.perSecond * (1 - term.withheldFraction));
        const auto fillDelay = std::chrono::ceil<milliseconds>(std::max(std::chrono::nanoseconds(0), drawn.filledAt - now));
        // An hour bounds the conversion for very low rates.
        grant.retryAfter = fillDelay + milliseconds(static_cast<std::int64_t>(std::ceil(std::min(wait, 3600.0) * 1000)));
    }
    return grant;
}

void quota_ledger::takeBack(const open_claims &open, const term_state &term, steady_time now)
{
    for (const auto &[name, claim] : open) {
        if (claim.granted == 0) {
            continue;
        }
        m_buckets.with(hashOf(name), [&, &name = name, &claim = claim](bucket_map &buckets) {
            const auto found = buckets.find(name);
            if (found != buckets.end() && refill(found->second, term, now)) {
                putBack(found->second, claim.granted, claim.sequence, term);
            }
        });
    }
}

quota_answer quota_ledger::settle(const quota_draw &draw, const fleet_presence &fleet, steady_time now)
{
    quota_answer answer {.number = draw.number};
    refreshHosts(now);
    const term_state term = advance(fleet, now);
    if (!term.isLeading) {
        return answer;
    }

    open_claims open;
    draw_state state;
    const bool isAccepted = m_hosts.with(hashOf(draw.host), [&](host_map &hosts) {
        host_record &record = hosts[draw.host];
        if (draw.incarnation == record.incarnation && draw.number <= record.number) {
            return false;
        }
        const bool isKnown = draw.incarnation == record.incarnation && record.number != 0;
        if (!isKnown) {
            record = {.incarnation = draw.incarnation, .unconfirmedSince = now};
        } else if (draw.lastAnswered >= record.number) {
            for (auto &[name, claim] : record.open) {
                claim = {.wanted = claim.wanted, .wantedSlot = claim.wantedSlot};
            }
            record.unconfirmedSince = now;
            record.confirmedDrawAt = record.seenAt;
        } else if (now - record.seenAt >= presenceTime) {
            // The host had nothing to draw in the meantime.
            record.unconfirmedSince = now;
        }
        state = {.isReturnRecent = now - record.confirmedDrawAt <= returnRetention, .isUnconfirmed = now - record.unconfirmedSince >= presenceTime};
        record.number = draw.number;
        record.seenAt = now;
        open = std::move(record.open);
        record.open.clear();
        return true;
    });
    if (!isAccepted) {
        return answer;
    }

    takeBack(open, term, now);
    for (auto &[name, claim] : open) {
        claim.granted = 0;
        claim.isDrawn = false;
    }
    answer.isGranting = true;
    for (const quota_claim &claim : draw.claims) {
        m_buckets.with(hashOf(claim.organisation), [&](bucket_map &buckets) {
            const auto found = buckets.find(claim.organisation);
            if (found != buckets.end() && refill(found->second, term, now)) {
                answer.grants.push_back(settleClaim(found->second, claim, open[claim.organisation], state, term, now));
            }
        });
    }

    // Reports are kept until an answer is received, the demand only for the next draw.
    std::erase_if(open, [](const auto &each) { return !each.second.isDrawn && each.second.spent == 0 && each.second.returned == 0; });
    const bool isLatest = m_hosts.with(hashOf(draw.host), [&](host_map &hosts) {
        const auto found = hosts.find(draw.host);
        if (found == hosts.end() || found->second.incarnation != draw.incarnation || found->second.number != draw.number) {
            return false;
        }
        found->second.open = std::move(open);
        return true;
    });
    if (!isLatest) {
        // A later draw of the host, or a new term, arrived meanwhile. The host ignores this answer.
        takeBack(open, term, now);
        return {.number = draw.number};
    }
    return answer;
}

std::vector<quota_statistics> quota_ledger::statistics() const
{
    std::vector<quota_statistics> all;
    m_buckets.forEach([&all](const bucket_map &buckets) {
        for (const auto &[name, each] : buckets) {
            all.push_back({.organisation = name,
                           .perSecond = each.rule.perSecond,
                           .level = each.level,
                           .grantedPerSecond = each.grantedPerSecond,
                           .refused = each.refused});
        }
    });
    std::ranges::sort(all, {}, &quota_statistics::organisation);
    return all;
}

std::size_t quota_ledger::knownHosts() const
{
    std::size_t count = 0;
    m_hosts.forEach([&count](const host_map &hosts) { count += hosts.size(); });
    return count;
}

} // namespace hornbeampick
