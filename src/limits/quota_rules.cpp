#include "limits/quota_rules.h"

namespace hornbeampick
{

std::vector<quota_rule> quotaRulesOf(const routing_table &table)
{
    std::vector<quota_rule> rules;
    if (!table.organisations) {
        return rules;
    }
    for (const auto &each : *table.organisations) {
        if (each.ratePerSecond > 0) {
            rules.push_back({.organisation = each.name, .perSecond = each.ratePerSecond, .burst = each.burst});
        }
    }
    return rules;
}

} // namespace hornbeampick
