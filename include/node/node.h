#pragma once

#include "core/error.h"
#include "daemon/control_api.h"
#include "http/http_server.h"
#include "relay/header_codec.h"

#include "settings.pb.h"

#include <functional>
#include <memory>

namespace hornbeampick
{

/// Tells whether an entry host serves callers.
class readiness_source
{
public:
    virtual ~readiness_source() = default;
    [[nodiscard]] virtual bool isReady() const = 0;
};

/// The front ends that a node serves. A factory receives the object to which its front end forwards calls.
struct node_front_ends {
    std::shared_ptr<header_codec> headerCodec;
    std::function<std::unique_ptr<http_handler>(readiness_source &)> readiness;
    std::function<std::unique_ptr<http_handler>(control_api &)> control;
};

/// An entry or control host of a deployment whose operators submit the routes.
class node
{
public:
    virtual ~node() = default;
    /// Serves until SIGTERM or SIGINT and returns after a graceful shutdown.
    virtual void run() = 0;
};

/// Reloads the settings. Returns null when they cannot be read, after logging the reason.
using settings_reload = std::function<std::shared_ptr<const schema::node_settings>()>;

/// Creates an entry host and opens its ports. `settings` must name a front address. `reload` is called on SIGHUP and every few
/// seconds; of the reloaded settings only the seeds are applied while the host runs. Errors: ioFailed.
result<std::unique_ptr<node>> makeEntryNode(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds, settings_reload reload);

/// Creates a control host and opens its ports and data folder. `settings` must name a control address. Errors: ioFailed.
result<std::unique_ptr<node>> makeControlNode(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds);

} // namespace hornbeampick
