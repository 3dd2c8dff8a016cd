#pragma once

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace hornbeampick
{

/// Decimal digits only; empty for anything else, and beyond 32 bits.
std::optional<std::uint32_t> wholeNumber(std::string_view text);

/// Milliseconds since the Unix epoch of "2026-12-06T20:00+01:00" (or "Z", with optional seconds); empty when malformed.
std::optional<wall_ms> parseTime(std::string_view text);

} // namespace hornbeampick
