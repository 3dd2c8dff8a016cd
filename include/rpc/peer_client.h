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

template <typename T> using peer_done = std::function<void(result<T>)>;

/// Cancels a call that is under way; safe to call late or twice.
using call_canceller = std::function<void()>;

/// Calls to other daemons by "ip:port". Every `done` is called exactly once, from any thread;
/// failures are unreachable (surely not sent), peerUnreachable or timedOut. Thread-safe.
class peer_client
{
public:
    virtual ~peer_client() = default;

    virtual void exchange(const std::string &address, const exchange_message &message, milliseconds timeout, peer_done<exchange_message> done) = 0;
    /// Empty when the peer has nothing newer than `have`.
    virtual void fetchRules(const std::string &address, const rules_position &have, milliseconds timeout, peer_done<std::optional<rules_update>> done) = 0;
    virtual void notifyRules(const std::string &address, const rules_notice &notice) = 0;
    virtual void relayAnnounce(const std::string &address, const upstream_report &report) = 0;
    virtual call_canceller forward(const std::string &address, const forward_message &message, peer_done<forward_result> done) = 0;
    virtual void claim(const std::string &address, const claim_request &request, milliseconds timeout, peer_done<claim_reply> done) = 0;
    virtual void reportPoison(const std::string &address, const upstream_death &death, milliseconds timeout, peer_done<bool> done) = 0;
    virtual void status(const std::string &address, milliseconds timeout, peer_done<host_status> done) = 0;
    virtual void fleetStatus(const std::string &address, milliseconds timeout, peer_done<fleet_status> done) = 0;
    virtual void explain(const std::string &address, const service_name &service, const std::string &client, milliseconds timeout,
                         peer_done<steering_explanation> done)
        = 0;
    virtual void loads(const std::string &address, milliseconds timeout, peer_done<std::vector<service_region_load>> done) = 0;
    virtual void submit(const std::string &address, const rules_change &change, bool relayed, milliseconds timeout, peer_done<submit_result> done) = 0;
    virtual void replicate(const std::string &address, const replica_message &message) = 0;
    virtual void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) = 0;
    /// Cancels what is under way and waits until every `done` has returned. Not to be called from one.
    virtual void cancelAll() = 0;
};

/// What a daemon does with the calls of others. Called from any thread; `done` may be called later.
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    virtual exchange_message onExchange(const exchange_message &message) = 0;
    virtual std::optional<rules_update> onFetchRules(const rules_position &have) = 0;
    virtual void onNotifyRules(const rules_notice &notice) = 0;
    virtual void onRelayAnnounce(const upstream_report &report) = 0;
    /// `done` is called once, also after the request was cancelled.
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

/// Keys of one process. Files are read again when they change.
struct tls_files {
    std::string certificate;
    std::string key;
    std::string authority;
    bool plainText = false;
};

std::unique_ptr<peer_client> makeGrpcPeerClient(const tls_files &tls, control_meter *meter);

/// Listens for other daemons until destroyed.
class peer_server
{
public:
    virtual ~peer_server() = default;
    /// The port in use, also when 0 was asked for.
    [[nodiscard]] virtual int port() const = 0;
    /// Refuses new calls and waits for running ones up to `grace`.
    virtual void stop(milliseconds grace) = 0;
};

/// `handler` must outlive the server. Errors: ioFailed when the port is taken, tlsFailed.
result<std::unique_ptr<peer_server>> makeGrpcPeerServer(const std::string &address, const tls_files &tls, peer_handler &handler, control_meter *meter);

} // namespace hornbeampick
