#pragma once

#include "core/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hornbeampick
{

/// How the upstream of a request was chosen. It determines how likely the object is warm there, and so which durations can be compared.
enum class object_placement : std::uint8_t {
    // The request has no object.
    none,
    // The first upstream of the object.
    first,
    // The second upstream of the object.
    second,
    // Any upstream with spare slots.
    spare,
};

/// The duration of one successful request.
struct speed_sample {
    object_placement placement = object_placement::none;
    double durationMs = 0;
    // Requests that the upstream ran at the end, including this one, as a fraction of its slots.
    double utilisation = 0;
    // The slowness that the upstream reported with the response; empty when there is none or it is out of range.
    std::optional<double> slowness {};
    // The request ended without a response, so that it would have taken at least this long.
    bool isLowerBound = false;
};

/// Number of ranges of utilisation for which durations are learned separately.
constexpr std::size_t utilisationLevels = 4;

/// Returns the range that contains `utilisation`; 0 is the lowest.
std::size_t utilisationLevelOf(double utilisation);

/// Returns `slowness` when it is a figure that a machine can plausibly report, otherwise empty.
std::optional<double> plausibleSlowness(std::optional<double> slowness);

/// What one host has learned of the durations of a service: the usual duration for each placement, how it grows with the utilisation of an
/// upstream, and how well reported slowness predicts it. Times are smoothed as logarithms, so that a few very long ones weigh little.
/// Not thread-safe.
class service_pace
{
public:
    /// Records a sample. `upstreamLogTime` is the learned logarithm of the slowness of its upstream, `reportedChange` the change of the
    /// logarithm of its reported slowness.
    void record(const speed_sample &sample, double upstreamLogTime, double reportedChange);

    /// Returns the usual duration at low utilisation in milliseconds; 0 before the first sample.
    [[nodiscard]] double usualMs(object_placement placement) const;
    /// Returns the logarithm of the sample's duration relative to the usual one of its placement at low utilisation; 0 before the
    /// first sample of that.
    [[nodiscard]] double logRatioOf(const speed_sample &sample) const;
    /// Returns the logarithm of the growth of durations from the lowest utilisation to `level`; at least 0.
    [[nodiscard]] double growthAt(std::size_t level) const;
    /// Returns the fraction of a change of reported slowness that durations show, 0 to 1.
    [[nodiscard]] double reportWeight() const;

private:
    struct placement_time {
        double logMs = 0;
        std::uint32_t samples = 0;
    };
    std::array<placement_time, 4> m_usual {};
    // As sampled at each level; growthAt makes it monotonic.
    std::array<double, utilisationLevels> m_growth {};
    // Smoothed products of the change of reported slowness with the change of durations and with itself.
    double m_reportProduct = 0;
    double m_reportSquare = 0;
};

/// Learns how slow an upstream is relative to its service, and how many requests at once it handles well.
///
/// Durations are compared with those of the same service and placement, so that cold objects do not make an upstream look slow. For each
/// range of utilisation it keeps the deviation from the service, which decays to the long-term deviation without samples. The limit is the
/// number of running requests with the highest learned throughput. A range without recent samples counts as usual, so that a slow upstream
/// is tried with fewer and later again with more requests.
///
/// One object for each incarnation of an upstream. Not thread-safe.
class concurrency_limit
{
public:
    /// Records the start of a request that found a free slot.
    void onStarted(steady_time now);
    /// Records the end of a request that was started at `startedAt`.
    void onEnded(steady_time startedAt);
    /// Records the duration of a request.
    void record(const speed_sample &sample, service_pace &pace, steady_time now);
    /// Records a slowness that the upstream reported in any response.
    void report(double slowness, steady_time now);

    /// Returns the expected time of a request relative to the usual one of its service, with `utilisation` of the slots in use.
    [[nodiscard]] double slowness(double utilisation, const service_pace &pace, steady_time now) const;
    /// Returns how many requests the upstream should run, from 1 to `slots`.
    [[nodiscard]] double limit(std::uint32_t slots, const service_pace &pace, steady_time now) const;

private:
    struct level_deviation {
        // Logarithm of the slowness beyond the long-term one.
        double logTime = 0;
        steady_time sampledAt {};
    };

    [[nodiscard]] double deviationAt(std::size_t level, steady_time now) const;
    [[nodiscard]] double reportedChange(steady_time now) const;
    [[nodiscard]] double logTimeAt(std::size_t level, const service_pace &pace, steady_time now) const;
    [[nodiscard]] double overdueLogTime(const service_pace &pace, steady_time now) const;

    // Logarithm of the long-term slowness relative to the service.
    double m_base = 0;
    std::uint32_t m_samples = 0;
    std::array<level_deviation, utilisationLevels> m_levels {};
    // Logarithms of the last reported slowness and of the usual one.
    double m_reported = 0;
    double m_usualReported = 0;
    std::optional<steady_time> m_reportedAt;
    // Start times of running requests that found a free slot, oldest first.
    std::vector<steady_time> m_running;
};

} // namespace hornbeampick
