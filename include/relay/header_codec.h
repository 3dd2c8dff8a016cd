#pragma once

#include "core/clock.h"
#include "steering/dispatcher.h"

#include <optional>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// Read access to the header fields of one HTTP message.
class header_view
{
public:
    virtual ~header_view() = default;
    /// Returns the first value of the field with this name, compared without regard to case; empty when absent.
    [[nodiscard]] virtual std::string_view value(std::string_view name) const = 0;
    /// Returns the number of fields with this name, compared without regard to case.
    [[nodiscard]] virtual std::size_t count(std::string_view name) const = 0;
};

/// Application-level metadata of a request. The views point into the message.
struct request_metadata {
    // Identifies this attempt of the caller; empty when the request carries none.
    std::string_view id;
    // How long the caller waits for the response.
    std::optional<milliseconds> callerTimeout;
    // Names the object that the request concerns; empty when the request carries none.
    std::string_view affinityKey;
    // The key of the caller's organisation; empty when the request carries none, or several.
    std::string_view key {};
};

/// Application-level metadata of an upstream's response. The views point into the message.
struct response_metadata {
    // Identifies the request that this response belongs to.
    std::string_view id;
    // The upstream states that it did not execute the request.
    bool notRun = false;
    // The response carries the upstream's stamp. A response without it was not produced by the upstream.
    bool hasServerStamp = false;
    // The upstream leaves and wants no further requests.
    bool isLeaving = false;
    // Time for which the upstream wants no requests from this host. Meaningful only with status 503.
    std::optional<milliseconds> retryAfter;
    std::optional<load_report> load;
    // Time until the upstream has warmed up.
    std::optional<milliseconds> warmupRemaining;
};

/// Metadata that the relay adds to the caller's header when it forwards a request.
struct upstream_metadata {
    // The instance that the request is meant for; another one at the same address refuses it. Empty for another entry host.
    instance_name instance;
    // Time until the deadline of the request.
    milliseconds timeLeft {0};
    // The caller's organisation; empty when it has none, and for another entry host.
    std::string_view organisation {};
};

/// Translates between header fields and the metadata that the relay works with. Implementations are safe to call from any thread.
class header_codec
{
public:
    virtual ~header_codec() = default;

    [[nodiscard]] virtual request_metadata decodeRequest(const header_view &header) const = 0;
    [[nodiscard]] virtual response_metadata decodeResponse(const header_view &header) const = 0;
    /// Returns true for request fields that `encodeForUpstream` replaces.
    [[nodiscard]] virtual bool replaces(std::string_view field) const = 0;
    /// Returns true for request fields that carry a caller's key or name its organisation. They are removed when organisations are in force.
    [[nodiscard]] virtual bool identifiesCaller(std::string_view field) const = 0;
    /// Appends the header lines for `metadata`, each terminated by CRLF.
    virtual void encodeForUpstream(const upstream_metadata &metadata, std::string &header) const = 0;
    /// Appends the header lines for the id and execution state in `metadata`, each terminated by CRLF. Another entry host decodes them
    /// with `decodeResponse`.
    virtual void encodeForPeer(const response_metadata &metadata, std::string &header) const = 0;
};

} // namespace hornbeampick
