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

/// Names an epoch: a region's by number, or that of one host while it is cut off.
struct epoch_id {
    // Set for a region's epoch.
    std::optional<region_name> region;
    // Set for a host's own epoch.
    std::optional<host_name> host;
    // Number of a region's epoch, incarnation of a host's own.
    std::uint64_t number = 0;

    auto operator<=>(const epoch_id &) const = default;

    /// "r.REGION.NUMBER" or "h.HOST.INCARNATION".
    [[nodiscard]] std::string text() const;
    /// Empty when malformed.
    static std::optional<epoch_id> parse(std::string_view text);
};

/// One attempt to claim a key: unique over hosts and restarts.
struct claim_owner {
    host_name host;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;

    auto operator<=>(const claim_owner &) const = default;
};

/// The whole answer of an upstream, kept for repeats of the request.
struct stored_answer {
    std::uint32_t status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    bool operator==(const stored_answer &) const = default;
    [[nodiscard]] std::size_t bytes() const;
};

enum class claim_action {
    acquire,
    release,
    finish,
    read,
};

/// What a claimant asks one member of the epoch's group.
struct claim_request {
    claim_action action = claim_action::acquire;
    epoch_id epoch;
    std::string key;
    digest content;
    claim_owner owner;
    // With `finish`: the answer, or none when it is too large to keep.
    std::optional<stored_answer> answer;
    // Incarnation of the member that the epoch names.
    std::uint64_t memberIncarnation = 0;
};

enum class claim_verdict {
    granted,
    // Another attempt holds the key.
    held,
    // The request ran; `answer` is its answer if it was kept.
    finished,
    // The key was used with another request.
    mismatch,
    // The epoch is closed, or this member has lost its records.
    closed,
    absent,
};

struct claim_reply {
    claim_verdict verdict = claim_verdict::absent;
    claim_owner owner;
    std::optional<stored_answer> answer;
};

} // namespace hornbeampick
