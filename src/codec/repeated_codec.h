#pragma once

#include <cstddef>
#include <vector>

namespace hornbeampick
{

/// Encodes every value of `from` into the repeated field `to`, by the `encode` of its type.
template <typename From, typename To> void encodeAll(const From &from, To *to)
{
    for (const auto &value : from) {
        *to->Add() = encode(value);
    }
}

/// Decodes every message of a repeated field, by the `decode` of its type.
template <typename To, typename From> std::vector<To> decodeAll(const From &from)
{
    std::vector<To> values;
    values.reserve(static_cast<std::size_t>(from.size()));
    for (const auto &value : from) {
        values.push_back(decode(value));
    }
    return values;
}

} // namespace hornbeampick
