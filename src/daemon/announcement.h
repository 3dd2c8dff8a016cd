#pragma once

#include "fleet/upstream_report.h"

#include <optional>
#include <string_view>

namespace hornbeampick
{

/// An upstream's announcement from its JSON text; empty when a field is missing, of the wrong type or out of range.
std::optional<upstream_report> readAnnouncement(std::string_view text);

} // namespace hornbeampick
