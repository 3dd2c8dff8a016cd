#pragma once

#include <cstddef>
#include <vector>

namespace hornbeampick
{

/// Appends every value of `from`, converted by the `encode` overload of its type, to the repeated field `to`.
template <typename From, typename To> void encodeAll(const From &from, To *to)
{
    for (const auto &value : from) {
        *to->Add() = encode(value);
    }
}

/// Returns the messages of a repeated field, converted by the `decode` overload of their type.
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
