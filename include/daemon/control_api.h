#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "fleet/upstream_report.h"
#include "replica/replica_types.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// A caller's question which entry hosts to use.
struct entry_query {
    region_name region;
    /// The hostname that the caller sends requests to; empty when it does not tell.
    std::string_view hostname;
};

/// Addresses that a caller may connect to, and for how long it may cache them.
struct entry_choice {
    std::vector<std::string> addresses;
    milliseconds lifetime {1000};
};

/// Calls of operators, upstreams and callers to a control host, independent of their encoding; front ends decode requests into these
/// calls. Implementations are thread-safe.
class control_api
{
public:
    virtual ~control_api() = default;

    /// Accepts an upstream's announcement of itself. A deregistration succeeds only once the entry hosts have confirmed it.
    /// Errors: malformedAnnouncement, notConfirmed.
    virtual boost::asio::awaitable<status> announce(upstream_report report) = 0;
    /// Brings a version of the routes into force; a version that is not higher than the current one changes nothing.
    /// Errors: routingInvalid, notLeader (definitely not accepted), noQuorum (not confirmed).
    virtual boost::asio::awaitable<status> submitRouting(routing_table table) = 0;
    /// Carries out an evacuation order. Errors: malformedRequest, notLeader, noQuorum.
    virtual boost::asio::awaitable<status> evacuate(evacuation_order order) = 0;
    /// Returns the newest routes, confirmed by a majority. Errors: notLeader, noQuorum, notReady when there are none yet.
    virtual boost::asio::awaitable<result<routing_table>> readRouting() = 0;
    /// Chooses entry hosts for a caller; empty when none is known.
    [[nodiscard]] virtual entry_choice chooseEntry(const entry_query &query) const = 0;
    /// Returns the peer address of the leader of the log; empty when none is known or this host is the leader.
    [[nodiscard]] virtual std::optional<std::string> leaderAddress() const = 0;
};

} // namespace hornbeampick
