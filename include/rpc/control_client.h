#pragma once

#include "fleet/entry_host.h"
#include "rpc/peer_client.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// An entry host asks a control host for what changed.
struct watch_query {
    entry_host watcher;
    // The control host's incarnation that `position` belongs to.
    std::uint64_t source = 0;
    std::uint64_t position = 0;
    // Log index that the watcher has applied.
    log_index appliedIndex = 0;
    // The answer may be held this long while nothing changes.
    milliseconds wait {0};
    // Upstreams that died of a request, seen by the watcher.
    std::vector<upstream_death> deaths;
};

/// What changed, as one control host knows it.
struct watch_answer {
    std::uint64_t source = 0;
    std::uint64_t position = 0;
    // Upstreams whose announcements changed after the watcher's position; all when the source is another.
    std::vector<upstream_report> upstreams;
    // Absent when the watcher has it.
    std::optional<ledger_state> state;
    // Peer addresses of the control hosts that hold the log.
    std::vector<std::string> controlHosts;
    std::uint32_t entryHosts = 0;
    std::uint32_t entryHostsInRegion = 0;
    std::vector<upstream_death> deaths;
};

/// Calls to control hosts by "ip:port". Every `done` is called once, from any thread. Thread-safe.
class control_client
{
public:
    virtual ~control_client() = default;

    /// Errors: unreachable, peerUnreachable, timedOut.
    virtual void watch(const std::string &address, const watch_query &query, milliseconds timeout, peer_done<watch_answer> done) = 0;
    virtual void replicate(const std::string &address, const replica_message &message) = 0;
    virtual void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) = 0;
    /// Cancels what is under way and waits until every `done` has returned. Not to be called from one.
    virtual void cancelAll() = 0;
};

/// What a control host does with the calls of others. Called from any thread; `done` may be called later.
class control_handler
{
public:
    virtual ~control_handler() = default;

    virtual void onWatch(watch_query query, std::function<void(const watch_answer &)> done) = 0;
    virtual void onReplicate(replica_message message) = 0;
    virtual void onForm(form_request request, std::function<void(const form_reply &)> done) = 0;
};

std::unique_ptr<control_client> makeGrpcControlClient(const tls_files &tls, control_meter *meter);

/// `handler` must outlive the server. Errors: ioFailed when the port is taken.
result<std::unique_ptr<peer_server>> makeGrpcControlServer(const std::string &address, const tls_files &tls, control_handler &handler, control_meter *meter);

} // namespace hornbeampick
