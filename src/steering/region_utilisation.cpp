#include "steering/region_utilisation.h"

#include <cmath>

namespace hornbeampick
{

namespace
{

// The load known without reports counts as much as fresh reports of this many upstreams. A weight in proportion to all upstreams makes
// a large region that is seldom seen look empty: two regions then send more than half of their requests to each other.
constexpr double knownLoadUpstreams = 6;

} // namespace

region_utilisation::region_utilisation(milliseconds reportLifetime)
    : m_lifetimeMs(static_cast<double>(reportLifetime.count()))
{
}

void region_utilisation::add(double load, double slots)
{
    m_load += load;
    m_slots += slots;
    ++m_upstreams;
}

void region_utilisation::add(double load, double slots, double reported, steady_time::duration age)
{
    add(load, slots);
    const double weight = std::exp(-std::chrono::duration<double, std::milli>(age).count() / m_lifetimeMs);
    m_reported += weight * reported;
    m_reportedSlots += weight * slots;
}

double region_utilisation::value() const
{
    if (m_slots <= 0) {
        return 0;
    }
    const double knownWeight = knownLoadUpstreams / m_upstreams;
    return (m_reported + knownWeight * m_load) / (m_reportedSlots + knownWeight * m_slots);
}

} // namespace hornbeampick
