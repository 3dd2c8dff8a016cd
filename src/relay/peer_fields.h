#pragma once

#include "relay/header_codec.h"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// What an entry host adds to a request that it passes to another entry host.
struct peer_request {
    // Number of upstreams to which the request may still be sent.
    std::uint32_t attempts = std::numeric_limits<std::uint32_t>::max();
    // The version of the routes that the sender applied. A receiver with an older one must not serve the request.
    std::uint64_t routesVersion = 0;
    // The caller's organisation, which the sender has found by its key; empty when the request is anonymous.
    std::string_view organisation {};
};

/// Returns true for the header fields of `peer_request`.
bool isPeerField(std::string_view name);

/// Appends the header lines for `request`, each terminated by CRLF.
void encodePeerRequest(const peer_request &request, std::string &header);

/// Appends the header line with the number of upstreams to which an entry host has sent a request that it could not serve.
void encodeAttemptsSent(std::uint32_t attempts, std::string &header);

/// Returns the number of attempts in the response of another entry host; 0 when it states none.
std::uint32_t decodeAttemptsSent(const header_view &header);

/// Returns what the sender added; fields that are absent or malformed have their defaults.
peer_request decodePeerRequest(const header_view &header);

} // namespace hornbeampick
