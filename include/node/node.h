#pragma once

#include "core/error.h"
#include "daemon/control_calls.h"
#include "http/http_server.h"
#include "relay/header_codec.h"

#include "settings.pb.h"

#include <functional>
#include <memory>

namespace hornbeampick
{

/// Whether an entry host takes callers.
class readiness_source
{
public:
    virtual ~readiness_source() = default;
    [[nodiscard]] virtual bool isReady() const = 0;
};

/// The front ends through which a node is spoken to.
struct node_front_ends {
    std::shared_ptr<header_codec> headerCodec;
    std::function<std::unique_ptr<http_handler>(readiness_source &)> readiness;
    std::function<std::unique_ptr<http_handler>(control_calls &)> control;
};

/// An entry or control host of a deployment whose routes come from its operators.
class node
{
public:
    virtual ~node() = default;
    /// Serves until SIGTERM or SIGINT; returns once everything has ended.
    virtual void run() = 0;
};

/// Reads the settings again; null when they cannot be read, which the reader has then logged.
using settings_reload = std::function<std::shared_ptr<const schema::node_settings>()>;

/// Opens the ports. `settings` name a front address; `reload` is called on SIGHUP and every few seconds, and what may change
/// while the host runs (seeds) is taken in. Errors: ioFailed.
result<std::unique_ptr<node>> makeEntryNode(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds, settings_reload reload);

/// Opens the ports and the data folder. `settings` name a control address. Errors: ioFailed.
result<std::unique_ptr<node>> makeControlNode(std::shared_ptr<const schema::node_settings> settings, const node_front_ends &frontEnds);

} // namespace hornbeampick
