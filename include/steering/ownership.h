#pragma once

#include "core/names.h"

#include <optional>
#include <span>
#include <string_view>

namespace hornbeampick
{

/// Returns the candidate that owns `key`, by rendezvous hashing: when a candidate leaves, only its keys move.
/// Returns nothing without candidates. The order of the candidates does not matter.
std::optional<host_name> ownerOf(std::string_view key, std::span<const host_name> candidates);

} // namespace hornbeampick
