#pragma once

#include <algorithm>
#include <string_view>

namespace hornbeampick
{

/// Returns true when `name` is a token, which the name of every header field is.
[[nodiscard]] constexpr bool isFieldName(std::string_view name)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    constexpr char firstVisible = 0x21;
    constexpr char lastVisible = 0x7e;
    const auto isTokenCharacter = [=](char c) { return c >= firstVisible && c <= lastVisible && separators.find(c) == std::string_view::npos; };
    return !name.empty() && std::ranges::all_of(name, isTokenCharacter);
}

} // namespace hornbeampick
