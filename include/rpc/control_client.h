#pragma once

#include "fleet/entry_host.h"
#include "limits/quota_types.h"
#include "rpc/peer_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// The long-poll request by which an entry host follows the changes of a control host.
struct watch_query {
    entry_host watcher;
    /// Identifies the control host process whose positions `position` refers to.
    std::uint64_t source = 0;
    std::uint64_t position = 0;
    /// Log index that the watcher has applied.
    log_index appliedIndex = 0;
    /// The answer shall not contain the state.
    bool positionsOnly = false;
    /// How long the control host may hold the answer while there is no change.
    milliseconds wait {0};
    /// Upstream deaths that the watcher has observed.
    std::vector<upstream_death> deaths;
};

/// The changes since the position of a watch query, as known to one control host.
struct watch_answer {
    std::uint64_t source = 0;
    std::uint64_t position = 0;
    /// Upstreams whose announcements changed after the watcher's position; all of them when the query was for another source.
    std::vector<upstream_report> upstreams;
    /// Log index of the last change of the state that the control host has applied; 0 from releases that do not tell.
    log_index appliedIndex = 0;
    /// Absent when the watcher is up to date or asked for positions only.
    std::optional<ledger_state> state;
    /// Peer addresses of the control hosts that hold the log.
    std::vector<std::string> controlHosts;
    std::uint32_t entryHosts = 0;
    std::uint32_t entryHostsInRegion = 0;
    /// Position of the watcher among the entry hosts of its region, from 1 on; 0 from releases that do not tell.
    std::uint32_t placeInRegion = 0;
    std::vector<upstream_death> deaths;
    /// Entry hosts through which an isolated watcher can serve.
    std::vector<relay_peer> relayPeers {};
    /// For how long, when the query arrived, the state of the control host had not been known to be the newest. Negative when it was
    /// confirmed later, while the answer was held.
    milliseconds stateAge {0};
    /// Peer address of the control host that grants quotas; empty when none is known, and from releases that do not tell.
    std::string grantor {};
};

/// Client for calls to control hosts, addressed as "ip:port". Thread-safe.
///
/// The callbacks of `watch` and `draw` are called exactly once, from any thread.
class control_client
{
public:
    virtual ~control_client() = default;

    /// Sends a watch query. Errors: unreachable, peerUnreachable, timedOut.
    virtual void watch(const std::string &address, const watch_query &query, milliseconds timeout, peer_callback<watch_answer> done) = 0;
    /// Sends a replication message. Delivery is not confirmed: replicas retransmit.
    virtual void replicate(const std::string &address, const replica_message &message) = 0;
    /// Asks a host to take part in forming the replica group. `done` is not called when the call fails.
    virtual void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) = 0;
    /// Draws tokens from the quotas of organisations. Errors: unreachable, peerUnreachable, timedOut.
    virtual void draw(const std::string &address, const quota_draw &draw, milliseconds timeout, peer_callback<quota_answer> done) = 0;
    /// Cancels all calls in flight and waits until their callbacks have returned. Must not be called from a callback.
    virtual void cancelAll() = 0;
};

/// Handles the calls that a control host receives. Called from any thread; `done` may be called after the handler has returned.
class control_handler
{
public:
    virtual ~control_handler() = default;

    virtual void onWatch(watch_query query, std::function<void(const watch_answer &)> done) = 0;
    virtual void onReplicate(replica_message message) = 0;
    virtual void onForm(form_request request, std::function<void(const form_reply &)> done) = 0;
    virtual quota_answer onDraw(const quota_draw &draw) = 0;
};

/// `meter` may be null; otherwise it must outlive the client.
std::unique_ptr<control_client> makeGrpcControlClient(const tls_files &tls, control_meter *meter);

/// Starts a server at "ip:port". `handler` and `meter` must outlive it; `meter` may be null. Errors: ioFailed when the port
/// cannot be bound.
result<std::unique_ptr<peer_server>> makeGrpcControlServer(const std::string &address, const tls_files &tls, control_handler &handler, control_meter *meter);

} // namespace hornbeampick
