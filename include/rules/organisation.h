#pragma once

#include "core/error.h"
#include "core/names.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeampick
{

/// A SHA-256 digest of a key. Only the operator's document holds keys themselves.
struct key_digest {
    static constexpr std::size_t size = 32;
    std::array<unsigned char, size> bytes {};

    auto operator<=>(const key_digest &) const = default;
};

[[nodiscard]] key_digest digestOfKey(std::string_view key);

/// Callers who share keys, a priority, a quota and the regions in which their requests may be handled.
struct organisation {
    organisation_name name;
    std::vector<key_digest> keys;
    // Takes precedence over the priority of the route; 0 is the highest.
    std::optional<std::uint32_t> priority;
    // Requests per second over all entry hosts; 0 for no limit.
    double ratePerSecond = 0;
    // Number of requests beyond the rate that may run at once.
    double burst = 0;
    // Empty: all regions are allowed.
    std::vector<region_name> allowedRegions;

    bool operator==(const organisation &) const = default;
};

/// Checks that names and keys are unique, and rates usable. Errors: routingInvalid.
status checkOrganisations(std::span<const organisation> organisations);

/// Intersects two lists of allowed regions, of which an empty one allows all. Returns nothing when they have no region in common.
[[nodiscard]] std::optional<std::vector<region_name>> commonRegions(std::span<const region_name> first, std::span<const region_name> second);

/// Finds organisations by key and by name. Immutable.
class organisation_index
{
public:
    /// `organisations` must outlive the index.
    explicit organisation_index(std::span<const organisation> organisations);

    /// Returns null when no organisation holds the key.
    [[nodiscard]] const organisation *findByKey(std::string_view key) const;
    [[nodiscard]] const organisation *findByName(std::string_view name) const;

private:
    struct digest_hash {
        std::size_t operator()(const key_digest &value) const noexcept;
    };

    std::unordered_map<key_digest, const organisation *, digest_hash> m_byKey;
    std::unordered_map<std::string_view, const organisation *> m_byName;
};

} // namespace hornbeampick
