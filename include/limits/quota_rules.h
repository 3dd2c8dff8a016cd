#pragma once

#include "limits/quota_types.h"
#include "rules/routing_table.h"

#include <vector>

namespace hornbeampick
{

/// Returns the limits of the organisations of a table; empty when it has none.
[[nodiscard]] std::vector<quota_rule> quotaRulesOf(const routing_table &table);

} // namespace hornbeampick
