#pragma once

#include "core/clock.h"
#include "core/random_source.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hornbeampick::bench
{

/// The policy that chooses the upstream in a simulation.
enum class policy {
    // The implementation of this project: owners, service pools, queues, and loads exchanged between hosts.
    ownerAdmission,
    randomUpstream,
    roundRobin,
    // Fewest requests per slot, by the last report plus the requests that this host has sent since.
    leastLoadedByReports,
    // One central queue with perfect knowledge and no delays, as the theoretical optimum.
    centralQueue,
};

std::string_view nameOf(policy value);

/// The fault that a simulation injects.
enum class fault_kind {
    none,
    // One failure domain is lost with its hosts and upstreams half way through the run.
    domainLost,
    // The load rises by a third half way through the run.
    loadIncrease,
    // Reports arrive 5 s late.
    reportsLate,
    // Reports always say zero.
    reportsFrozen,
    // All upstreams are cold at the start: three times slower for the first two seconds.
    coldStart,
    // One upstream is five times slower than the others.
    slowUpstream,
};

std::string_view nameOf(fault_kind value);

/// One simulation: a region of a deployment and its traffic.
struct steering_scenario {
    policy selectedPolicy = policy::ownerAdmission;
    fault_kind fault = fault_kind::none;
    // Offered load as a fraction of the capacity of all slots.
    double load = 0.8;
    std::size_t hosts = 3;
    std::size_t upstreams = 6;
    milliseconds interDomainLatency {2};
    seconds simulatedTime {60};
    std::uint64_t seed = 20261204;
};

struct steering_result {
    // Percentiles of the response time in milliseconds.
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    // Fraction of requests answered within their deadline.
    double inTime = 0;
    // Answers within the deadline as a fraction of the requests that the slots can execute.
    double goodput = 0;
    // Fraction of executions whose answer came after the deadline.
    double wasted = 0;
    // Smallest number of free slots at any time after the first second.
    std::int64_t minHeadroom = 0;
    // Largest number of concurrent requests beyond the slots of an upstream.
    std::int64_t maxSlotExcess = 0;
};

/// Runs the simulation on a virtual clock.
steering_result simulate(const steering_scenario &scenario);

} // namespace hornbeampick::bench
