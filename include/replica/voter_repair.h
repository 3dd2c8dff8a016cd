#pragma once

#include "core/clock.h"
#include "replica/replica_core.h"
#include "replica/replica_types.h"

#include <optional>
#include <vector>

namespace hornbeampick
{

/// A disk that asked to be added, and when it asked last.
struct join_request {
    replica_id replica;
    steady_time askedAt {};
};

/// Decides the leader's next change of configuration, one at a time:
/// a new disk first learns, the lost disk of the same host leaves, then the new one votes.
/// Disks beyond the voters wanted go on learning; one of them takes the place of a voter that has long been silent.
class voter_repair
{
public:
    /// `targetVoters`: voters wanted in all; `patience`: how long a request to join stands.
    voter_repair(std::size_t targetVoters, milliseconds patience);

    void onJoin(const replica_id &replica, steady_time now);

    /// Empty when nothing is to change, or the last change is not committed yet.
    [[nodiscard]] std::optional<replica_config> next(const replica_core &core, steady_time now);

private:
    /// A voter that has not answered for longer than the patience.
    [[nodiscard]] std::optional<replica_id> silentVoter(const replica_core &core, steady_time now) const;
    [[nodiscard]] std::optional<replica_config> withLearner(const replica_config &config) const;
    [[nodiscard]] std::optional<replica_config> withPromotion(const replica_core &core, steady_time now) const;

    std::size_t m_targetVoters;
    milliseconds m_patience;
    std::vector<join_request> m_joins;
};

} // namespace hornbeampick
