#pragma once

#include "core/error.h"

#include "settings.pb.h"

#include <memory>
#include <string>

namespace hornbeampick
{

/// The daemon process of one host: owns and connects all of its components.
class daemon
{
public:
    virtual ~daemon() = default;

    /// Serves until `stop`, SIGTERM or SIGINT; returns once all components have stopped.
    virtual void run() = 0;
    /// Begins a graceful shutdown: withdraws this host from look-ups, waits until cached look-ups have expired, and drains requests
    /// in flight. Thread-safe.
    virtual void stop() = 0;
    /// Returns the address at which other processes reach the HTTP or peer endpoint, "ip:port".
    [[nodiscard]] virtual std::string httpAddress() const = 0;
    [[nodiscard]] virtual std::string rpcAddress() const = 0;
};

/// Creates a daemon and opens its data folder and ports. Errors: ioFailed, tlsFailed.
result<std::unique_ptr<daemon>> makeDaemon(std::shared_ptr<const schema::daemon_settings> settings);

} // namespace hornbeampick
