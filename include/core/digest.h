#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// 128-bit content digest. Detects difference, not forgery.
struct digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const digest &) const = default;

    /// 32 lower-case hexadecimal digits.
    [[nodiscard]] std::string hex() const;
    /// 16 bytes, most significant first.
    [[nodiscard]] std::string bytes() const;
};

/// Digest of the parts in order; part borders count, so ("ab","c") differs from ("a","bc").
digest digestOf(std::initializer_list<std::string_view> parts);

/// The inverse of `digest::bytes`; zero for any other length than 16.
digest digestFromBytes(std::string_view bytes);

/// 64-bit hash that is the same on every host and in every release.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

} // namespace hornbeampick

template <> struct std::hash<hornbeampick::digest> {
    std::size_t operator()(const hornbeampick::digest &value) const noexcept
    {
        return value.low;
    }
};
