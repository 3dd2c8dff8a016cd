#include "steering/service_pool.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace hornbeampick
{

namespace
{

// Weight of a new sample in the exponentially weighted average of the response time.
constexpr double smoothingFactor = 0.1;
// An upstream counts as slow when its response time is more than this many times that of the whole service.
constexpr double slowFactor = 3;
// An upstream is not called slow on fewer responses.
constexpr std::uint32_t minResponsesToJudge = 5;
// Queue limit per usable slot while no response time is known.
constexpr std::size_t maxWaitersPerSlot = 2;
// A gone upstream is kept as a tombstone for this long, so that older reports do not make it reappear.
constexpr milliseconds tombstoneLifetime {60000};

double smooth(double previous, double sample)
{
    return previous == 0 ? sample : previous + smoothingFactor * (sample - previous);
}

} // namespace

service_pool::service_pool(service_name service, const pool_options &options)
    : m_service(std::move(service))
    , m_options(options)
{
}

pool_events service_pool::announce(const upstream_report &report, bool renews, steady_time now)
{
    auto &known = m_upstreams[report.instance];
    const bool isNew = known.report.instance.empty();
    const bool restarted = !isNew && report.incarnation > known.report.incarnation;
    const bool newer = isNew || supersedes(report, known.report);
    const bool stale = !isNew && report.incarnation < known.report.incarnation;
    if (stale || (!renews && !newer)) {
        return {};
    }
    if (renews || isNew || restarted) {
        known.lastReportAt = now;
    }
    const bool acceptedRequests = known.lifecycle.acceptsRequests();
    if (newer) {
        known.report = report;
        // The count only falls; otherwise a late report could withhold slots for ever.
        const std::uint32_t otherHostsInFlight = report.inFlight > known.inFlight ? report.inFlight - known.inFlight : 0;
        known.inheritedInFlight = std::min(known.inheritedInFlight, otherHostsInFlight);
    }
    if (restarted) {
        known.inFlight = 0;
        known.inheritedInFlight = 0;
        known.responseTimeUs = 0;
        known.responseCount = 0;
    }
    known.lifecycle.onAnnounced(known.report.state);
    if (known.lifecycle.acceptsRequests() && (!acceptedRequests || restarted)) {
        known.activeSince = now;
    }
    pool_events events;
    serveWaiters(events, now);
    return events;
}

pool_events service_pool::setOwned(const instance_name &instance, bool owned, bool immediate, steady_time now)
{
    pool_events events;
    const auto found = m_upstreams.find(instance);
    if (found == m_upstreams.end() || found->second.owned == owned) {
        return events;
    }
    auto &foundUpstream = found->second;
    foundUpstream.owned = owned;
    foundUpstream.usableFrom = immediate ? now : now + m_options.handover;
    // Requests granted by the previous owner may still be executing.
    foundUpstream.inheritedInFlight = immediate ? 0 : foundUpstream.report.inFlight;
    serveWaiters(events, now);
    return events;
}

void service_pool::setDrained(const instance_name &instance, bool drained)
{
    const auto found = m_upstreams.find(instance);
    if (found != m_upstreams.end()) {
        found->second.drained = drained;
    }
}

admission service_pool::admit(const admit_request &request, steady_time now, random_source &random)
{
    if (now >= request.deadline) {
        return slot_refused {.number = request.number, .error = errc::deadlineExceeded, .retryAfter = {}};
    }
    // Queued requests go first.
    if (m_waiting == 0) {
        if (auto *chosen = choose(request.avoid, now, random.next())) {
            return grant(*chosen, request.number, now);
        }
    }
    return enqueue(request, now);
}

pool_events service_pool::finish(const slot_grant &grant, slot_outcome end, steady_time now)
{
    pool_events events;
    const auto found = m_upstreams.find(grant.instance);
    if (found == m_upstreams.end() || found->second.report.incarnation != grant.incarnation) {
        return events;
    }
    auto &released = found->second;
    assert(released.inFlight > 0);
    --released.inFlight;
    switch (end) {
    case slot_outcome::answered:
        recordResponse(released, std::chrono::duration_cast<microseconds>(now - grant.grantedAt), now);
        break;
    case slot_outcome::refused:
    case slot_outcome::broke:
        released.lifecycle.onConnectionFailed();
        break;
    case slot_outcome::shed:
    case slot_outcome::abandoned:
        break;
    }
    serveWaiters(events, now);
    validate();
    return events;
}

bool service_pool::cancel(request_number number)
{
    for (auto it = m_waiters.begin(); it != m_waiters.end(); ++it) {
        const auto erased = std::erase_if(it->second, [number](const waiter &each) { return each.request.number == number; });
        if (erased == 0) {
            continue;
        }
        --m_waiting;
        if (it->second.empty()) {
            m_waiters.erase(it);
        }
        return true;
    }
    return false;
}

pool_events service_pool::tick(steady_time now)
{
    pool_events events;
    markSilent(now);
    std::erase_if(m_upstreams, [&](const auto &item) {
        const auto &each = item.second;
        return each.lifecycle.phase() == lifecycle_phase::gone && each.inFlight == 0 && now >= each.lastReportAt + tombstoneLifetime;
    });
    expireWaiters(events, now);
    serveWaiters(events, now);
    validate();
    return events;
}

std::vector<milliseconds> service_pool::takeDrainDurations(steady_time now)
{
    std::vector<milliseconds> drains;
    for (auto &[instance, each] : m_upstreams) {
        const bool isDraining = each.owned && (each.drained || each.lifecycle.phase() == lifecycle_phase::draining);
        if (isDraining && !each.isDraining) {
            each.drainStartedAt = now;
        }
        each.isDraining = isDraining;
        if (!isDraining) {
            each.drainStartedAt.reset();
        } else if (each.drainStartedAt && each.inFlight == 0) {
            drains.push_back(std::chrono::duration_cast<milliseconds>(now - *each.drainStartedAt));
            each.drainStartedAt.reset();
        }
    }
    return drains;
}

pool_load service_pool::load(steady_time now) const
{
    pool_load load;
    load.queued = static_cast<std::uint32_t>(m_waiting);
    for (const auto &[instance, each] : m_upstreams) {
        load.slots += usableSlots(each, now);
        if (each.owned) {
            load.inFlight += each.inFlight + each.inheritedInFlight;
        }
    }
    return load;
}

std::vector<upstream_report> service_pool::reports() const
{
    std::vector<upstream_report> reports;
    reports.reserve(m_upstreams.size());
    for (const auto &[instance, each] : m_upstreams) {
        reports.push_back(each.report);
    }
    return reports;
}

lifecycle_phase service_pool::phaseOf(const instance_name &instance) const
{
    const auto found = m_upstreams.find(instance);
    return found == m_upstreams.end() ? lifecycle_phase::unknown : found->second.lifecycle.phase();
}

void service_pool::validate() const
{
#ifndef NDEBUG
    std::size_t waiting = 0;
    for (const auto &[caller, queue] : m_waiters) {
        assert(!queue.empty());
        waiting += queue.size();
    }
    assert(waiting == m_waiting);
#endif
}

std::uint32_t service_pool::usableSlots(const upstream &candidate, steady_time now) const
{
    if (!candidate.owned || candidate.drained || now < candidate.usableFrom || !candidate.lifecycle.acceptsRequests()) {
        return 0;
    }
    const std::uint32_t slots = candidate.report.slots;
    if (candidate.lifecycle.phase() == lifecycle_phase::warming) {
        return std::min(slots, 1U);
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now - candidate.activeSince);
    if (slots == 0 || age >= m_options.slowStart) {
        return slots;
    }
    const auto ramped = 1 + static_cast<std::uint32_t>((slots - 1) * age.count() / m_options.slowStart.count());
    return std::min(slots, ramped);
}

bool service_pool::isSlow(const upstream &candidate) const
{
    return candidate.responseCount >= minResponsesToJudge && candidate.responseTimeUs > slowFactor * m_responseTimeUs;
}

// True when an upstream of normal speed is expected to be free sooner than the slow one would have responded.
bool service_pool::worthWaiting(const upstream &slow, std::uint32_t normalSlots) const
{
    const double ratio = slow.responseTimeUs / m_responseTimeUs;
    return normalSlots > 0 && static_cast<double>(m_waiting) < (ratio - 1) * normalSlots;
}

service_pool::upstream *service_pool::choose(const std::optional<instance_name> &avoid, steady_time now, std::uint64_t tieBreaker)
{
    upstream *best = nullptr;
    upstream *bestSlow = nullptr;
    upstream *avoided = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    double bestSlowScore = std::numeric_limits<double>::max();
    std::uint32_t normalSlots = 0;
    std::uint64_t ties = 1;
    for (auto &[instance, each] : m_upstreams) {
        const std::uint32_t slots = usableSlots(each, now);
        const std::uint32_t occupied = each.inFlight + each.inheritedInFlight;
        const bool slow = isSlow(each);
        normalSlots += slow ? 0 : slots;
        if (occupied >= slots) {
            continue;
        }
        if (avoid && *avoid == instance) {
            avoided = &each;
            continue;
        }
        const double score = static_cast<double>(occupied + 1) / slots;
        auto *&currentBest = slow ? bestSlow : best;
        auto &currentBestScore = slow ? bestSlowScore : bestScore;
        // Breaks ties at random: each of k equal scores is kept with probability 1/k.
        const bool tieWon = score == currentBestScore && tieBreaker % ++ties == 0;
        if (score < currentBestScore || tieWon) {
            currentBest = &each;
            currentBestScore = score;
        }
    }
    if (best != nullptr) {
        return best;
    }
    if (bestSlow != nullptr && !worthWaiting(*bestSlow, normalSlots)) {
        return bestSlow;
    }
    return normalSlots == 0 || avoided == nullptr ? avoided : nullptr;
}

slot_grant service_pool::grant(upstream &chosen, request_number number, steady_time now)
{
    ++chosen.inFlight;
    return {
        .number = number,
        .service = m_service,
        .instance = chosen.report.instance,
        .address = chosen.report.address,
        .incarnation = chosen.report.incarnation,
        .grantedAt = now,
    };
}

admission service_pool::enqueue(const admit_request &request, steady_time now)
{
    const pool_load current = load(now);
    const auto wait = expectedWait(now);
    const auto maxWait = std::min<steady_time::duration>(m_options.queueLimit, request.deadline - now);
    if (current.slots == 0) {
        return slot_refused {.number = request.number, .error = errc::noUpstream, .retryAfter = m_options.queueLimit};
    }
    const bool full = m_responseTimeUs == 0 && m_waiting >= maxWaitersPerSlot * current.slots;
    if (full || wait > maxWait) {
        return slot_refused {.number = request.number, .error = errc::overloaded, .retryAfter = std::chrono::ceil<milliseconds>(wait)};
    }
    m_waiters[request.caller].push_back({.request = request, .expiresAt = now + maxWait});
    ++m_waiting;
    return slot_queued {};
}

microseconds service_pool::expectedWait(steady_time now) const
{
    std::uint32_t slots = 0;
    for (const auto &[instance, each] : m_upstreams) {
        slots += usableSlots(each, now);
    }
    if (slots == 0) {
        return {};
    }
    return microseconds(static_cast<std::int64_t>(m_responseTimeUs * static_cast<double>(m_waiting + 1) / slots));
}

void service_pool::serveWaiters(pool_events &events, steady_time now)
{
    while (m_waiting > 0) {
        auto *chosen = choose(std::nullopt, now, m_nextTieBreaker++);
        if (chosen == nullptr) {
            return;
        }
        const auto next = nextWaiter();
        if (now >= next->expiresAt) {
            events.refusals.push_back({.number = next->request.number, .error = errc::overloaded, .retryAfter = {}});
            continue;
        }
        events.grants.push_back(grant(*chosen, next->request.number, now));
    }
}

void service_pool::expireWaiters(pool_events &events, steady_time now)
{
    for (auto it = m_waiters.begin(); it != m_waiters.end();) {
        auto &queue = it->second;
        std::erase_if(queue, [&](const waiter &each) {
            if (now < each.expiresAt) {
                return false;
            }
            const errc error = now >= each.request.deadline ? errc::deadlineExceeded : errc::overloaded;
            events.refusals.push_back({.number = each.request.number, .error = error, .retryAfter = std::chrono::ceil<milliseconds>(expectedWait(now))});
            --m_waiting;
            return true;
        });
        it = queue.empty() ? m_waiters.erase(it) : std::next(it);
    }
}

std::optional<service_pool::waiter> service_pool::nextWaiter()
{
    if (m_waiting == 0) {
        return std::nullopt;
    }
    auto nextCaller = m_waiters.upper_bound(m_lastCaller);
    if (nextCaller == m_waiters.end()) {
        nextCaller = m_waiters.begin();
    }
    m_lastCaller = nextCaller->first;
    waiter next = std::move(nextCaller->second.front());
    nextCaller->second.pop_front();
    if (nextCaller->second.empty()) {
        m_waiters.erase(nextCaller);
    }
    --m_waiting;
    return next;
}

void service_pool::recordResponse(upstream &answered, microseconds responseTime, steady_time now)
{
    const auto sample = static_cast<double>(std::max<std::int64_t>(responseTime.count(), 1));
    answered.lastResponseAt = now;
    answered.responseTimeUs = smooth(answered.responseTimeUs, sample);
    ++answered.responseCount;
    m_responseTimeUs = smooth(m_responseTimeUs, sample);
}

// When the reports of most upstreams stop at once, the reporting has failed rather than the upstreams, so their last known state
// is kept.
void service_pool::markSilent(steady_time now)
{
    std::vector<upstream *> silent;
    std::size_t aliveCount = 0;
    for (auto &[instance, each] : m_upstreams) {
        if (!each.owned || each.lifecycle.phase() == lifecycle_phase::gone) {
            continue;
        }
        ++aliveCount;
        const auto lastSeen = std::max(each.lastReportAt, each.lastResponseAt);
        if (now >= lastSeen + m_options.announceTtl) {
            silent.push_back(&each);
        }
    }
    const bool reportingFailed = aliveCount > 1 && silent.size() * 2 > aliveCount;
    for (auto *each : silent) {
        const bool drains = each->lifecycle.phase() == lifecycle_phase::draining;
        if (!reportingFailed || drains) {
            each->lifecycle.onLeaseExpired();
        }
    }
}

} // namespace hornbeampick
