#pragma once

#include "core/clock.h"
#include "fleet/upstream_death.h"
#include "fleet/upstream_report.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

struct announcement_log_options {
    /// An upstream without a report for this long is marked silent.
    milliseconds heartbeatTimeout {4500};
    /// The record of a silent or gone upstream is kept this long, so that late, outdated reports are not taken for a new upstream.
    milliseconds tombstoneRetention {60000};
};

/// The latest announcement of each upstream that reported to this control host, ordered by change.
///
/// Every change gets the next position, from which watchers resume. A report that only repeats the known state is a
/// heartbeat: it refreshes the record and gets no position. Thread-safe.
class announcement_log
{
public:
    explicit announcement_log(const announcement_log_options &options = {});

    /// Sets the services that the routes in force know. Until then only upstreams of the same service take over an address.
    void setServices(std::set<service_name> services);
    /// Applies a report. Returns the position that a watcher must have reached to know it; an outdated report changes nothing.
    std::uint64_t report(const upstream_report &incoming, steady_time now);
    /// Loads the records that an earlier process of this host had saved. Must be called before any report is applied.
    void restore(std::span<const upstream_report> known, steady_time now);
    /// Marks upstreams as silent and removes expired tombstones. Returns true when there is a change for watchers.
    bool expire(steady_time now);

    /// Records that a request made an upstream terminate. Returns false when the event is already known.
    bool reportDeath(const upstream_death &death);
    /// Returns the retained deaths that were recorded after `position`, oldest first.
    [[nodiscard]] std::vector<upstream_death> deathsAfter(std::uint64_t position) const;

    /// Returns the position of the last change; 0 before the first one.
    [[nodiscard]] std::uint64_t position() const;
    /// Returns the reports that changed after `position`, with `warmupLeft` as of `now`.
    [[nodiscard]] std::vector<upstream_report> changedAfter(std::uint64_t position, steady_time now) const;

private:
    struct record {
        upstream_report report;
        steady_time lastReportAt {};
        steady_time warmupEnd {};
        std::uint64_t position = 0;
    };

    struct death_record {
        upstream_death death;
        std::uint64_t position = 0;
    };

    std::uint64_t deregister(const upstream_report &incoming, steady_time now);
    [[nodiscard]] bool isAddressTakenOver(const upstream_report &incoming) const;
    void retireEarlierAtAddress(const upstream_report &incoming);
    [[nodiscard]] static bool isChange(const record &known, const upstream_report &incoming, steady_time now);

    announcement_log_options m_options;
    mutable std::mutex m_lock;
    // Guarded by m_lock.
    std::map<instance_name, record> m_records;
    std::set<service_name> m_services;
    std::vector<death_record> m_deaths;
    std::uint64_t m_position = 0;
};

} // namespace hornbeampick
