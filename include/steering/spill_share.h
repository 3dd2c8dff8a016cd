#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace hornbeampick
{

struct spill_options {
    // Above this utilisation of the home region, more objects are sent to regions whose utilisation is lower by `margin`. A few
    // objects cause most of a region's load, so that some of its upstreams are full when half of all its slots are in use.
    double spillAbove = 0.5;
    // Below this utilisation, objects return once the utilisation of the other regions is higher by `margin`.
    double returnBelow = 0.4;
    double margin = 0.2;
    // Below this utilisation, objects return in any case.
    double returnAllBelow = 0.2;
    // Utilisation of the home region up to which the demand estimated during start-up is served there. It leaves room for error,
    // since so few arrivals determine the demand only to within a quarter.
    double startupHomeUtilisation = 0.65;
    // The share does not grow while the utilisation of the other regions is at or above this.
    double othersFullFrom = 0.85;
    // Time between two steps and the increase of the share per step; together they stay under the bound on shifts between two
    // windows of 2 s.
    milliseconds stepInterval {250};
    double step = 0.01;
    // Decrease of the share per step. Returning objects is not urgent, and each object that moves is cold for its first request.
    double returnStep = 0.0025;
    double maxShare = 0.9;
    // For this long after the first request the share follows the demand without step limit, because no earlier window exists to
    // which the bound on shifts could apply.
    milliseconds startupTime {600};
    milliseconds startupInterval {100};
    // The share is set for load reports of the upstreams and a known number of entry hosts: it starts from the number of hosts, start-up
    // waits for enough requests, and steps follow the time. When false, the number of hosts and the options below have no effect.
    // A dispatcher sets it to dispatcher_options::overflowFromReports.
    bool fromReports = false;
    // Start-up lasts longer, up to the end of the first window of the bound on shifts, until this many requests have arrived.
    std::size_t startupArrivals = 20;
    milliseconds longestStartup {2000};
    // Number of arrivals that the demand assumed before the first request stands for.
    double assumedArrivals = 3;
    // Most steps that are taken at one arrival, for the time in which none came. A host with few requests changes its share as fast as
    // the others, and a host that was suspended does not jump.
    std::int64_t maxStepsAtOnce = 4;
    // Age at which the weight of an upstream's load report has fallen to 1/e; see `region_utilisation`.
    milliseconds reportLifetime {4000};
};

/// Load of the home region and of the others when a request arrives, in slots. It exceeds the slots when requests are queued.
struct spill_sample {
    double homeLoad = 0;
    double homeSlots = 0;
    double othersLoad = 0;
    double othersSlots = 0;
    // Regions that have slots, including the home region.
    std::uint32_t regions = 1;
    // Entry hosts that share the requests of the region.
    std::uint32_t hosts = 1;
    // Entry hosts of all regions; 0 when unknown.
    std::uint32_t fleetHosts = 0;
    // Usual service time of a request.
    double serviceTimeMs = 0;
};

/// Controls the share of a service's objects that an entry host sends to other regions.
///
/// Handles a region with few slots and many callers, whose demand exceeds its slots for many seconds while other regions have
/// spare capacity. With spill_options::fromReports, the share at the first request is the one that loads all regions evenly when the
/// demand of each is in proportion to its entry hosts. During start-up it follows the demand. From then on it changes in small steps
/// with hysteresis, so that objects rarely move and stay warm where they are. Not thread-safe.
class spill_share
{
public:
    explicit spill_share(const spill_options &options = {});

    /// Records the arrival of a request. Has to be called for each request before its upstream is chosen.
    void observe(const spill_sample &sample, steady_time now);

    /// Returns the current share, from 0 to 1.
    [[nodiscard]] double share() const
    {
        return m_share;
    }
    /// Returns the mean utilisation of the home region and of the others before the last step.
    [[nodiscard]] double homeUtilisation() const
    {
        return m_homeUtilisation;
    }
    [[nodiscard]] double othersUtilisation() const
    {
        return m_othersUtilisation;
    }
    /// Returns true when the object with this hash is sent to another region.
    [[nodiscard]] bool spills(std::uint64_t objectHash) const;

private:
    void setFromDemand(const spill_sample &sample, steady_time now);
    void adjustShare(double steps);

    spill_options m_options;
    double m_share = 0;
    // Sums of the utilisation samples since the last step.
    double m_homeUtilisationSum = 0;
    double m_othersUtilisationSum = 0;
    std::size_t m_samples = 0;
    double m_homeUtilisation = 0;
    double m_othersUtilisation = 0;
    std::size_t m_arrivals = 0;
    steady_time m_startedAt {};
    steady_time m_nextStep {};
    bool m_inStartup = true;
};

} // namespace hornbeampick
