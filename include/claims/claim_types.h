#pragma once

#include "core/digest.h"
#include "core/names.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hornbeampick
{

/// Identifies a claim epoch: a region's by its number, or that of a single host for the time in which it is cut off from the others.
struct epoch_id {
    // Set for a region's epoch.
    std::optional<region_name> region;
    // Set for a host's own epoch.
    std::optional<host_name> host;
    // Epoch number of a region, or incarnation of a host.
    std::uint64_t number = 0;

    auto operator<=>(const epoch_id &) const = default;

    /// Returns "r.REGION.NUMBER" or "h.HOST.INCARNATION".
    [[nodiscard]] std::string text() const;
    /// Parses the format of `text`; returns empty when it is malformed.
    static std::optional<epoch_id> parse(std::string_view text);
};

/// Identity of an attempt to claim a key, unique across hosts and restarts.
struct claim_owner {
    host_name host;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const claim_owner &) const = default;
};

/// Complete answer of an upstream, stored so that repeated requests with the same key receive it.
struct stored_answer {
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    bool operator==(const stored_answer &) const = default;
    /// Returns the size of the headers and the body in bytes.
    [[nodiscard]] std::size_t bytes() const;
};

enum class claim_action {
    acquire,
    release,
    finish,
    read,
};

/// Request of a claimant to one member of the epoch's claim group.
struct claim_request {
    claim_action action = claim_action::acquire;
    epoch_id epoch;
    std::string key;
    digest content;
    claim_owner owner;
    // For `finish`: the answer; empty when it is too large to store.
    std::optional<stored_answer> answer;
    // Incarnation of the member as listed in the epoch.
    std::uint64_t memberIncarnation = 0;
};

enum class claim_verdict {
    granted,
    // Another attempt holds the key.
    held,
    // The request ran; `answer` holds its answer if it was stored.
    finished,
    // The key was used with another request.
    mismatch,
    // The epoch is closed, or this member has lost its records or has no memory for another one.
    closed,
    // No attempt holds the key, or the attempt was released.
    absent,
};

struct claim_reply {
    claim_verdict verdict = claim_verdict::absent;
    claim_owner owner;
    std::optional<stored_answer> answer;
};

} // namespace hornbeampick
