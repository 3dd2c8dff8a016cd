#include "steering/upstream_reachability.h"

namespace hornbeampick
{

namespace
{

// Refusals by this many upstreams in a probe isolate the host although open connections go on.
constexpr std::size_t minRefusals = 3;

} // namespace

upstream_reachability::upstream_reachability(const reachability_options &options)
    : m_options(options)
{
}

void upstream_reachability::onAttempt(steady_time now)
{
    auto none = steady_time {};
    m_waitingSince.compare_exchange_strong(none, now);
}

void upstream_reachability::onResponse()
{
    ++m_responses;
    m_waitingSince = steady_time {};
}

void upstream_reachability::onConnected()
{
    m_connectFailures = 0;
    m_waitingSince = steady_time {};
}

void upstream_reachability::onConnectFailure()
{
    ++m_connectFailures;
}

bool upstream_reachability::isSuspect(steady_time now) const
{
    const auto waitingSince = m_waitingSince.load();
    return m_connectFailures >= m_options.connectFailures || (waitingSince != steady_time {} && now >= waitingSince + m_options.silence);
}

void upstream_reachability::beginProbe()
{
    m_responsesBeforeProbe = m_responses;
}

bool upstream_reachability::onProbe(probe_outcome outcome, std::size_t probed)
{
    const bool hasResponses = m_responses != m_responsesBeforeProbe;
    const bool isConclusive = !hasResponses || (outcome == probe_outcome::refused && probed >= minRefusals);
    const bool isolated = outcome != probe_outcome::reached && isConclusive;
    if (!isolated) {
        onConnected();
    }
    return m_isolated.exchange(isolated) != isolated;
}

} // namespace hornbeampick
