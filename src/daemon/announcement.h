#pragma once

#include "fleet/upstream_report.h"

#include <optional>
#include <string_view>

namespace hornbeampick
{

/// Parses an upstream's announcement from JSON. Returns empty when a field is missing, has the wrong type or is out of range.
std::optional<upstream_report> readAnnouncement(std::string_view text);

} // namespace hornbeampick
