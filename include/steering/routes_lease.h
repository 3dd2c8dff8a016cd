#pragma once

#include "core/clock.h"

#include <atomic>

namespace hornbeampick
{

struct routes_lease_options {
    /// Time in which a version of the routes has to be in force on every entry host after it was accepted; 0 for a lease that never expires.
    milliseconds applyTime {0};
};

/// Tells whether the routes of this host are known to be current enough to decide in which regions a request may be handled.
///
/// A control host confirms that no newer version had been accepted at some time. The allowed regions of a route may change with every
/// version, so that a host that hears no control host cannot tell them. Times are those of `clock_source::bootNow`, since a version may be
/// accepted while this machine is suspended. Thread-safe.
class routes_lease
{
public:
    explicit routes_lease(const routes_lease_options &options = {});

    /// Records that the routes of this host were the newest at `confirmedAt`. An earlier time than before changes nothing.
    void renew(steady_time confirmedAt);
    [[nodiscard]] bool isValid(steady_time now) const;

private:
    routes_lease_options m_options;
    std::atomic<steady_time> m_confirmedAt {steady_time {}};
};

} // namespace hornbeampick
