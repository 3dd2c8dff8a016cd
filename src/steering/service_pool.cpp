#include "steering/service_pool.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace hornbeampick
{

namespace
{

// Weight of a new answer in the smoothed answer time.
constexpr double smoothing = 0.1;
// An upstream this many times slower than the service as a whole is slow.
constexpr double slowFactor = 3;
constexpr std::uint32_t answersToJudge = 5;
// Requests that may wait for each usable slot while no answer time is known.
constexpr std::size_t waitersASlot = 2;
// A gone upstream is remembered this long, so that older news of it is not taken for new.
constexpr milliseconds tombstoneFor {60000};

double smooth(double former, double sample)
{
    return former == 0 ? sample : former + smoothing * (sample - former);
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
        known.heardAt = now;
    }
    const bool tookWork = known.life.takesWork();
    if (newer) {
        known.report = report;
        // It only falls: a late report must not take slots away for ever.
        const std::uint32_t foreign = report.inFlight > known.inFlight ? report.inFlight - known.inFlight : 0;
        known.inherited = std::min(known.inherited, foreign);
    }
    if (restarted) {
        known.inFlight = 0;
        known.inherited = 0;
        known.answerTime = 0;
        known.answers = 0;
    }
    known.life.onAnnounced(known.report.state);
    if (known.life.takesWork() && (!tookWork || restarted)) {
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
    auto &changed = found->second;
    changed.owned = owned;
    changed.usableFrom = immediate ? now : now + m_options.handover;
    // Work of the former owner still runs there.
    changed.inherited = immediate ? 0 : changed.report.inFlight;
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
    // Who waits already goes first.
    if (m_waiting == 0) {
        if (auto *chosen = choose(request.avoid, now, random.next())) {
            return grant(*chosen, request.number, now);
        }
    }
    return enqueue(request, now);
}

pool_events service_pool::finish(const slot_grant &grant, slot_end end, steady_time now)
{
    pool_events events;
    const auto found = m_upstreams.find(grant.instance);
    if (found == m_upstreams.end() || found->second.report.incarnation != grant.incarnation) {
        return events;
    }
    auto &used = found->second;
    assert(used.inFlight > 0);
    --used.inFlight;
    switch (end) {
    case slot_end::answered:
        noteAnswer(used, std::chrono::duration_cast<microseconds>(now - grant.grantedAt), now);
        break;
    case slot_end::refused:
    case slot_end::broke:
        used.life.onFailed();
        break;
    case slot_end::shed:
    case slot_end::abandoned:
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
        return each.life.phase() == life_phase::gone && each.inFlight == 0 && now >= each.heardAt + tombstoneFor;
    });
    expireWaiters(events, now);
    serveWaiters(events, now);
    validate();
    return events;
}

std::vector<milliseconds> service_pool::takeDrains(steady_time now)
{
    std::vector<milliseconds> drains;
    for (auto &[instance, each] : m_upstreams) {
        const bool leaves = each.owned && (each.drained || each.life.phase() == life_phase::draining);
        if (leaves && !each.leaves) {
            each.leavingSince = now;
        }
        each.leaves = leaves;
        if (!leaves) {
            each.leavingSince.reset();
        } else if (each.leavingSince && each.inFlight == 0) {
            drains.push_back(std::chrono::duration_cast<milliseconds>(now - *each.leavingSince));
            each.leavingSince.reset();
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
            load.inFlight += each.inFlight + each.inherited;
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

life_phase service_pool::phaseOf(const instance_name &instance) const
{
    const auto found = m_upstreams.find(instance);
    return found == m_upstreams.end() ? life_phase::unknown : found->second.life.phase();
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
    if (!candidate.owned || candidate.drained || now < candidate.usableFrom || !candidate.life.takesWork()) {
        return 0;
    }
    const std::uint32_t slots = candidate.report.slots;
    if (candidate.life.phase() == life_phase::warming) {
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
    return candidate.answers >= answersToJudge && candidate.answerTime > slowFactor * m_answerTime;
}

// True when a usual upstream will be free sooner than the slow one would have answered.
bool service_pool::worthWaiting(const upstream &slow, std::uint32_t usualSlots) const
{
    const double ratio = slow.answerTime / m_answerTime;
    return usualSlots > 0 && static_cast<double>(m_waiting) < (ratio - 1) * usualSlots;
}

service_pool::upstream *service_pool::choose(const std::optional<instance_name> &avoid, steady_time now, std::uint64_t turn)
{
    upstream *best = nullptr;
    upstream *bestSlow = nullptr;
    upstream *avoided = nullptr;
    double bestScore = std::numeric_limits<double>::max();
    double bestSlowScore = std::numeric_limits<double>::max();
    std::uint32_t usualSlots = 0;
    std::uint64_t ties = 1;
    for (auto &[instance, each] : m_upstreams) {
        const std::uint32_t slots = usableSlots(each, now);
        const std::uint32_t held = each.inFlight + each.inherited;
        const bool slow = isSlow(each);
        usualSlots += slow ? 0 : slots;
        if (held >= slots) {
            continue;
        }
        if (avoid && *avoid == instance) {
            avoided = &each;
            continue;
        }
        const double score = static_cast<double>(held + 1) / slots;
        auto *&leader = slow ? bestSlow : best;
        auto &leaderScore = slow ? bestSlowScore : bestScore;
        // Equal scores are drawn at random: each of k is kept with chance 1/k.
        const bool tieWon = score == leaderScore && turn % ++ties == 0;
        if (score < leaderScore || tieWon) {
            leader = &each;
            leaderScore = score;
        }
    }
    if (best != nullptr) {
        return best;
    }
    if (bestSlow != nullptr && !worthWaiting(*bestSlow, usualSlots)) {
        return bestSlow;
    }
    return usualSlots == 0 || avoided == nullptr ? avoided : nullptr;
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
    const auto patience = std::min<steady_time::duration>(m_options.queueLimit, request.deadline - now);
    if (current.slots == 0) {
        return slot_refused {.number = request.number, .error = errc::noUpstream, .retryAfter = m_options.queueLimit};
    }
    const bool full = m_answerTime == 0 && m_waiting >= waitersASlot * current.slots;
    if (full || wait > patience) {
        return slot_refused {.number = request.number, .error = errc::overloaded, .retryAfter = std::chrono::ceil<milliseconds>(wait)};
    }
    m_waiters[request.caller].push_back({.request = request, .giveUpAt = now + patience});
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
    return microseconds(static_cast<std::int64_t>(m_answerTime * static_cast<double>(m_waiting + 1) / slots));
}

void service_pool::serveWaiters(pool_events &events, steady_time now)
{
    while (m_waiting > 0) {
        auto *chosen = choose(std::nullopt, now, m_turn++);
        if (chosen == nullptr) {
            return;
        }
        const auto next = nextWaiter();
        if (now >= next->giveUpAt) {
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
            if (now < each.giveUpAt) {
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
    auto turn = m_waiters.upper_bound(m_lastCaller);
    if (turn == m_waiters.end()) {
        turn = m_waiters.begin();
    }
    m_lastCaller = turn->first;
    waiter next = std::move(turn->second.front());
    turn->second.pop_front();
    if (turn->second.empty()) {
        m_waiters.erase(turn);
    }
    --m_waiting;
    return next;
}

void service_pool::noteAnswer(upstream &answered, microseconds taken, steady_time now)
{
    const auto sample = static_cast<double>(std::max<std::int64_t>(taken.count(), 1));
    answered.answeredAt = now;
    answered.answerTime = smooth(answered.answerTime, sample);
    ++answered.answers;
    m_answerTime = smooth(m_answerTime, sample);
}

// When most reports stop at once the measuring broke, not the upstreams: the last known is held.
void service_pool::markSilent(steady_time now)
{
    std::vector<upstream *> silent;
    std::size_t living = 0;
    for (auto &[instance, each] : m_upstreams) {
        if (!each.owned || each.life.phase() == life_phase::gone) {
            continue;
        }
        ++living;
        const auto lastSign = std::max(each.heardAt, each.answeredAt);
        if (now >= lastSign + m_options.announceTtl) {
            silent.push_back(&each);
        }
    }
    const bool measuringBroke = living > 1 && silent.size() * 2 > living;
    for (auto *each : silent) {
        const bool drains = each->life.phase() == life_phase::draining;
        if (!measuringBroke || drains) {
            each->life.onSilent();
        }
    }
}

} // namespace hornbeampick
