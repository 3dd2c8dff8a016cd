#pragma once

#include "core/clock.h"
#include "fleet/entry_host_list.h"
#include "limits/quota_ledger.h"
#include "replica/replica_engine.h"
#include "rules/routing_table.h"

#include <mutex>

namespace hornbeampick
{

struct quota_server_options {
    quota_options quota {};
    /// A leader that a majority has not confirmed for this long grants nothing. Shorter than the time in which a successor can be elected.
    milliseconds confirmedWithin {400};
    /// Entry hosts that have not queried for this long count as using their floors.
    milliseconds quietAfter {800};
};

/// Grants quotas on the control host that leads the replicated log. Thread-safe.
///
/// A machine that was suspended may believe that it still leads. Such a host grants nothing until a majority has confirmed its leadership anew.
class quota_server
{
public:
    /// All references must outlive the server.
    quota_server(const quota_server_options &options, const entry_host_list &hosts, clock_source &clock);

    void setRouting(const routing_table &table);
    /// Records the state of the log's replica. To be called several times a second.
    void setView(const replica_view &view);
    [[nodiscard]] quota_answer onDraw(const quota_draw &draw);
    /// Returns true while this host grants quotas.
    [[nodiscard]] bool isGranting();

    [[nodiscard]] const quota_ledger &ledger() const
    {
        return m_ledger;
    }

private:
    void logExhausted(const quota_grant &grant, const fleet_presence &fleet) const;
    [[nodiscard]] bool mayGrant(steady_time now);

    quota_server_options m_options;
    const entry_host_list &m_hosts;
    clock_source &m_clock;
    quota_ledger m_ledger;

    std::mutex m_lock;
    // Guarded by m_lock.
    replica_view m_view;
    bool m_leading = false;
    // Time for which the machine has been suspended since its start.
    steady_time::duration m_suspended {};
    // Confirmations up to this time are from before a suspension.
    steady_time m_distrustUntil {};
};

} // namespace hornbeampick
