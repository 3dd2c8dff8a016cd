#include "limits/quota_account.h"

#include "core/digest.h"

#include <cmath>
#include <limits>

namespace hornbeampick
{

namespace
{

constexpr std::int64_t never = std::numeric_limits<std::int64_t>::max();
// Time constant of the smoothed demand.
constexpr double smoothingSeconds = 0.5;
// Demand for the prefetch time is rounded up from this fraction. A single request raises it to 0.6, and tokens that expire unspent are a
// large part of a small quota.
constexpr double roundUpFrom = 0.75;
// Requests since the last draw from which their rate counts unsmoothed, and the shortest time over which it is taken.
constexpr std::uint32_t leastArrivals = 4;
constexpr double leastArrivalSeconds = 0.1;
// Pending requests are forgotten after this time, in slots of 50 ms. A request that arrives just after a draw was sent waits for two round trips.
constexpr milliseconds waitingSlotTime {50};
constexpr milliseconds pendingTime {600};
// Tokens for less than this time count as nearly none.
constexpr double lowSeconds = 0.1;
// Shortest time between urgent draws. Hosts with very many small organisations would otherwise draw for nearly each request.
constexpr milliseconds urgentDrawInterval {40};
// Time between draws while the bucket is scarce. The bucket accumulates the refill of 100 ms without overflowing; the variation changes
// the order in which the hosts draw.
constexpr milliseconds scarceDrawInterval {60};
constexpr std::uint64_t scarceDrawVariation = 30;
// Time after which an answer of an empty bucket says nothing about the bucket any longer.
constexpr milliseconds scarceMemory {500};
// A draw is considered lost after this time; superseding it earlier would discard its tokens.
constexpr milliseconds answerTime {500};
constexpr seconds hostCountRetention {30};
// Retry-After when nothing is known about the bucket, and its upper bound.
constexpr milliseconds unknownRetryAfter {1000};
constexpr milliseconds maxRetryAfter {60000};
// Demand below this rate counts as none.
constexpr double leastRate = 0.01;
constexpr unsigned placeBits = 32;

std::size_t hashOf(const organisation_name &name)
{
    return std::hash<organisation_name> {}(name);
}

// Multiplicative hash with 16 bits.
std::uint64_t hashOf(std::int64_t ticks)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    return static_cast<std::uint64_t>(ticks) * multiplier >> 48U;
}

std::int64_t ticksOf(steady_time time)
{
    return time.time_since_epoch().count();
}

steady_time timeOf(std::int64_t ticks)
{
    return steady_time(steady_time::duration(ticks));
}

// Number of units, out of `units` for all hosts, of one host. The hosts with the additional units differ by organisation.
std::uint32_t unitsOf(double units, std::uint32_t hosts, std::uint32_t place, const organisation_name &organisation)
{
    const auto whole = static_cast<std::uint64_t>(units);
    const std::uint64_t rank = (place + stableHash(organisation.view()) % hosts) % hosts;
    return static_cast<std::uint32_t>(whole / hosts + (rank < whole % hosts ? 1 : 0));
}

milliseconds milliseconsOf(double time)
{
    return milliseconds(static_cast<std::int64_t>(std::ceil(std::min(time * 1000, static_cast<double>(maxRetryAfter.count())))));
}

// Adds up to one half, so that the callers do not return at the same time.
milliseconds withJitter(milliseconds time, steady_time now)
{
    return std::min(maxRetryAfter, time + milliseconds(static_cast<std::int64_t>(hashOf(ticksOf(now))) % (time.count() / 2 + 1)));
}

} // namespace

quota_account::quota_account(const account_options &options)
    : m_options(options)
    , m_place(std::uint64_t {1} << placeBits)
    , m_unansweredSince(never)
    , m_lastDrawAt(0)
    , m_debtFrom(never)
    , m_urgentFrom(never)
{
    m_options.tokenLifetime = std::min(m_options.tokenLifetime, m_options.quota.heldTime());
    m_options.prefetch = std::min(m_options.prefetch, m_options.tokenLifetime);
}

void quota_account::setRules(std::span<const quota_rule> rules)
{
    std::unordered_map<organisation_name, const quota_rule *> limited;
    for (const quota_rule &rule : rules) {
        if (rule.perSecond > 0) {
            limited.emplace(rule.organisation, &rule);
        }
    }
    m_shards.forEach([&limited](shard_state &state) {
        const auto isGone = [&limited](const organisation_name &name) { return !limited.contains(name); };
        std::erase_if(state.holdings, [&isGone](const auto &each) { return isGone(each.first); });
        std::erase_if(state.active, isGone);
    });
    for (const auto &[name, rule] : limited) {
        m_shards.with(hashOf(name), [this, &name = name, rule = rule](shard_state &state) {
            holding &changed = state.holdings[name];
            changed.rule = *rule;
            changed.totalDebt = m_options.quota.totalDebt(*rule);
            changed.capacity = m_options.quota.capacityOf(*rule);
        });
    }
    m_hasRules = !limited.empty();
}

void quota_account::setHosts(std::uint32_t hosts, std::uint32_t place, steady_time now)
{
    const std::lock_guard guard(m_drawLock);
    hosts = std::max({hosts, place + 1, 1U});
    // The counts are kept in the order of time, each larger than all later ones.
    while (!m_hostCounts.empty() && m_hostCounts.back().hosts <= hosts) {
        m_hostCounts.pop_back();
    }
    m_hostCounts.push_back({.heardAt = now, .hosts = hosts});
    while (now - m_hostCounts.front().heardAt > hostCountRetention) {
        m_hostCounts.pop_front();
    }
    m_place = std::uint64_t {m_hostCounts.front().hosts} << placeBits | place;
}

quota_account::fleet_place quota_account::currentPlace() const
{
    const std::uint64_t packed = m_place.load(std::memory_order_relaxed);
    return {.hosts = static_cast<std::uint32_t>(packed >> placeBits), .place = static_cast<std::uint32_t>(packed)};
}

std::optional<steady_time> quota_account::floorSince(steady_time now) const
{
    const std::int64_t unanswered = m_unansweredSince.load();
    // Without recent draws the host does not know whether it would be answered: it was idle, or suspended.
    if (unanswered == never || now - timeOf(m_lastDrawAt.load()) >= m_options.floorAfter) {
        return std::nullopt;
    }
    const steady_time since = timeOf(unanswered) + m_options.floorAfter;
    return now >= since ? std::optional(since) : std::nullopt;
}

bool quota_account::isOnFloor(steady_time now) const
{
    return floorSince(now).has_value();
}

void quota_account::activate(shard_state &state, holding &used)
{
    if (!used.isActive) {
        used.isActive = true;
        state.active.push_back(used.rule.organisation);
    }
}

void quota_account::expireTokens(holding &held, steady_time now)
{
    while (!held.batches.empty() && (held.batches.front().tokens == 0 || held.batches.front().expiresAt <= now)) {
        held.tokens -= held.batches.front().tokens;
        held.returned += held.batches.front().tokens;
        held.batches.erase(held.batches.begin());
    }
}

void quota_account::countArrival(holding &held, steady_time now)
{
    if (now > held.rateAt) {
        held.rate *= std::exp(-quota_options::secondsOf(now - held.rateAt) / smoothingSeconds);
        held.rateAt = now;
    }
    held.rate += 1 / smoothingSeconds;
    if (held.arrivals++ == 0) {
        held.arrivalsSince = now;
    }
}

void quota_account::advanceWaiting(holding &held, steady_time now)
{
    const std::int64_t slot = now.time_since_epoch() / waitingSlotTime;
    if (slot - held.waitingSlot >= static_cast<std::int64_t>(waitingSlots)) {
        held.waiting = {};
        held.waitingSlot = slot;
    }
    while (held.waitingSlot < slot) {
        ++held.waitingSlot;
        held.waiting[static_cast<std::size_t>(held.waitingSlot) % waitingSlots] = 0;
    }
}

void quota_account::stopWaiting(holding &held)
{
    for (std::size_t age = waitingSlots; age-- > 0;) {
        auto &count = held.waiting[(static_cast<std::size_t>(held.waitingSlot) + waitingSlots - age) % waitingSlots];
        if (count > 0) {
            --count;
            return;
        }
    }
}

std::uint32_t quota_account::waitingCount(const holding &held)
{
    std::uint32_t count = 0;
    for (const std::uint32_t each : held.waiting) {
        count += each;
    }
    return count;
}

double quota_account::demandOf(const holding &held, steady_time now)
{
    const double smoothed = held.rate * std::exp(-std::max(0.0, quota_options::secondsOf(now - held.rateAt)) / smoothingSeconds);
    if (held.arrivals < leastArrivals) {
        return smoothed;
    }
    const double elapsed = std::max(leastArrivalSeconds, quota_options::secondsOf(now - held.arrivalsSince));
    return std::max(smoothed, (held.arrivals - 1) / elapsed);
}

void quota_account::requestDrawFrom(steady_time time)
{
    std::int64_t current = m_urgentFrom.load(std::memory_order_relaxed);
    while (ticksOf(time) < current && !m_urgentFrom.compare_exchange_weak(current, ticksOf(time))) { }
}

bool quota_account::takeFromFloor(holding &held, steady_time since, steady_time now) const
{
    const fleet_place own = currentPlace();
    const double share = held.capacity * quotaFloorShare / own.hosts;
    // Where the shares are smaller than a request, whole requests go to some of the hosts.
    const double capacity = share >= 1 ? share : unitsOf(held.capacity * quotaFloorShare, own.hosts, own.place, held.rule.organisation);
    if (held.floorSince != since) {
        held.floorSince = since;
        held.floorAt = since;
        held.floorLevel = 0;
    }
    if (now > held.floorAt) {
        held.floorLevel += held.rule.perSecond * quotaFloorShare / own.hosts * quota_options::secondsOf(now - held.floorAt);
        held.floorAt = now;
    }
    held.floorLevel = std::min(held.floorLevel, capacity);
    if (held.floorLevel < 1) {
        return false;
    }
    held.floorLevel -= 1;
    return true;
}

quota_decision quota_account::decideWithoutToken(holding &held, steady_time now, bool isRepeat)
{
    const fleet_place own = currentPlace();
    const std::int64_t lastDrawAt = m_lastDrawAt.load();
    const steady_time nextScarceDraw = timeOf(lastDrawAt) + scarceDrawInterval + milliseconds(hashOf(lastDrawAt) % scarceDrawVariation);
    held.hasUnmetDemand = true;
    if (const auto since = floorSince(now)) {
        if (takeFromFloor(held, *since, now)) {
            return {.verdict = quota_verdict::admitted};
        }
        const double rate = held.rule.perSecond * quotaFloorShare / own.hosts;
        return {.verdict = quota_verdict::refused, .retryAfter = withJitter(std::max(unknownRetryAfter, milliseconsOf((1 - held.floorLevel) / rate)), now)};
    }
    if (held.mayOwe && ticksOf(now) >= m_debtFrom.load(std::memory_order_relaxed)
        && held.spent < unitsOf(held.totalDebt, own.hosts, own.place, held.rule.organisation)) {
        ++held.spent;
        requestDrawFrom(now);
        return {.verdict = quota_verdict::admitted};
    }

    const std::uint32_t waiting = waitingCount(held);
    const bool isScarce = held.isScarce && now - held.scarceUntil < scarceMemory;
    const bool isLate = isScarce && held.scarceUntil - now > pendingTime;
    const bool isCrowded = isScarce && waiting - (isRepeat && waiting > 0 ? 1 : 0) >= std::max(1U, held.lastGranted);
    if (isLate || isCrowded) {
        if (isRepeat) {
            stopWaiting(held);
        }
        requestDrawFrom(std::max(held.scarceUntil, nextScarceDraw));
        const auto untilToken = std::chrono::ceil<milliseconds>(std::max(std::chrono::nanoseconds(0), held.scarceUntil - now));
        return {.verdict = quota_verdict::refused, .retryAfter = withJitter(std::max(untilToken, milliseconsOf((waiting + 1) / held.rule.perSecond)), now)};
    }
    if (!isRepeat) {
        ++held.waiting[static_cast<std::size_t>(held.waitingSlot) % waitingSlots];
    }
    requestDrawFrom(isScarce ? std::max(held.scarceUntil, nextScarceDraw) : now);
    return {.verdict = quota_verdict::pending};
}

quota_decision quota_account::take(const organisation_name &organisation, steady_time now, bool isRepeat)
{
    if (!m_hasRules.load(std::memory_order_relaxed)) {
        return {};
    }
    return m_shards.with(hashOf(organisation), [&](shard_state &state) -> quota_decision {
        const auto found = state.holdings.find(organisation);
        if (found == state.holdings.end()) {
            return {};
        }
        holding &held = found->second;
        activate(state, held);
        expireTokens(held, now);
        advanceWaiting(held, now);
        if (!isRepeat) {
            countArrival(held, now);
        }
        quota_decision decision;
        if (held.tokens > 0) {
            --held.tokens;
            --held.batches.front().tokens;
            if (!held.isScarce && held.tokens < held.rate * lowSeconds) {
                requestDrawFrom(now);
            }
        } else {
            decision = decideWithoutToken(held, now, isRepeat);
        }
        if (isRepeat && decision.verdict == quota_verdict::admitted) {
            stopWaiting(held);
        }
        return decision;
    });
}

void quota_account::refund(const organisation_name &organisation, steady_time now)
{
    if (!m_hasRules.load(std::memory_order_relaxed)) {
        return;
    }
    m_shards.with(hashOf(organisation), [&](shard_state &state) {
        const auto found = state.holdings.find(organisation);
        if (found == state.holdings.end()) {
            return;
        }
        holding &held = found->second;
        if (floorSince(now)) {
            held.floorLevel += 1;
        } else if (held.spent > held.reportedSpent) {
            --held.spent;
        } else {
            // The lifetime of the token is unknown, so that only the grantor may hand it out again.
            ++held.returned;
            activate(state, held);
        }
    });
}

bool quota_account::fillClaim(holding &held, quota_claim &claim, steady_time now) const
{
    expireTokens(held, now);
    advanceWaiting(held, now);
    const double demand = demandOf(held, now);
    double wanted = demand * quota_options::secondsOf(m_options.prefetch);
    wanted = std::floor(wanted + 1 - roundUpFrom);
    if (held.hasUnmetDemand && floorSince(now)) {
        wanted = std::max(wanted, 1.0);
    }
    wanted += waitingCount(held);
    held.wanted = wanted > held.tokens ? static_cast<std::uint32_t>(wanted) - held.tokens : 0;
    held.arrivals = 0;
    held.hasUnmetDemand = false;
    held.reportedSpent = held.spent;
    held.reportedReturned = held.returned;
    claim = {.organisation = held.rule.organisation, .spent = held.spent, .returned = held.returned, .wanted = held.wanted};
    if (held.spent == 0 && held.returned == 0 && held.wanted == 0) {
        // Idle organisations leave the list of active ones.
        held.isActive = held.tokens > 0 || demand > leastRate;
        return false;
    }
    return true;
}

std::optional<quota_draw> quota_account::makeDraw(const host_name &host, std::uint64_t incarnation, steady_time now)
{
    if (!m_hasRules.load(std::memory_order_relaxed)) {
        return std::nullopt;
    }
    const std::lock_guard guard(m_drawLock);
    m_urgentFrom = never;
    quota_draw draw {.host = host, .incarnation = incarnation, .lastAnswered = m_lastAnswered};
    m_shards.forEach([&](shard_state &state) {
        std::erase_if(state.active, [&](const organisation_name &name) {
            holding &held = state.holdings.at(name);
            quota_claim claim;
            if (fillClaim(held, claim, now)) {
                draw.claims.push_back(std::move(claim));
            }
            return !held.isActive;
        });
    });
    if (draw.claims.empty()) {
        return std::nullopt;
    }
    draw.number = ++m_lastNumber;
    m_lastClaims.clear();
    for (const quota_claim &claim : draw.claims) {
        m_lastClaims.push_back(claim.organisation);
    }
    if (m_unansweredSince.load() == never || now - timeOf(m_lastDrawAt.load()) >= m_options.floorAfter) {
        m_unansweredSince = ticksOf(now);
    }
    m_lastDrawAt = ticksOf(now);
    m_isDrawOpen = true;
    return draw;
}

void quota_account::apply(const quota_answer &answer, steady_time drawnAt, steady_time now)
{
    const std::lock_guard guard(m_drawLock);
    if (answer.number != m_lastNumber || answer.number == m_lastAnswered) {
        return;
    }
    m_isDrawOpen = false;
    if (!answer.isGranting) {
        return;
    }
    m_lastAnswered = answer.number;
    m_unansweredSince = never;
    if (m_debtFrom.load() == never) {
        // A host that is restarted again and again would add its debt to the same window each time.
        m_debtFrom = ticksOf(now + m_options.quota.window);
    }
    for (const organisation_name &name : m_lastClaims) {
        m_shards.with(hashOf(name), [&name](shard_state &state) {
            const auto found = state.holdings.find(name);
            if (found != state.holdings.end()) {
                holding &held = found->second;
                held.spent -= held.reportedSpent;
                held.returned -= held.reportedReturned;
                held.reportedSpent = 0;
                held.reportedReturned = 0;
            }
        });
    }
    for (const quota_grant &grant : answer.grants) {
        m_shards.with(hashOf(grant.organisation), [&](shard_state &state) {
            const auto found = state.holdings.find(grant.organisation);
            if (found == state.holdings.end()) {
                return;
            }
            holding &held = found->second;
            held.lastGranted = grant.tokens;
            held.isScarce = grant.tokens < held.wanted || grant.retryAfter.count() > 0;
            held.mayOwe = !held.isScarce;
            held.scarceUntil = now + grant.retryAfter;
            if (grant.tokens > 0) {
                // Tokens that arrive after their expiry are returned.
                held.batches.push_back({.expiresAt = drawnAt + m_options.tokenLifetime, .tokens = grant.tokens});
                held.tokens += grant.tokens;
                activate(state, held);
            }
        });
    }
}

bool quota_account::isUrgent(steady_time now) const
{
    if (ticksOf(now) < m_urgentFrom.load(std::memory_order_relaxed)) {
        return false;
    }
    const auto sinceDraw = now - timeOf(m_lastDrawAt.load());
    return sinceDraw >= (m_isDrawOpen.load() ? answerTime : urgentDrawInterval);
}

} // namespace hornbeampick
