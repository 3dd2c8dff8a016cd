#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "core/random_source.h"
#include "fleet/upstream_report.h"
#include "steering/upstream_life.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace hornbeampick
{

using request_number = std::uint64_t;

struct pool_options {
    // An upstream without a report for this long is silent.
    milliseconds announceTtl {2000};
    // Longest wait in the queue.
    milliseconds queueLimit {250};
    // A cold upstream gets its slots one by one over this time.
    milliseconds slowStart {2000};
    // Wait before the first use of an upstream gained from another host.
    milliseconds handover {1000};
};

/// One request that wants a slot.
struct admit_request {
    request_number number = 0;
    // Requests of one caller share its turns in the queue.
    std::uint64_t caller = 0;
    steady_time deadline {};
    // The upstream that just failed this request; used only when there is no other.
    std::optional<instance_name> avoid;
};

/// A slot of an upstream, held until `finish`.
struct slot_grant {
    request_number number = 0;
    service_name service;
    instance_name instance;
    std::string address;
    std::uint64_t incarnation = 0;
    steady_time grantedAt {};
};

/// The request waits for a slot.
struct slot_queued {
};

/// No slot; nothing of the request was sent.
struct slot_refused {
    request_number number = 0;
    errc error = errc::overloaded;
    // Estimate of when a slot will be free.
    milliseconds retryAfter {};
};

using admission = std::variant<slot_grant, slot_queued, slot_refused>;

/// How a granted request ended.
enum class slot_end {
    answered,
    // The upstream said that it did not run the request.
    shed,
    // The connection failed before the request was sent.
    refused,
    // The connection broke while the request ran.
    broke,
    // The caller or the deadline ended it.
    abandoned,
};

/// What waiting requests are told after a change.
struct pool_events {
    std::vector<slot_grant> grants;
    std::vector<slot_refused> refusals;
};

struct pool_load {
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;

    [[nodiscard]] std::int64_t free() const
    {
        return static_cast<std::int64_t>(slots) - inFlight - queued;
    }
};

/// Admission to the upstreams of one service that this host owns, and the choice among them.
///
/// One owner at a time hands out an upstream's slots, so its own count of them is exact and load
/// reports can only lower trust. Pure and single-threaded: the caller holds the shard's lock.
class service_pool
{
public:
    service_pool(service_name service, const pool_options &options);

    /// An announcement. `renews`: it came from the upstream itself, directly or relayed; otherwise
    /// a peer told of it, which says nothing about whether the upstream still lives.
    pool_events announce(const upstream_report &report, bool renews, steady_time now);
    /// Ownership as the fleet now stands; `immediate` skips the handover wait.
    pool_events setOwned(const instance_name &instance, bool owned, bool immediate, steady_time now);
    /// Operators' drains: takes no new work while true.
    void setDrained(const instance_name &instance, bool drained);

    admission admit(const admit_request &request, steady_time now, random_source &random);
    pool_events finish(const slot_grant &grant, slot_end end, steady_time now);
    /// The request no longer waits. Returns false when it was not waiting.
    bool cancel(request_number number);
    /// Ends waits that are over, and gives out slots that became usable.
    pool_events tick(steady_time now);

    /// How long upstreams that finished leaving took, from the end of new work to the last request; each is told once.
    std::vector<milliseconds> takeDrains(steady_time now);

    [[nodiscard]] pool_load load(steady_time now) const;
    [[nodiscard]] std::vector<upstream_report> reports() const;
    [[nodiscard]] life_phase phaseOf(const instance_name &instance) const;
    /// True while any upstream is known, owned or not.
    [[nodiscard]] bool known() const
    {
        return !m_upstreams.empty();
    }
    /// Asserts the invariants; debug builds only.
    void validate() const;

private:
    struct upstream {
        upstream_report report;
        upstream_life life;
        steady_time heardAt {};
        steady_time activeSince {};
        steady_time answeredAt {};
        bool owned = false;
        bool drained = false;
        // Since when it takes no new work while it runs what it has; absent once it is told of.
        std::optional<steady_time> leavingSince;
        bool leaves = false;
        steady_time usableFrom {};
        std::uint32_t inFlight = 0;
        // Work of a former owner that may still run there.
        std::uint32_t inherited = 0;
        // Smoothed time of an answer, microseconds; 0: none yet.
        double answerTime = 0;
        std::uint32_t answers = 0;
    };

    struct waiter {
        admit_request request;
        steady_time giveUpAt {};
    };

    [[nodiscard]] std::uint32_t usableSlots(const upstream &candidate, steady_time now) const;
    [[nodiscard]] bool isSlow(const upstream &candidate) const;
    [[nodiscard]] bool worthWaiting(const upstream &slow, std::uint32_t usualSlots) const;
    upstream *choose(const std::optional<instance_name> &avoid, steady_time now, std::uint64_t turn);
    slot_grant grant(upstream &chosen, request_number number, steady_time now);
    admission enqueue(const admit_request &request, steady_time now);
    [[nodiscard]] microseconds expectedWait(steady_time now) const;
    void serveWaiters(pool_events &events, steady_time now);
    void expireWaiters(pool_events &events, steady_time now);
    std::optional<waiter> nextWaiter();
    void noteAnswer(upstream &answered, microseconds taken, steady_time now);
    void markSilent(steady_time now);

    service_name m_service;
    pool_options m_options;
    std::map<instance_name, upstream> m_upstreams;
    // Waiting requests by caller; callers take turns.
    std::map<std::uint64_t, std::deque<waiter>> m_waiters;
    std::size_t m_waiting = 0;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_turn = 0;
    double m_answerTime = 0;
};

} // namespace hornbeampick
