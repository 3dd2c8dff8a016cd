#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "core/random_source.h"
#include "fleet/upstream_report.h"
#include "steering/upstream_lifecycle.h"

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
    // Lease of an upstream: without a report for this long it counts as silent.
    milliseconds announceTtl {2000};
    // Longest time that a request waits in the queue.
    milliseconds queueLimit {250};
    // Warm-up time over which the usable slots of a new upstream grow from one to all.
    milliseconds slowStart {2000};
    // Delay before the first use of an upstream whose ownership moved from another host.
    milliseconds handover {1000};
};

/// A request for a slot.
struct admit_request {
    request_number number = 0;
    // Identifies the caller. The queue serves callers round-robin.
    std::uint64_t caller = 0;
    steady_time deadline {};
    // The upstream that just failed this request; chosen again only when no other can serve it.
    std::optional<instance_name> avoid;
};

/// A slot of an upstream, held until it is passed to `finish`.
struct slot_grant {
    request_number number = 0;
    service_name service;
    instance_name instance;
    std::string address;
    std::uint64_t incarnation = 0;
    steady_time grantedAt {};
};

/// The request is queued for a slot.
struct slot_queued {
};

/// No slot was granted; nothing of the request was sent.
struct slot_refused {
    request_number number = 0;
    errc error = errc::overloaded;
    // Estimated time until a slot is free.
    milliseconds retryAfter {};
};

using admission = std::variant<slot_grant, slot_queued, slot_refused>;

/// How a granted request ended.
enum class slot_outcome {
    answered,
    // The upstream reported that it did not execute the request.
    shed,
    // The connection failed before the request was sent.
    refused,
    // The connection was lost while the request was executing.
    broke,
    // The caller cancelled the request, or its deadline passed.
    abandoned,
};

/// Results for queued requests after a change of the pool.
struct pool_events {
    std::vector<slot_grant> grants;
    std::vector<slot_refused> refusals;
};

/// Usable slots of a pool, requests that occupy slots, and queued requests.
struct pool_load {
    std::uint32_t slots = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;

    /// Returns the number of free slots; negative when more requests are queued than slots are free.
    [[nodiscard]] std::int64_t free() const
    {
        return static_cast<std::int64_t>(slots) - inFlight - queued;
    }
};

/// Admission control for the upstreams of one service that this host owns, and load balancing among them.
///
/// Only one host at a time, the owner, grants the slots of an upstream, so the owner's own count is exact, and a load report
/// never overrides it. Does no I/O. Not thread-safe: the caller holds the lock of the shard.
class service_pool
{
public:
    service_pool(service_name service, const pool_options &options);

    /// Records a report about an upstream. `renews` is true when the report comes from the upstream itself, directly or relayed,
    /// and so renews its lease. A report passed on by a peer does not show that the upstream is still alive.
    pool_events announce(const upstream_report &report, bool renews, steady_time now);
    /// Sets whether this host owns the upstream; `immediate` skips the handover delay.
    pool_events setOwned(const instance_name &instance, bool owned, bool immediate, steady_time now);
    /// Sets whether an operator drains the upstream. It gets no new requests while `drained` is true.
    void setDrained(const instance_name &instance, bool drained);

    /// Grants a slot, queues the request, or refuses it when it would wait too long.
    admission admit(const admit_request &request, steady_time now, random_source &random);
    /// Releases a slot and grants it to the next queued request.
    pool_events finish(const slot_grant &grant, slot_outcome end, steady_time now);
    /// Removes a request from the queue. Returns false when it was not waiting.
    bool cancel(request_number number);
    /// Refuses queued requests that have waited too long, and grants slots that have become usable.
    pool_events tick(steady_time now);

    /// Returns the durations of completed drains, from the end of new requests to the end of the last one. Each is returned once.
    std::vector<milliseconds> takeDrainDurations(steady_time now);

    [[nodiscard]] pool_load load(steady_time now) const;
    [[nodiscard]] std::vector<upstream_report> reports() const;
    [[nodiscard]] lifecycle_phase phaseOf(const instance_name &instance) const;
    /// Returns true while any upstream is known, owned or not.
    [[nodiscard]] bool known() const
    {
        return !m_upstreams.empty();
    }
    /// Asserts the invariants in debug builds.
    void validate() const;

private:
    struct upstream {
        upstream_report report;
        upstream_lifecycle lifecycle;
        steady_time lastReportAt {};
        steady_time activeSince {};
        steady_time lastResponseAt {};
        bool owned = false;
        bool drained = false;
        // Start of a drain whose duration has not been returned yet.
        std::optional<steady_time> drainStartedAt;
        bool isDraining = false;
        steady_time usableFrom {};
        std::uint32_t inFlight = 0;
        // Requests granted by a previous owner that may still be executing.
        std::uint32_t inheritedInFlight = 0;
        // Smoothed response time in microseconds; 0 before the first response.
        double responseTimeUs = 0;
        std::uint32_t responseCount = 0;
    };

    struct waiter {
        admit_request request;
        steady_time expiresAt {};
    };

    [[nodiscard]] std::uint32_t usableSlots(const upstream &candidate, steady_time now) const;
    [[nodiscard]] bool isSlow(const upstream &candidate) const;
    [[nodiscard]] bool worthWaiting(const upstream &slow, std::uint32_t normalSlots) const;
    upstream *choose(const std::optional<instance_name> &avoid, steady_time now, std::uint64_t tieBreaker);
    slot_grant grant(upstream &chosen, request_number number, steady_time now);
    admission enqueue(const admit_request &request, steady_time now);
    [[nodiscard]] microseconds expectedWait(steady_time now) const;
    void serveWaiters(pool_events &events, steady_time now);
    void expireWaiters(pool_events &events, steady_time now);
    std::optional<waiter> nextWaiter();
    void recordResponse(upstream &answered, microseconds responseTime, steady_time now);
    void markSilent(steady_time now);

    service_name m_service;
    pool_options m_options;
    std::map<instance_name, upstream> m_upstreams;
    // Queued requests by caller, served round-robin.
    std::map<std::uint64_t, std::deque<waiter>> m_waiters;
    std::size_t m_waiting = 0;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_nextTieBreaker = 0;
    double m_responseTimeUs = 0;
};

} // namespace hornbeampick
