#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hornbeampick
{

/// Parses an unsigned decimal number; empty when there is any other character or the value exceeds 32 bits.
std::optional<std::uint32_t> parseDecimal(std::string_view text);

/// Parses a time such as "2026-12-06T20:00+01:00", with optional seconds and an offset or "Z"; returns milliseconds since the Unix
/// epoch, empty when malformed.
std::optional<wall_ms> parseTime(std::string_view text);

} // namespace hornbeampick
