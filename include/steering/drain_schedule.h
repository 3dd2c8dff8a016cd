#pragma once

#include "core/clock.h"

namespace hornbeampick
{

struct drain_options {
    /// Time from the start of the drain until the process is killed.
    milliseconds grace {6000};
    /// How long callers cache a look-up that names this host.
    milliseconds lookupLifetime {1000};
};

/// Decides until when a draining host accepts connections, which requests it still takes, and when it ends. A request that could
/// outlive the host is refused while it has not run, so that its caller can send it elsewhere. Immutable.
class drain_schedule
{
public:
    drain_schedule(const drain_options &options, steady_time startedAt);

    /// Returns when the process ends, with or without requests in progress.
    [[nodiscard]] steady_time end() const
    {
        return m_end;
    }
    /// Returns until when new connections are accepted.
    [[nodiscard]] steady_time acceptUntil() const
    {
        return m_acceptUntil;
    }
    /// Returns true when an attempt may start at `now` for a request with this deadline: the request ends before the process does, or
    /// has more than half of the time between the start of the drain and the end of the process to run.
    [[nodiscard]] bool mayStart(steady_time now, steady_time deadline) const
    {
        return deadline <= m_lastDeadline || now < m_halftime;
    }

private:
    steady_time m_end;
    steady_time m_acceptUntil;
    steady_time m_halftime;
    // The latest deadline of which the response still reaches the caller.
    steady_time m_lastDeadline;
};

} // namespace hornbeampick
