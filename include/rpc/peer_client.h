#pragma once

#include "core/control_meter.h"
#include "replica/formation.h"
#include "replica/replica_types.h"
#include "replica/rule_ledger.h"
#include "replica/rule_update.h"
#include "rpc/peer_types.h"
#include "steering/poison_registry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace hornbeampick
{

template <typename T> using peer_callback = std::function<void(result<T>)>;

/// Cancels a call in flight; has no effect when the call has ended or is already cancelled.
using call_canceller = std::function<void()>;

/// Client for calls to other daemons, addressed as "ip:port". Thread-safe.
///
/// Every `peer_callback` callback is called exactly once, from any thread. Errors: unreachable (the call was certainly not sent),
/// peerUnreachable, timedOut.
class peer_client
{
public:
    virtual ~peer_client() = default;

    /// Runs one gossip exchange.
    virtual void exchange(const std::string &address, const exchange_message &message, milliseconds timeout, peer_callback<exchange_message> done) = 0;
    /// Fetches the rules from a peer; the result is empty when the peer has nothing newer than `have`.
    virtual void fetchRules(const std::string &address, const rules_position &have, milliseconds timeout, peer_callback<std::optional<rules_update>> done) = 0;
    /// Notifies a peer that newer rules can be fetched. Best effort: there is no result and no retry.
    virtual void notifyRules(const std::string &address, const rules_notice &notice) = 0;
    /// Relays an upstream's announcement to the peer. Best effort.
    virtual void relayAnnounce(const std::string &address, const upstream_report &report) = 0;
    /// Forwards a request to the host that owns the upstreams. The returned function cancels the call.
    virtual call_canceller forward(const std::string &address, const forward_message &message, peer_callback<forward_result> done) = 0;
    virtual void claim(const std::string &address, const claim_request &request, milliseconds timeout, peer_callback<claim_reply> done) = 0;
    /// Reports a request that made an upstream terminate.
    virtual void reportPoison(const std::string &address, const upstream_death &death, milliseconds timeout, peer_callback<bool> done) = 0;
    virtual void status(const std::string &address, milliseconds timeout, peer_callback<host_status> done) = 0;
    virtual void fleetStatus(const std::string &address, milliseconds timeout, peer_callback<fleet_status> done) = 0;
    virtual void explain(const std::string &address, const service_name &service, const std::string &client, milliseconds timeout,
                         peer_callback<steering_explanation> done)
        = 0;
    virtual void loads(const std::string &address, milliseconds timeout, peer_callback<std::vector<service_region_load>> done) = 0;
    /// Submits a rule change. `relayed` is set when the first host to receive it passes it on.
    virtual void submit(const std::string &address, const rules_change &change, bool relayed, milliseconds timeout, peer_callback<submit_result> done) = 0;
    /// Sends a replication message. Delivery is not confirmed: replicas retransmit.
    virtual void replicate(const std::string &address, const replica_message &message) = 0;
    /// Asks a host to take part in forming the replica group. `done` is not called when the call fails.
    virtual void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) = 0;
    /// Cancels all calls in flight and waits until their callbacks have returned. Must not be called from a callback.
    virtual void cancelAll() = 0;
};

/// Handles the calls that a daemon receives. Called from any thread; `done` may be called after the handler has returned.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    virtual exchange_message onExchange(const exchange_message &message) = 0;
    virtual std::optional<rules_update> onFetchRules(const rules_position &have) = 0;
    virtual void onNotifyRules(const rules_notice &notice) = 0;
    virtual void onRelayAnnounce(const upstream_report &report) = 0;
    /// Runs a forwarded request. `done` is called exactly once, also when the request is cancelled.
    virtual call_canceller onForward(forward_message message, std::function<void(const forward_result &)> done) = 0;
    virtual claim_reply onClaim(const claim_request &request) = 0;
    virtual void onPoison(const upstream_death &death) = 0;
    virtual host_status onStatus() = 0;
    virtual void onFleetStatus(std::function<void(const fleet_status &)> done) = 0;
    virtual steering_explanation onExplain(const service_name &service, const std::string &client) = 0;
    virtual std::vector<service_region_load> onLoads() = 0;
    virtual void onSubmit(const rules_change &change, bool relayed, milliseconds timeout, std::function<void(const submit_result &)> done) = 0;
    virtual void onReplicate(replica_message message) = 0;
    virtual void onForm(form_request request, std::function<void(const form_reply &)> done) = 0;
};

/// Paths of the PEM files for mutual TLS. The files are reloaded when they change.
struct tls_files {
    std::string certificate;
    std::string key;
    std::string authority;
    /// Disables TLS.
    bool plainText = false;
};

/// `meter` may be null; otherwise it must outlive the client.
std::unique_ptr<peer_client> makeGrpcPeerClient(const tls_files &tls, control_meter *meter);

/// A running RPC server; it stops when destroyed.
class peer_server
{
public:
    virtual ~peer_server() = default;
    /// Returns the port that is bound, also when port 0 was requested.
    [[nodiscard]] virtual int port() const = 0;
    /// Rejects new calls and waits up to `grace` for running ones.
    virtual void stop(milliseconds grace) = 0;
};

/// Starts a server at "ip:port". `handler` and `meter` must outlive it; `meter` may be null. Errors: ioFailed when the port
/// cannot be bound, tlsFailed.
result<std::unique_ptr<peer_server>> makeGrpcPeerServer(const std::string &address, const tls_files &tls, peer_handler &handler, control_meter *meter);

} // namespace hornbeampick
