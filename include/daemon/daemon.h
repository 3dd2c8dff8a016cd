#pragma once

#include "core/error.h"

#include "settings.pb.h"

#include <memory>
#include <string>

namespace hornbeampick
{

/// One hornbeampickd: all parts of a host, wired together.
class daemon
{
public:
    virtual ~daemon() = default;

    /// Serves until `stop`, or SIGTERM or SIGINT; returns once everything has ended.
    virtual void run() = 0;
    /// Begins a planned stop: leaves look-ups, waits out their lifetime, finishes what is in flight. Thread-safe.
    virtual void stop() = 0;
    /// Addresses in use, "ip:port".
    [[nodiscard]] virtual std::string httpAddress() const = 0;
    [[nodiscard]] virtual std::string rpcAddress() const = 0;
};

/// Opens the ports and the data folder. Errors: ioFailed, tlsFailed.
result<std::unique_ptr<daemon>> makeDaemon(std::shared_ptr<const schema::daemon_settings> settings);

} // namespace hornbeampick
