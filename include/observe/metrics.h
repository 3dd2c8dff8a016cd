#pragma once

#include "core/control_meter.h"
#include "core/names.h"

#include <memory>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// The counters, gauges and histograms of one daemon, exposed in the Prometheus text format. Thread-safe.
class metrics final : public control_meter
{
public:
    metrics();
    ~metrics() override;
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    /// Records the duration of one hop of a request: entry, forward, claim or attempt.
    void observeHop(const service_name &service, std::string_view hop, microseconds taken);
    /// Counts an answer to a caller; `code` is "answered" for an upstream's answer, otherwise the error code.
    void countAnswer(const service_name &service, std::string_view code);
    void countRetry(const service_name &service);
    void countClaim(std::string_view outcome);
    /// Counts one action of a limit on what callers hold.
    void countIntakeLimit(std::string_view limit);
    void countLookup(const service_name &service);
    void onSent(std::string_view mechanism, std::size_t bytes) override;
    void onProcessorTime(std::string_view mechanism, microseconds processorTime) override;
    /// Sets the smallest and largest learned limit of a service's upstreams, as fractions of their slots, and the learned slowness likewise.
    void setLearnedLimits(const service_name &service, double smallest, double largest);
    void setLearnedSlowness(const service_name &service, double smallest, double largest);
    void setHeadroom(const service_name &service, const region_name &region, double freeSlots);
    /// Sets the share of a service's objects that this host sends to other regions, and the utilisations from which it was set.
    void setOverflow(const service_name &service, double share, double homeUtilisation, double othersUtilisation);
    void setRuleVersion(std::uint64_t version);
    void setReplicaRole(std::string_view role);
    void setMembers(std::string_view state, std::size_t count);
    void observeDrain(std::string_view target, milliseconds taken);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace hornbeampick
