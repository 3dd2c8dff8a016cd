#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "core/published.h"
#include "core/random_source.h"
#include "core/shards.h"
#include "core/topology.h"
#include "fleet/upstream_directory.h"
#include "rules/routing_table.h"
#include "steering/cold_share.h"
#include "steering/concurrency_limit.h"
#include "steering/spill_share.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeampick
{

/// The properties of one attempt of a request that determine the choice of its upstream.
struct dispatch_request {
    service_name service;
    // Hash of the object that the request refers to, or empty when it refers to none.
    std::optional<std::uint64_t> object;
    // Priority of the request; 0 is the most urgent.
    std::uint32_t priority = 0;
    // Response time that the caller expects.
    milliseconds targetLatency {0};
    // Time since the request arrived.
    milliseconds elapsed {0};
    // Time until the deadline of the caller or the timeout set by the operator, whichever is earlier.
    milliseconds remaining {0};
    // Regions whose upstreams may serve the request; empty allows all.
    std::span<const region_name> allowedRegions;
    // Upstreams already attempted, which did not execute the request; they are not chosen again.
    std::span<const instance_name> tried;
};

/// Permission to send a request to an upstream now. The caller returns it with `dispatcher::finish`.
struct dispatch_grant {
    service_name service;
    instance_name instance;
    std::uint64_t incarnation = 0;
    std::string address;
    // The region of the upstream, from its announced failure domain; empty when that is unknown.
    region_name region {};
    steady_time grantedAt {};
    // The upstream had a free slot as far as known, so that the response time contains no queueing and is a valid sample of the
    // service time.
    bool hadFreeSlot = false;
    // How the upstream was chosen.
    object_placement placement = object_placement::none;
};

/// The request was not sent to any upstream.
struct dispatch_refusal {
    errc error = errc::overloaded;
    // Time after which capacity is expected, with jitter.
    milliseconds retryAfter {0};
    // Inputs of the decision, for log lines: requests and slots at the eligible upstreams, the expected wait at the preferred
    // upstream, and the longest wait that was allowed.
    double load = 0;
    double slots = 0;
    milliseconds wait {0};
    milliseconds allowedWait {0};
};

using dispatch_result = std::variant<dispatch_grant, dispatch_refusal>;

/// The load that an upstream reports in a response.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on the machine of the upstream at this moment, relative to its usual time; empty when it does not tell.
    std::optional<double> slowness {};
};

/// How an attempt at an upstream ended.
enum class dispatch_outcome {
    // A complete response from the upstream.
    answered,
    // A complete response from the upstream that reports a failure.
    failed,
    // The upstream reported that it did not execute the request.
    shed,
    // The address now belongs to another instance.
    misdirected,
    // The connection could not be established; nothing was sent.
    unreachable,
    // The connection was lost before a complete response, or carried a malformed one.
    broke,
    // No response before the timeout.
    timedOut,
    // The caller disconnected, or the request ended for a reason unrelated to the upstream.
    abandoned,
};

std::string_view textOf(dispatch_outcome end);

struct dispatcher_options {
    // The region of this host.
    region_name region;
    spill_options spill {};
    // Learns how slow each upstream is and how many requests it handles well, and uses that for decisions.
    bool learnUpstreamSpeed = false;
    // The share of objects that go to other regions is set from the load reports of all upstreams and the number of entry hosts; see
    // `region_utilisation` and spill_options::fromReports. When false, it is set from the load that this host estimates.
    bool overflowFromReports = false;
};

/// Chooses the upstream of each request and rejects requests that cannot be served in time.
///
/// Handles the following load patterns:
/// - Objects are served faster by an upstream that has served them before: rendezvous hashing, bounded by free slots.
/// - The demand of a region exceeds its slots for a long time: `spill_share`.
/// - Short bursts: a bounded wait at the upstream, as long as the response can still be in time, and longer for more urgent
///   requests.
/// - Upstreams that are cold, slow, failing or silent.
///
/// Thread-safe; one lock per shard of services.
class dispatcher
{
public:
    dispatcher(const dispatcher_options &options, const topology &fleet, clock_source &clock, random_source &random);

    /// Updates the known upstreams. An upstream is removed only when its report says that it is gone.
    void setUpstreams(std::span<const known_upstream> upstreams);
    void setServices(std::span<const routed_service> services);
    /// Sets the evacuated failure domains; their upstreams receive no requests.
    void setEvacuated(std::span<const domain_name> domains);
    /// Sets the place of this host among the entry hosts that share the rate limit of each cold upstream in this region.
    void setRegionShare(const share_of_hosts &share);
    /// Sets the number of entry hosts in all regions; 0 when it is unknown.
    void setFleetHosts(std::uint32_t hosts);

    /// Chooses an upstream and counts the request as in flight there. Every grant has to be passed to `finish`.
    dispatch_result selectUpstream(const dispatch_request &request);
    /// Records the outcome of an attempt. Returns the ejection time when this outcome ejects the upstream.
    std::optional<milliseconds> finish(const dispatch_grant &grant, dispatch_outcome end, const std::optional<load_report> &load);

    /// Records that the upstream of `grant` stated in a response that it leaves. This incarnation receives no further requests, whatever
    /// control hosts report of it. Returns true the first time.
    bool markLeaving(const dispatch_grant &grant);

    /// Records that the upstream of `grant` wants no requests from this host for `retryAfter`, which it stated in a response. A shorter time
    /// does not shorten an earlier one. Returns true when the time became longer.
    bool defer(const dispatch_grant &grant, milliseconds retryAfter);

    /// Records that an upstream reported how much longer it stays cold.
    void markCold(const service_name &service, const instance_name &instance, milliseconds left);

    /// Returns the addresses of up to two upstreams in every failure domain, chosen at random among those that may receive requests.
    [[nodiscard]] std::vector<std::string> probeTargets() const;

    /// A learned limit that fell to half of the slots of an upstream or less, or recovered.
    struct limit_change {
        service_name service;
        instance_name instance;
        double limit = 0;
        std::uint32_t slots = 0;
        bool isLimited = false;
    };
    /// Returns the changes of learned limits since the last call, for log lines. Changes beyond a fixed number per service are dropped.
    [[nodiscard]] std::vector<limit_change> takeLimitChanges();

    /// Smallest and largest value over the upstreams of a service.
    struct value_range {
        double smallest = 0;
        double largest = 0;

        bool operator==(const value_range &) const = default;
    };
    /// Load of one service in the home region of this host.
    struct service_stats {
        service_name service;
        std::uint32_t slots = 0;
        double inUse = 0;
        // The share of objects that go to other regions, and the utilisations from which it was set.
        double spilled = 0;
        double homeUtilisation = 0;
        double othersUtilisation = 0;
        std::uint32_t ejected = 0;
        // Learned limits as fractions of the slots, and learned slowness relative to the service at low utilisation. Empty without
        // dispatcher_options::learnUpstreamSpeed and without upstreams.
        std::optional<value_range> limits {};
        std::optional<value_range> slowness {};
    };
    /// Returns the usual time that requests of a service run for; 0 before the first sample.
    [[nodiscard]] milliseconds usualServiceTime(const service_name &service) const;
    /// Returns the statistics of every service, for metrics.
    [[nodiscard]] std::vector<service_stats> serviceStats() const;

private:
    // What this host knows about one upstream.
    struct tracked_upstream {
        upstream_report report;
        region_name region;
        steady_time warmupEnd {};
        // Requests of this host.
        std::uint32_t inFlight = 0;
        // Requests of other hosts, from the upstream's last response.
        double otherHostsLoad = 0;
        steady_time otherHostsLoadAt {};
        // Smoothed service time; 0 before the first sample.
        double serviceTimeMs = 0;
        // Smoothed fraction of attempts that failed.
        double failureRate = 0;
        std::uint32_t ejections = 0;
        steady_time ejectedUntil {};
        // Another instance responded at its address.
        bool misdirected = false;
        // This incarnation stated in a response that it leaves.
        bool leaving = false;
        // It wants no requests until then.
        steady_time deferredUntil {};
        cold_share coldShare;
        // Used with dispatcher_options::learnUpstreamSpeed only.
        concurrency_limit learned;
        bool isLimited = false;
    };
    // What this host knows about one service.
    struct service_record {
        spill_share spill;
        std::map<instance_name, tracked_upstream> trackedUpstreams {};
        double serviceTimeMs = 0;
        service_pace pace {};
        // Smoothed load of other hosts at an upstream, as a fraction of its slots.
        double meanUtilisation = 0;
        steady_time meanUtilisationAt {};
        std::vector<limit_change> limitChanges {};
        double coldPerSecond = 0;
        milliseconds warmup {0};
        // Token bucket for requests that leave the region beyond the spill share because only other regions have a free slot.
        double overflowTokens = 0;
    };
    using service_records = std::map<service_name, service_record>;
    struct candidate;
    struct candidate_set;
    // Requests and slots at the eligible upstreams of the home region and of the other regions.
    struct region_loads {
        double home = 0;
        double homeSlots = 0;
        double remote = 0;
        double remoteSlots = 0;
        std::uint32_t regions = 0;
        // Estimated from the reports of the upstreams; see `region_utilisation`.
        double homeUtilisation = 0;
        double remoteUtilisation = 0;
    };

    // Returns the upstream of `grant`; null when it is gone or another incarnation has taken its place.
    [[nodiscard]] static tracked_upstream *trackedUpstreamOf(service_record &serviceRecord, const dispatch_grant &grant);
    [[nodiscard]] service_record &recordOf(service_records &all, const service_name &service) const;
    [[nodiscard]] candidate_set candidatesFor(service_record &serviceRecord, const dispatch_request &request, std::uint64_t object, steady_time now) const;
    [[nodiscard]] double estimatedLoad(const tracked_upstream &each, steady_time now) const;
    [[nodiscard]] double expectedLoad(const service_record &serviceRecord, const tracked_upstream &each, bool hasObject, steady_time now) const;
    [[nodiscard]] double effectiveSlots(const service_record &serviceRecord, const tracked_upstream &each, steady_time now) const;
    [[nodiscard]] static double learnedSlowness(const service_record &serviceRecord, const tracked_upstream &each, double load, steady_time now);
    static void recordLimit(service_record &serviceRecord, tracked_upstream &tracked, steady_time now);
    static void learn(service_record &serviceRecord, tracked_upstream &tracked, const dispatch_grant &grant, dispatch_outcome end,
                      const std::optional<load_report> &load, double upstreamLoad, steady_time now);
    [[nodiscard]] region_loads loadsOf(const candidate_set &set, steady_time now) const;
    [[nodiscard]] dispatch_grant makeGrant(const candidate &chosen, const service_name &service, object_placement placement, steady_time now) const;
    dispatch_result choose(service_record &serviceRecord, const dispatch_request &request, steady_time now);
    [[nodiscard]] static const candidate *choosePreferred(std::span<const candidate> candidates, bool spills, double serviceTimeMs);
    [[nodiscard]] static object_placement placementOf(const candidate *preferred, std::span<const candidate> candidates, bool spills);
    [[nodiscard]] static const candidate *chooseWithSpareSlots(std::span<const candidate> candidates, bool spills, bool mayLeave);
    [[nodiscard]] static double allowedWaitMs(const dispatch_request &request, double serviceTimeMs);
    [[nodiscard]] bool coldRateAllows(const service_record &serviceRecord, tracked_upstream &cold, steady_time now) const;
    [[nodiscard]] static milliseconds deferralOf(const candidate_set &set, bool spills, steady_time now);
    dispatch_refusal makeErrorAnswer(const service_record &serviceRecord, const dispatch_request &request, milliseconds deferral) const;
    static std::optional<milliseconds> updateEjection(tracked_upstream &tracked, dispatch_outcome end, double load, steady_time now);
    void updateUpstream(const known_upstream &known, steady_time now);

    dispatcher_options m_options;
    const topology &m_fleet;
    clock_source &m_clock;
    random_source &m_random;
    shards<service_records> m_records;
    std::atomic<share_of_hosts> m_regionShare {share_of_hosts {.hosts = 4}};
    std::atomic<std::uint32_t> m_fleetHosts {0};
    published<std::vector<domain_name>> m_evacuated;
};

} // namespace hornbeampick
