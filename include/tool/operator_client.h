#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "rpc/peer_client.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Calls to the fleet for operators: several entry hosts in turn, a deadline on the whole.
///
/// Every call may be repeated: a submit that was accepted is accepted again. Blocking; single-threaded.
class operator_client
{
public:
    /// `hosts` are "ip:port" of peer endpoints.
    operator_client(peer_client &peers, std::vector<std::string> hosts, milliseconds timeout, clock_source &clock);

    result<submit_result> submit(const rules_change &change);
    /// The state in force on the first host that answers; empty when it knows none.
    /// Only hosts with disks know the history: with it, hosts are asked until one does.
    result<ledger_state> rules(bool withHistory);
    result<fleet_status> status();
    result<steering_explanation> explain(const service_name &service, const std::string &client);
    result<std::vector<service_region_load>> loads();
    /// Waits until all reachable hosts have `version`, or the deadline; returns the last status.
    result<fleet_status> awaitVersion(std::uint64_t version);

private:
    template <typename T>
    result<T> askInTurn(const std::function<void(const std::string &host, milliseconds timeout, peer_done<T> done)> &call,
                        const std::function<bool(const T &)> &isFinal);

    peer_client &m_peers;
    std::vector<std::string> m_hosts;
    steady_time m_deadline;
    clock_source &m_clock;
};

} // namespace hornbeampick
