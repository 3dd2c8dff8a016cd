#pragma once

#include "core/clock.h"
#include "replica/replica_core.h"
#include "replica/replica_types.h"

#include <optional>
#include <vector>

namespace hornbeampick
{

/// A disk that requested to join the log, and the time of its last request.
struct join_request {
    replica_id replica;
    steady_time requestedAt {};
};

/// Decides the leader's membership changes, one at a time: a new disk is added as a learner; when it has caught up,
/// the lost disk of the same host is removed, and the new disk is promoted to voter.
/// Disks beyond the target number of voters stay learners; one of them replaces a voter that has not replied within the member timeout.
/// Single-threaded.
class voter_repair
{
public:
    /// `targetVoters`: number of voters to reach; `memberTimeout`: a join request expires, and a voter counts as unresponsive, after this long.
    voter_repair(std::size_t targetVoters, milliseconds memberTimeout);

    void onJoinRequest(const replica_id &replica, steady_time now);

    /// Returns the next configuration; empty when no change is needed, this replica cannot propose one, or the last change is not yet committed.
    [[nodiscard]] std::optional<replica_config> nextConfig(const replica_core &core, steady_time now);

private:
    /// Returns a voter that has not replied within the member timeout; empty when there is none.
    [[nodiscard]] std::optional<replica_id> unresponsiveVoter(const replica_core &core, steady_time now) const;
    [[nodiscard]] std::optional<replica_config> configWithLearner(const replica_config &config) const;
    [[nodiscard]] std::optional<replica_config> configWithPromotion(const replica_core &core, steady_time now) const;

    std::size_t m_targetVoters;
    milliseconds m_memberTimeout;
    std::vector<join_request> m_joins;
};

} // namespace hornbeampick
