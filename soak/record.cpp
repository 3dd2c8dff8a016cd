#include "record.h"

#include "core/digest.h"

namespace hornbeampick::soak
{

void recorder::recordClient(client_observation observation)
{
    m_requests.with(stableHash(observation.id), [&](auto &all) {
        const auto id = observation.id;
        all[id].client = std::move(observation);
    });
}

void recorder::recordExecution(upstream_execution run)
{
    m_requests.with(stableHash(run.id), [&](auto &all) { all[run.id].runs.push_back(run); });
}

void recorder::recordExecutionEnd(const std::string &id, const std::string &instance, steady_time at)
{
    m_requests.with(stableHash(id), [&](auto &all) {
        for (auto &run : all[id].runs) {
            if (run.instance == instance && run.endedAt == steady_time::max()) {
                run.endedAt = at;
                return;
            }
        }
    });
}

void recorder::recordSignal(planned_signal seen)
{
    const std::lock_guard guard(m_lock);
    m_others.signals.push_back(std::move(seen));
}

void recorder::recordLoss(upstreams_lost seen)
{
    const std::lock_guard guard(m_lock);
    m_others.losses.push_back(seen);
}

void recorder::recordFaultInterval(fault_interval seen)
{
    const std::lock_guard guard(m_lock);
    m_others.faultIntervals.push_back(std::move(seen));
}

void recorder::recordDeregistration(deregistration seen)
{
    const std::lock_guard guard(m_lock);
    m_others.deregistrations.push_back(std::move(seen));
}

void recorder::recordEvacuation(evacuation seen)
{
    const std::lock_guard guard(m_lock);
    m_others.evacuations.push_back(std::move(seen));
}

void recorder::recordAccepted(routes_accepted seen)
{
    const std::lock_guard guard(m_lock);
    m_others.accepted.push_back(seen);
}

void recorder::recordRead(routes_read seen)
{
    const std::lock_guard guard(m_lock);
    m_others.reads.push_back(std::move(seen));
}

void recorder::recordProbe(routes_probe seen)
{
    const std::lock_guard guard(m_lock);
    m_others.probes.push_back(seen);
}

void recorder::recordFinalState(final_state end)
{
    const std::lock_guard guard(m_lock);
    m_others.end = std::move(end);
}

soak_record recorder::take() const
{
    soak_record all;
    {
        const std::lock_guard guard(m_lock);
        all = m_others;
    }
    m_requests.forEach([&](const auto &shard) {
        for (const auto &[id, observation] : shard) {
            all.requests.push_back(observation);
        }
    });
    return all;
}

} // namespace hornbeampick::soak
