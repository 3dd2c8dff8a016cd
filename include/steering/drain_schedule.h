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

/// When a request ends.
struct request_times {
    // The request has ended by then.
    steady_time deadline {};
    // How long requests of its service usually run; 0 when unknown.
    milliseconds usualRunTime {0};
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
    /// Returns true when an attempt may start at `now`: its request ends before the process does, or the drain began shortly before, and
    /// the request has more than half of the time between then and the end of the process to run and is expected to end within it.
    [[nodiscard]] bool mayStart(steady_time now, const request_times &request) const;

private:
    steady_time m_end;
    steady_time m_acceptUntil;
    // Until then requests with later deadlines are taken.
    steady_time m_lateDeadlinesUntil;
    // The latest deadline of which the response still reaches the caller.
    steady_time m_lastDeadline;
};

} // namespace hornbeampick
