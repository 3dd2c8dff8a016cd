#include "record.h"

#include "core/digest.h"

namespace hornbeampick::soak
{

void recorder::noteCaller(caller_story story)
{
    m_requests.with(stableHash(story.id), [&](auto &all) {
        const auto id = story.id;
        all[id].caller = std::move(story);
    });
}

void recorder::noteRun(upstream_run run)
{
    m_requests.with(stableHash(run.id), [&](auto &all) { all[run.id].runs.push_back(run); });
}

void recorder::noteDisturbance(disturbance seen)
{
    const std::lock_guard guard(m_lock);
    m_rest.disturbances.push_back(std::move(seen));
}

void recorder::noteLeaving(leaving seen)
{
    const std::lock_guard guard(m_lock);
    m_rest.leavings.push_back(std::move(seen));
}

void recorder::noteAccepted(routes_accepted seen)
{
    const std::lock_guard guard(m_lock);
    m_rest.accepted.push_back(seen);
}

void recorder::noteRead(routes_read seen)
{
    const std::lock_guard guard(m_lock);
    m_rest.reads.push_back(std::move(seen));
}

void recorder::noteProbe(routes_probe seen)
{
    const std::lock_guard guard(m_lock);
    m_rest.probes.push_back(seen);
}

void recorder::setEnd(last_look end)
{
    const std::lock_guard guard(m_lock);
    m_rest.end = std::move(end);
}

soak_record recorder::take() const
{
    soak_record all;
    {
        const std::lock_guard guard(m_lock);
        all = m_rest;
    }
    m_requests.each([&](const auto &shard) {
        for (const auto &[id, story] : shard) {
            all.requests.push_back(story);
        }
    });
    return all;
}

} // namespace hornbeampick::soak
