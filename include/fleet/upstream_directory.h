#pragma once

#include "core/clock.h"
#include "fleet/upstream_report.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

/// The state of an upstream, merged from the reports of all control hosts.
struct known_upstream {
    upstream_report report;
    /// End of the warm-up period.
    steady_time warmupEnd {};
};

/// Merges the upstream reports of several control hosts.
///
/// The latest incarnation and the latest report win. An upstream is silent only when every control host that knows this
/// incarnation reports it as silent. Reports from an unreachable control host count as silent, unless all control hosts are
/// unreachable. Not thread-safe.
class upstream_directory
{
public:
    /// Applies the reports of the control host `source`, whose process has the given `incarnation`.
    void onReports(const std::string &source, std::uint64_t incarnation, std::span<const upstream_report> reports, steady_time now);

    /// Sets the services that the routes in force know. Until then only upstreams of the same service take over an address.
    void setServices(std::set<service_name> services);

    /// Returns every upstream that any control host knows, including gone and silent ones.
    [[nodiscard]] std::vector<known_upstream> upstreams(steady_time now) const;

private:
    struct observation {
        upstream_report report;
        steady_time warmupEnd {};
        // Set when the control host has restarted: afterwards the observation counts as silent.
        steady_time validUntil = steady_time::max();
    };
    struct source_state {
        std::uint64_t incarnation = 0;
        steady_time lastContactAt {};
        std::map<instance_name, observation> observations;
    };

    // The deregistrations of one upstream that have been received.
    struct deregistration {
        // Incarnations up to this one receive no requests.
        std::uint64_t lastEnded = 0;
        wall_ms leftAt = 0;

        [[nodiscard]] bool covers(std::uint64_t incarnation) const;
    };

    void recordDeregistration(const upstream_report &report);
    [[nodiscard]] std::uint64_t latestIncarnation(const instance_name &instance, std::uint64_t notAfter) const;
    [[nodiscard]] bool isReachable(const source_state &state, steady_time now) const;

    std::map<std::string, source_state> m_sources;
    // The report from which the failure domain of each upstream was first learnt, by its latest incarnation.
    std::map<instance_name, upstream_report> m_firstReports;
    std::set<service_name> m_services;
    std::map<instance_name, deregistration> m_deregistrations;
    steady_time m_lastContactAt {};
};

} // namespace hornbeampick
