#pragma once

#include "core/clock.h"
#include "fleet/upstream_report.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

/// An upstream as an entry host knows it from all control hosts.
struct known_upstream {
    upstream_report report;
    // Cold until then.
    steady_time coldUntil {};
};

/// Joins what several control hosts say of upstreams: the newest life and report wins, and an upstream is
/// silent only when each control host that knows this life says so. What a control host said that has itself
/// fallen silent no longer counts, as long as some other answers. Single-threaded.
class upstream_directory
{
public:
    /// `source` names a control host, `incarnation` its present life.
    void onReports(const std::string &source, std::uint64_t incarnation, std::span<const upstream_report> reports, steady_time now);

    /// Every upstream that some control host knows, also gone and silent ones.
    [[nodiscard]] std::vector<known_upstream> upstreams(steady_time now) const;

private:
    struct statement {
        upstream_report report;
        steady_time coldUntil {};
        // What a control host said before it restarted counts until then.
        steady_time validUntil = steady_time::max();
    };
    struct source_state {
        std::uint64_t incarnation = 0;
        steady_time heardAt {};
        std::map<instance_name, statement> statements;
    };

    // The end of an upstream's lives, as far as it was told.
    struct farewell {
        // No life up to this one gets work.
        std::uint64_t ended = 0;
        wall_ms leftAt = 0;

        [[nodiscard]] bool ends(std::uint64_t incarnation) const;
    };

    void noteEnd(const upstream_report &report);
    [[nodiscard]] std::uint64_t newestLife(const instance_name &instance, std::uint64_t notAfter) const;
    [[nodiscard]] bool isHeard(const source_state &state, steady_time now) const;

    std::map<std::string, source_state> m_sources;
    std::map<instance_name, farewell> m_farewells;
    steady_time m_lastHeard {};
};

} // namespace hornbeampick
