#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/published.h"
#include "limits/intake_budget.h"
#include "limits/quota_account.h"
#include "observe/metrics.h"
#include "relay/header_codec.h"
#include "rules/routing_table.h"
#include "steering/dispatcher.h"
#include "steering/drain_schedule.h"
#include "steering/link_limiter.h"
#include "steering/poison_registry.h"
#include "steering/relay_peers.h"
#include "steering/retry_budget.h"
#include "steering/routes_lease.h"
#include "steering/upstream_reachability.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hornbeampick
{

/// Receives a notification for each upstream that died while it ran a request. Called from any thread.
class upstream_death_listener
{
public:
    virtual ~upstream_death_listener() = default;
    virtual void onUpstreamDeath(const upstream_death &death) = 0;
};

/// Receives a notification when a request waits for a token of its organisation's quota. Called from any thread.
class quota_demand_listener
{
public:
    virtual ~quota_demand_listener() = default;
    virtual void onQuotaDemand() = 0;
};

/// Dependencies of a relay. All must outlive it.
struct relay_parts {
    dispatcher &dispatch;
    published<route_index> &routes;
    header_codec &headerCodec;
    retry_budget &retries;
    poison_registry &poison;
    upstream_death_listener &deathListener;
    metrics &counters;
    clock_source &clock;
    upstream_reachability &reachability;
    relay_peers &peers;
    link_limiter &link;
    routes_lease &lease;
    quota_account &quota;
    quota_demand_listener &quotaDemand;
};

struct relay_options {
    // Listening address, "ip:port".
    std::string address;
    // Listening address for requests that other entry hosts pass on, "ip:port"; empty for none.
    std::string peerAddress {};
    // Number of threads. Each has its own connections to callers and upstreams.
    std::size_t threads = 2;
    // Limit on open caller connections, at which no further connection is accepted.
    std::size_t maxConnections = 2048;
    // Limits what callers hold; null for no limit. Must outlive the relay.
    intake_budget *intake = nullptr;
};

/// Forwards callers' requests to upstreams over HTTP/1.1 until stopped.
class relay_server
{
public:
    virtual ~relay_server() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Returns the port for other entry hosts; 0 when there is none.
    [[nodiscard]] virtual std::uint16_t peerPort() const = 0;
    /// Returns the number of requests in progress.
    [[nodiscard]] virtual std::size_t activeRequests() const = 0;
    /// Starts draining: every response from now on closes its connection, and requests that the schedule does not allow are refused as
    /// not executed. New connections are still accepted. Must be called at most once.
    virtual void beginDrain(const drain_schedule &schedule) = 0;
    /// Closes the listening sockets and refuses new requests on open connections as not executed. Requests in progress continue.
    virtual void stopAccepting() = 0;
    /// Stops the threads. Requests in progress are aborted.
    virtual void stop() = 0;
};

/// Opens the listening sockets and starts the threads. Errors: ioFailed when an address cannot be bound.
result<std::unique_ptr<relay_server>> startRelay(const relay_options &options, const relay_parts &parts);

} // namespace hornbeampick
