#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// A 128-bit non-cryptographic content digest. Detects differences, but does not protect against forgery.
struct digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const digest &) const = default;

    /// Returns 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string hex() const;
    /// Returns 16 bytes in big-endian order.
    [[nodiscard]] std::string bytes() const;
};

/// Returns the digest of the parts in order. Part boundaries are included, so ("ab","c") differs from ("a","bc").
digest digestOf(std::initializer_list<std::string_view> parts);

/// The inverse of `digest::bytes`. Returns zero unless `bytes` has 16 bytes.
digest digestFromBytes(std::string_view bytes);

/// Returns a 64-bit hash that is the same on every host and in every release.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace hornbeampick

template <> struct std::hash<hornbeampick::digest> {
    std::size_t operator()(const hornbeampick::digest &value) const noexcept
    {
        return value.low;
    }
};
