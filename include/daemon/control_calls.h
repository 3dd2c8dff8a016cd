#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "fleet/upstream_report.h"
#include "replica/replica_types.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Where a caller may connect, and for how long it may keep that answer.
struct entry_choice {
    std::vector<std::string> addresses;
    milliseconds lifetime {1000};
};

/// What operators, upstreams and callers ask of a control host, in the project's own terms; front ends decode into them.
/// Implementations are safe to call from any thread.
class control_calls
{
public:
    virtual ~control_calls() = default;

    /// An upstream's word on itself. That it leaves is accepted once the entry hosts know. Errors: notConfirmed.
    virtual boost::asio::awaitable<status> announce(upstream_report report) = 0;
    /// Brings a version of the routes into force; a version that is not higher than the one held changes nothing.
    /// Errors: routingInvalid, notLeader (surely not accepted), noQuorum (not confirmed).
    virtual boost::asio::awaitable<status> submitRouting(routing_table table) = 0;
    /// Errors: notLeader, noQuorum.
    virtual boost::asio::awaitable<status> evacuate(evacuation_order order) = 0;
    /// The newest routes, proved by a majority. Errors: notLeader, noQuorum, notReady when there are none yet.
    virtual boost::asio::awaitable<result<routing_table>> readRouting() = 0;
    /// Entry hosts for a caller in `region`; empty when none is known.
    [[nodiscard]] virtual entry_choice chooseEntry(const region_name &region) const = 0;
    /// Peer address of the host that leads the log; empty when none is known or this host leads.
    [[nodiscard]] virtual std::optional<std::string> leaderAddress() const = 0;
};

} // namespace hornbeampick
