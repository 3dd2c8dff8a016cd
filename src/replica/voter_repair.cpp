#include "replica/voter_repair.h"

#include <algorithm>

namespace hornbeampick
{

voter_repair::voter_repair(std::size_t targetVoters, milliseconds memberTimeout)
    : m_targetVoters(targetVoters)
    , m_memberTimeout(memberTimeout)
{
}

void voter_repair::onJoinRequest(const replica_id &replica, steady_time now)
{
    std::erase_if(m_joins, [&](const join_request &join) { return join.replica.host == replica.host; });
    m_joins.push_back({.replica = replica, .requestedAt = now});
}

std::optional<replica_config> voter_repair::nextConfig(const replica_core &core, steady_time now)
{
    std::erase_if(m_joins, [&](const join_request &join) {
        const bool known = core.config().isVoter(join.replica.disk) || core.config().isLearner(join.replica.disk);
        return known || now > join.requestedAt + m_memberTimeout;
    });
    if (!core.hasCommittedInTerm() || core.configIndex() > core.commitIndex()) {
        return std::nullopt;
    }
    if (auto promoted = configWithPromotion(core, now)) {
        return promoted;
    }
    return configWithLearner(core.config());
}

std::optional<replica_id> voter_repair::unresponsiveVoter(const replica_core &core, steady_time now) const
{
    for (const auto &voter : core.config().voters) {
        const auto progress = core.progress().find(voter.disk);
        if (progress != core.progress().end() && now > progress->second.lastReply + m_memberTimeout) {
            return voter;
        }
    }
    return std::nullopt;
}

std::optional<replica_config> voter_repair::configWithLearner(const replica_config &config) const
{
    for (const auto &join : m_joins) {
        replica_config changed = config;
        std::erase_if(changed.learners, [&](const replica_id &learner) { return learner.host == join.replica.host; });
        changed.learners.push_back(join.replica);
        return changed;
    }
    return std::nullopt;
}

std::optional<replica_config> voter_repair::configWithPromotion(const replica_core &core, steady_time now) const
{
    const auto &config = core.config();
    for (const auto &learner : config.learners) {
        const auto progress = core.progress().find(learner.disk);
        if (progress == core.progress().end()) {
            continue;
        }
        const bool caughtUp = progress->second.match >= core.commitIndex() && now < progress->second.lastReply + m_memberTimeout;
        if (!caughtUp) {
            continue;
        }
        replica_config changed = config;
        const auto replaced = std::ranges::find(changed.voters, learner.host, &replica_id::host);
        if (replaced != changed.voters.end()) {
            changed.voters.erase(replaced);
            return changed;
        }
        if (config.voters.size() < m_targetVoters) {
            std::erase(changed.learners, learner);
            changed.voters.push_back(learner);
            return changed;
        }
        // With the target number of voters reached, an unresponsive voter is removed so that a learner on another host can replace it.
        if (const auto unresponsive = unresponsiveVoter(core, now)) {
            std::erase(changed.voters, *unresponsive);
            return changed;
        }
    }
    return std::nullopt;
}

} // namespace hornbeampick
