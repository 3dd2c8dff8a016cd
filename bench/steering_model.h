#pragma once

#include "core/clock.h"
#include "core/random_source.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace hornbeampick::bench
{

/// Who picks the upstream in a run of the model.
enum class policy {
    // The project's own decisions: owners, pools, queues, loads exchanged between hosts.
    owners,
    randomUpstream,
    roundRobin,
    // Fewest by the last report, plus what this host sent since.
    leastByReports,
    // One queue with perfect knowledge and no delays: the bound.
    centralQueue,
};

std::string_view nameOf(policy value);

/// What happens half way through a run.
enum class disturbance {
    none,
    // One failure domain with its hosts and upstreams is lost.
    domainLost,
    // The load rises by a third.
    thirdMoved,
    // Reports arrive 5 s late.
    reportsLate,
    // Reports say zero for ever.
    reportsFrozen,
    // All upstreams start cold: three times slower for the first two seconds.
    coldStart,
    // One upstream is five times slower than the others.
    slowUpstream,
};

std::string_view nameOf(disturbance value);

/// One region of one user, and the traffic it gets.
struct model_case {
    policy by = policy::owners;
    disturbance with = disturbance::none;
    // Offered work over all slots.
    double load = 0.8;
    std::size_t hosts = 3;
    std::size_t upstreams = 6;
    milliseconds betweenDomains {2};
    seconds length {60};
    std::uint64_t seed = 20261204;
};

struct model_result {
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    // Share of requests answered within their deadline.
    double useful = 0;
    // Useful answers over what the slots can run.
    double goodput = 0;
    // Runs whose answer came too late, over all runs.
    double wasted = 0;
    // Fewest slots free at any moment after the first second.
    std::int64_t lowestHeadroom = 0;
    // Most requests at once beyond an upstream's slots.
    std::int64_t overSlots = 0;
};

/// Plays the case on a virtual clock. Times in milliseconds.
model_result play(const model_case &given);

} // namespace hornbeampick::bench
