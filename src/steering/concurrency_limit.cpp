#include "steering/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace hornbeampick
{

namespace
{

// Weight of a new sample in the usual durations of a service. The first samples count more.
constexpr double usualGain = 0.05;
// Weights by utilisation. When most samples come from full upstreams, longer durations are taken for growth rather than for a slower service.
constexpr std::array usualLevelWeights {1.0, 1.0, 0.4, 0.1};
// Weight of a new sample in the growth of durations with utilisation.
constexpr double growthGain = 0.03;
constexpr double maxGrowth = 2;
// Weight of a new sample in the relation between reported slowness and durations, and the weight in samples of the initial one.
constexpr double reportGain = 0.03;
constexpr double initialReportSquare = 0.02;
constexpr double initialReportWeight = 0.5;
// Weights of a sample in the deviation at its utilisation. An upstream that becomes slow has to be noticed within a few requests.
constexpr double slowerGain = 0.3;
constexpr double fasterGain = 0.2;
// Fraction of a sample's effect on the other ranges of utilisation: a slow response says much of higher utilisations and little of lower ones, a
// fast response the reverse.
constexpr double strongCorrelation = 0.9;
constexpr double weakCorrelation = 0.4;
// Weight of a sample in the long-term slowness: 1 / (samples + baseInertia), but at least this.
constexpr double minBaseGain = 0.03;
constexpr double baseInertia = 8;
// A single sample counts as at most this deviation, a factor of 3.3. Warm and cold objects differ by a factor of 3.
constexpr double maxResidual = 1.2;
// The deviation at a utilisation without samples decays to the long-term slowness by a factor of e within this time.
constexpr milliseconds deviationLifetime {6000};
// A reported slowness is believed in full for the first time, and decays to the learned value until the second.
constexpr milliseconds reportBelievedFor {500};
constexpr milliseconds reportLifetime {1500};
constexpr double minReportedSlowness = 0.1;
constexpr double maxReportedSlowness = 50;
// Largest change of reported slowness that is believed, as a logarithm: a factor of 4.
constexpr double maxReportedChange = 1.4;
// The limit is lowered only when that raises the learned throughput by at least this factor. Smaller gains are within the noise of samples.
constexpr double minThroughputGain = 1.15;
// A running request is overdue when it has taken this many times as long as expected for a cold object.
constexpr double overdueFactor = 1.5;

double decayed(double value, steady_time::duration age, milliseconds lifetime)
{
    return value * std::exp(-std::max(0.0, std::chrono::duration<double>(age) / std::chrono::duration<double>(lifetime)));
}

} // namespace

std::size_t utilisationLevelOf(double utilisation)
{
    const double position = std::ceil(std::clamp(utilisation, 0.0, 1.0) * static_cast<double>(utilisationLevels));
    return static_cast<std::size_t>(std::max(position, 1.0)) - 1;
}

std::optional<double> plausibleSlowness(std::optional<double> slowness)
{
    const bool isPlausible = slowness && *slowness >= minReportedSlowness && *slowness <= maxReportedSlowness;
    return isPlausible ? slowness : std::nullopt;
}

void service_pace::record(const speed_sample &sample, double upstreamLogTime, double reportedChange)
{
    if (sample.durationMs <= 0 || sample.isLowerBound) {
        return;
    }
    const auto level = utilisationLevelOf(sample.utilisation);
    auto &usual = m_usual.at(static_cast<std::size_t>(sample.placement));
    ++usual.samples;
    const double logMs = std::log(sample.durationMs);
    usual.logMs += std::max(usualGain * usualLevelWeights.at(level), 1.0 / usual.samples) * (logMs - growthAt(level) - usual.logMs);

    const double residual = std::clamp(logMs - usual.logMs - upstreamLogTime, -maxResidual, maxResidual);
    if (level > 0) {
        m_growth.at(level) += growthGain * (residual - m_growth.at(level));
    }
    if (sample.slowness) {
        const double change = residual - growthAt(level);
        m_reportProduct += reportGain * (reportedChange * change - m_reportProduct);
        m_reportSquare += reportGain * (reportedChange * reportedChange - m_reportSquare);
    }
}

double service_pace::growthAt(std::size_t level) const
{
    const auto *last = m_growth.data() + level + 1;
    return std::clamp(*std::max_element(m_growth.data(), last), 0.0, maxGrowth);
}

double service_pace::usualMs(object_placement placement) const
{
    const auto &usual = m_usual.at(static_cast<std::size_t>(placement));
    if (usual.samples > 0) {
        return std::exp(usual.logMs);
    }
    const auto &first = m_usual.at(static_cast<std::size_t>(object_placement::first));
    return first.samples > 0 ? std::exp(first.logMs) : 0;
}

double service_pace::logRatioOf(const speed_sample &sample) const
{
    // The first sample of a placement is not compared with other placements: its object may be cold where theirs were warm.
    const auto &usual = m_usual.at(static_cast<std::size_t>(sample.placement));
    return usual.samples > 0 && sample.durationMs > 0 ? std::log(sample.durationMs) - usual.logMs : 0;
}

double service_pace::reportWeight() const
{
    const double weight = (m_reportProduct + initialReportWeight * initialReportSquare) / (m_reportSquare + initialReportSquare);
    return std::clamp(weight, 0.0, 1.0);
}

void concurrency_limit::onStarted(steady_time now)
{
    m_running.push_back(now);
}

void concurrency_limit::onEnded(steady_time startedAt)
{
    const auto found = std::ranges::find(m_running, startedAt);
    if (found != m_running.end()) {
        m_running.erase(found);
    }
}

void concurrency_limit::report(double slowness, steady_time now)
{
    m_reported = std::log(slowness);
    m_usualReported = m_reportedAt ? m_usualReported : m_reported;
    m_reportedAt = now;
}

void concurrency_limit::record(const speed_sample &sample, service_pace &pace, steady_time now)
{
    const auto level = utilisationLevelOf(sample.utilisation);
    const double change = sample.slowness ? std::clamp(std::log(*sample.slowness) - m_usualReported, -maxReportedChange, maxReportedChange) : 0;
    const double deviation = deviationAt(level, now);
    const double expected = pace.growthAt(level) + m_base + deviation + pace.reportWeight() * change;
    const double residual = std::clamp(pace.logRatioOf(sample) - expected, -maxResidual, maxResidual);
    if (sample.isLowerBound && residual <= 0) {
        return;
    }
    pace.record(sample, m_base, change);

    ++m_samples;
    const double gain = residual > 0 ? slowerGain : fasterGain;
    for (std::size_t i = 0; i < m_levels.size(); ++i) {
        const bool isStrong = (i > level) == (residual > 0);
        const double correlation = i == level ? 1 : isStrong ? strongCorrelation : weakCorrelation;
        auto &each = m_levels.at(i);
        each = {.logTime = deviationAt(i, now) + correlation * gain * residual, .sampledAt = now};
    }
    const double baseResidual = std::clamp(residual + deviation, -maxResidual, maxResidual);
    m_base += std::max(minBaseGain, 1 / (m_samples + baseInertia)) * baseResidual;
    if (sample.slowness) {
        m_usualReported += gain * (std::log(*sample.slowness) - m_usualReported);
    }
}

double concurrency_limit::deviationAt(std::size_t level, steady_time now) const
{
    const auto &each = m_levels.at(level);
    return decayed(each.logTime, now - each.sampledAt, deviationLifetime);
}

double concurrency_limit::reportedChange(steady_time now) const
{
    if (!m_reportedAt) {
        return 0;
    }
    const double age = std::chrono::duration<double>(now - *m_reportedAt) / std::chrono::duration<double>(reportBelievedFor);
    const double lifetime = std::chrono::duration<double>(reportLifetime) / std::chrono::duration<double>(reportBelievedFor);
    const double belief = std::clamp((lifetime - age) / (lifetime - 1), 0.0, 1.0);
    return belief * std::clamp(m_reported - m_usualReported, -maxReportedChange, maxReportedChange);
}

double concurrency_limit::logTimeAt(std::size_t level, const service_pace &pace, steady_time now) const
{
    return pace.growthAt(level) + m_base + deviationAt(level, now) + pace.reportWeight() * reportedChange(now);
}

// Logarithm of the slowness that the oldest running request shows already.
double concurrency_limit::overdueLogTime(const service_pace &pace, steady_time now) const
{
    if (m_running.empty()) {
        return 0;
    }
    const double coldMs = std::max({pace.usualMs(object_placement::spare), pace.usualMs(object_placement::first), pace.usualMs(object_placement::none)});
    const double ageMs = std::chrono::duration<double, std::milli>(now - m_running.front()).count();
    return coldMs > 0 && ageMs > overdueFactor * coldMs ? std::log(ageMs / coldMs) : 0;
}

double concurrency_limit::slowness(double utilisation, const service_pace &pace, steady_time now) const
{
    return std::exp(std::max(logTimeAt(utilisationLevelOf(utilisation), pace, now), overdueLogTime(pace, now)));
}

double concurrency_limit::limit(std::uint32_t slots, const service_pace &pace, steady_time now) const
{
    const double all = std::max(slots, 1U);
    const auto highest = utilisationLevels - 1;
    double best = all;
    double bestThroughput = minThroughputGain * all / std::exp(logTimeAt(highest, pace, now));
    for (std::size_t i = highest; i-- > 0;) {
        const double running = std::max(1.0, all * static_cast<double>(i + 1) / static_cast<double>(utilisationLevels));
        const double throughput = running / std::exp(logTimeAt(i, pace, now));
        if (throughput > bestThroughput) {
            best = running;
            bestThroughput = throughput;
        }
    }
    return best;
}

} // namespace hornbeampick
