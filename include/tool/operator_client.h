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

/// Calls the fleet on behalf of an operator: tries several entry hosts in turn, with one deadline for all calls.
///
/// Every call may be repeated: submitting an accepted file again succeeds. Calls block. Not thread-safe.
class operator_client
{
public:
    /// `hosts` are the addresses of peer endpoints, "ip:port"; `timeout` starts at construction.
    operator_client(peer_client &peers, std::vector<std::string> hosts, milliseconds timeout, clock_source &clock);

    result<submit_result> submit(const rules_change &change);
    /// Returns the state in force on the first host that answers; empty when that host has none.
    /// Only hosts with disks have the history; with `withHistory`, hosts are asked in turn until one has it.
    result<ledger_state> rules(bool withHistory);
    result<fleet_status> status();
    result<steering_explanation> explain(const service_name &service, const std::string &client);
    result<std::vector<service_region_load>> loads();
    /// Waits until all reachable hosts have `version` in force or the deadline has passed; returns the last status.
    result<fleet_status> awaitVersion(std::uint64_t version);

private:
    template <typename T>
    result<T> callHosts(const std::function<void(const std::string &host, milliseconds timeout, peer_callback<T> done)> &call,
                        const std::function<bool(const T &)> &isFinal);

    peer_client &m_peers;
    std::vector<std::string> m_hosts;
    steady_time m_deadline;
    clock_source &m_clock;
};

} // namespace hornbeampick
