#include "steering/routes_lease.h"

namespace hornbeampick
{

namespace
{

// Part of the time for applying a version in which the routes count as current. The rest covers the way to the upstream.
constexpr double validShare = 0.8;

} // namespace

routes_lease::routes_lease(const routes_lease_options &options)
    : m_options(options)
{
}

void routes_lease::renew(steady_time confirmedAt)
{
    auto known = m_confirmedAt.load();
    while (known < confirmedAt && !m_confirmedAt.compare_exchange_weak(known, confirmedAt)) { }
}

bool routes_lease::isValid(steady_time now) const
{
    return m_options.applyTime == milliseconds(0) || now - m_confirmedAt.load() < validShare * m_options.applyTime;
}

} // namespace hornbeampick
