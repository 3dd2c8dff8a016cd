#include "rules/access.h"

namespace hornbeampick
{

access_decision decideAccess(const route_index &routes, const route &matched, const caller_identity &identity)
{
    access_decision decision {.priority = matched.priority, .allowedRegions = matched.allowedRegions};
    const auto *organisations = routes.organisations();
    if (organisations == nullptr) {
        return decision;
    }
    decision.caller = identity.isVouchedFor ? organisations->findByName(identity.organisation) : organisations->findByKey(identity.key);
    if (decision.caller == nullptr) {
        decision.error = matched.allowAnonymous ? errc::ok : errc::unknownKey;
        return decision;
    }
    decision.priority = decision.caller->priority.value_or(matched.priority);
    auto common = commonRegions(matched.allowedRegions, decision.caller->allowedRegions);
    if (!common) {
        decision.error = errc::noRegionAllowed;
        return decision;
    }
    decision.allowedRegions = std::move(*common);
    return decision;
}

} // namespace hornbeampick
