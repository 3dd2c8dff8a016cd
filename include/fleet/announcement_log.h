#pragma once

#include "core/clock.h"
#include "fleet/upstream_death.h"
#include "fleet/upstream_report.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

struct announcement_log_options {
    // An upstream that says nothing for this long counts as silent.
    milliseconds silentAfter {4500};
    // A gone upstream is remembered this long, so that older news of it is not taken for new.
    milliseconds tombstoneFor {60000};
};

/// What upstreams announced to one control host, numbered by change.
///
/// Reports that repeat what is known refresh the record and get no number. Thread-safe.
class announcement_log
{
public:
    explicit announcement_log(const announcement_log_options &options = {});

    /// Takes a report in. Returns the position from which watchers know what it says; an outdated report changes nothing.
    std::uint64_t report(const upstream_report &heard, steady_time now);
    /// Takes in what an earlier process of this host knew. Before any report.
    void restore(std::span<const upstream_report> known, steady_time now);
    /// Marks upstreams as silent and forgets old tombstones. Returns true when something changed for watchers.
    bool expire(steady_time now);

    /// Takes in that an upstream died of a request; false when that is known.
    bool reportDeath(const upstream_death &death);
    [[nodiscard]] std::vector<upstream_death> deathsAfter(std::uint64_t position) const;

    /// Position of the last change.
    [[nodiscard]] std::uint64_t position() const;
    /// Records that changed after `position`, with the cold time that is left now.
    [[nodiscard]] std::vector<upstream_report> changedAfter(std::uint64_t position, steady_time now) const;

private:
    struct record {
        upstream_report report;
        steady_time heardAt {};
        steady_time coldUntil {};
        std::uint64_t position = 0;
    };

    struct numbered_death {
        upstream_death death;
        std::uint64_t position = 0;
    };

    std::uint64_t takeFarewell(const upstream_report &heard, steady_time now);
    [[nodiscard]] bool addressIsTaken(const upstream_report &heard) const;
    void retireFormerHolders(const upstream_report &heard);
    [[nodiscard]] static bool tellsNews(const record &known, const upstream_report &heard, steady_time now);

    announcement_log_options m_options;
    mutable std::mutex m_lock;
    // Guarded by m_lock.
    std::map<instance_name, record> m_records;
    std::vector<numbered_death> m_deaths;
    std::uint64_t m_position = 0;
};

} // namespace hornbeampick
