#include "replica/voter_repair.h"

#include <algorithm>

namespace hornbeampick
{

voter_repair::voter_repair(std::size_t targetVoters, milliseconds patience)
    : m_targetVoters(targetVoters)
    , m_patience(patience)
{
}

void voter_repair::onJoin(const replica_id &replica, steady_time now)
{
    std::erase_if(m_joins, [&](const join_request &join) { return join.replica.host == replica.host; });
    m_joins.push_back({.replica = replica, .askedAt = now});
}

std::optional<replica_config> voter_repair::next(const replica_core &core, steady_time now)
{
    std::erase_if(m_joins, [&](const join_request &join) {
        const bool known = core.config().isVoter(join.replica.disk) || core.config().isLearner(join.replica.disk);
        return known || now > join.askedAt + m_patience;
    });
    if (!core.leadsWithCommit() || core.configIndex() > core.commitIndex()) {
        return std::nullopt;
    }
    if (auto promoted = withPromotion(core, now)) {
        return promoted;
    }
    return withLearner(core.config());
}

std::optional<replica_id> voter_repair::silentVoter(const replica_core &core, steady_time now) const
{
    for (const auto &voter : core.config().voters) {
        const auto progress = core.progress().find(voter.disk);
        if (progress != core.progress().end() && now > progress->second.lastReply + m_patience) {
            return voter;
        }
    }
    return std::nullopt;
}

std::optional<replica_config> voter_repair::withLearner(const replica_config &config) const
{
    for (const auto &join : m_joins) {
        replica_config changed = config;
        std::erase_if(changed.learners, [&](const replica_id &learner) { return learner.host == join.replica.host; });
        changed.learners.push_back(join.replica);
        return changed;
    }
    return std::nullopt;
}

std::optional<replica_config> voter_repair::withPromotion(const replica_core &core, steady_time now) const
{
    const auto &config = core.config();
    for (const auto &learner : config.learners) {
        const auto progress = core.progress().find(learner.disk);
        if (progress == core.progress().end()) {
            continue;
        }
        const bool caughtUp = progress->second.match >= core.commitIndex() && now < progress->second.lastReply + m_patience;
        if (!caughtUp) {
            continue;
        }
        replica_config changed = config;
        const auto lost = std::ranges::find(changed.voters, learner.host, &replica_id::host);
        if (lost != changed.voters.end()) {
            changed.voters.erase(lost);
            return changed;
        }
        if (config.voters.size() < m_targetVoters) {
            std::erase(changed.learners, learner);
            changed.voters.push_back(learner);
            return changed;
        }
        // A host that has gone for good makes room for one at another address.
        if (const auto silent = silentVoter(core, now)) {
            std::erase(changed.voters, *silent);
            return changed;
        }
    }
    return std::nullopt;
}

} // namespace hornbeampick
