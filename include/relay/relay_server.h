#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/published.h"
#include "observe/metrics.h"
#include "relay/message_dialect.h"
#include "rules/routing_table.h"
#include "steering/dispatcher.h"
#include "steering/poison_registry.h"
#include "steering/retry_budget.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace hornbeampick
{

/// Told of each upstream that died of a request. Called from any thread.
class death_listener
{
public:
    virtual ~death_listener() = default;
    virtual void onDeath(const upstream_death &death) = 0;
};

/// The parts a relay works with. All outlive it.
struct relay_parts {
    dispatcher &dispatch;
    published<route_index> &routes;
    message_dialect &dialect;
    retry_budget &retries;
    poison_registry &poison;
    death_listener &deaths;
    metrics &counters;
    clock_source &clock;
};

struct relay_options {
    // "ip:port".
    std::string address;
    // Each with its own connections to callers and upstreams.
    std::size_t threads = 2;
    // Connections of callers; further ones are not accepted.
    std::size_t connections = 2048;
};

/// Carries callers' requests to upstreams over HTTP/1.1 until stopped.
class relay_server
{
public:
    virtual ~relay_server() = default;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    /// Requests being carried now.
    [[nodiscard]] virtual std::size_t activeRequests() const = 0;
    /// From now on each answer ends its connection. New connections are still taken.
    virtual void beginDrain() = 0;
    /// From now on connections are not taken and requests on open ones are refused as not run; what is carried goes on.
    virtual void endIntake() = 0;
    /// Ends the threads; what is under way is cut off.
    virtual void stop() = 0;
};

/// Starts the threads. Errors: ioFailed when the port is taken.
result<std::unique_ptr<relay_server>> startRelay(const relay_options &options, const relay_parts &parts);

} // namespace hornbeampick
