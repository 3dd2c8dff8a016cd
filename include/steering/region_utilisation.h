#pragma once

#include "core/clock.h"

namespace hornbeampick
{

/// Mean utilisation of the upstreams of one region, estimated from their last load reports.
///
/// A host of a large region receives a report of each upstream only once in many seconds, but several reports per second of all of
/// them together. Each report is weighted by its age, so that the mean is based on the recent ones whatever their number. Not
/// thread-safe.
class region_utilisation
{
public:
    /// The weight of a report falls to 1/e at the age of `reportLifetime`.
    explicit region_utilisation(milliseconds reportLifetime);

    /// Adds an upstream without a report. `load` is the load that the host's own requests cause.
    void add(double load, double slots);
    /// Adds an upstream that reported `reported` requests, in slots, before the time `age`.
    void add(double load, double slots, double reported, steady_time::duration age);

    /// Returns the utilisation; above 1 when requests wait. 0 without slots.
    [[nodiscard]] double value() const;

private:
    double m_lifetimeMs;
    double m_load = 0;
    double m_slots = 0;
    double m_upstreams = 0;
    double m_reported = 0;
    double m_reportedSlots = 0;
};

} // namespace hornbeampick
