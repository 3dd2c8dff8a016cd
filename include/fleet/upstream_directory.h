#pragma once

#include "core/clock.h"
#include "fleet/upstream_report.h"

#include <cstdint>
#include <map>
#include <optional>
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

    bool operator==(const known_upstream &) const = default;
};

/// Merges the upstream reports of several control hosts.
///
/// The latest incarnation and the latest report win. An upstream is silent only when every control host that knows this
/// incarnation reports it as silent. Reports from an unreachable control host count as silent, unless all control hosts are
/// unreachable. The cost of an answer that changes nothing does not depend on the number of upstreams. Not thread-safe.
class upstream_directory
{
public:
    /// Applies the reports of the control host `source`, whose process has the given `incarnation`.
    void onReports(const std::string &source, std::uint64_t incarnation, std::span<const upstream_report> reports, steady_time now);

    /// Sets the services that the routes in force know. Until then only upstreams of the same service take over an address.
    void setServices(std::set<service_name> services);

    /// Returns the upstreams whose merged state may have changed since the last call, including gone and silent ones.
    [[nodiscard]] std::vector<known_upstream> takeChanges(steady_time now);

    /// Returns every upstream that any control host knows, including gone and silent ones.
    [[nodiscard]] std::vector<known_upstream> upstreams(steady_time now) const;

private:
    struct source_state {
        std::uint64_t incarnation = 0;
        steady_time lastContactAt {};
        // As of the last merge.
        bool wasReachable = true;
    };
    // What one control host says of an upstream.
    struct observation {
        upstream_report report;
        steady_time warmupEnd {};
        // Set when the control host has restarted: afterwards the observation counts as silent.
        steady_time validUntil = steady_time::max();
    };
    // The deregistrations of one upstream that have been received.
    struct deregistration {
        // Incarnations up to this one receive no requests.
        std::uint64_t lastEnded = 0;
        wall_ms leftAt = 0;

        [[nodiscard]] bool covers(std::uint64_t incarnation) const;
    };
    struct upstream_record {
        // By control host.
        std::map<std::string, observation> observations;
        // The report from which the failure domain was first learnt, by the latest incarnation.
        upstream_report firstReport;
        std::optional<deregistration> deregistered;
        // Address under which the upstream is filed in `m_byAddress`; empty when it has none.
        std::string address;
    };
    struct merged_upstream {
        // Null when no control host knows more than a deregistration.
        const upstream_report *newest = nullptr;
        bool silent = true;
        steady_time warmupEnd {};
    };
    using upstream_records = std::map<instance_name, upstream_record>;

    static void recordDeregistration(upstream_record &upstream, const upstream_report &report);
    static std::uint64_t latestIncarnation(const upstream_record &upstream, std::uint64_t notAfter);
    static const upstream_report *newestReport(const upstream_record &upstream);
    void fileByAddress(const instance_name &instance, upstream_record &upstream);
    void markAllChanged();
    void markChangedByTime(steady_time now);
    [[nodiscard]] bool isReachable(const source_state &state, steady_time now) const;
    [[nodiscard]] merged_upstream merge(const upstream_record &upstream, steady_time now) const;
    [[nodiscard]] bool isTakenOver(const upstream_report &report) const;
    [[nodiscard]] known_upstream stateOf(const upstream_record &upstream, const merged_upstream &merged) const;

    std::map<std::string, source_state> m_sources;
    upstream_records m_upstreams;
    // The upstreams whose newest report names an address.
    std::map<std::string, std::set<instance_name>, std::less<>> m_byAddress;
    std::set<service_name> m_services;
    steady_time m_lastContactAt {};
    // Upstreams whose state has to be merged again.
    std::set<instance_name> m_changed;
    // The earliest `validUntil` that has not passed at the last merge.
    steady_time m_nextExpiry = steady_time::max();
};

} // namespace hornbeampick
