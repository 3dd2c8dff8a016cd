#include "request_context.h"

#include "rules/access.h"

#include <algorithm>
#include <limits>

namespace hornbeampick
{

const service_name &chooseService(const route &matched, std::string_view id)
{
    double totalWeight = 0;
    for (const auto &share : matched.services) {
        totalWeight += share.weight;
    }
    constexpr auto maxHash = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double remainder = static_cast<double>(stableHash(id)) / maxHash * totalWeight;
    for (const auto &share : matched.services) {
        remainder -= share.weight;
        if (remainder < 0) {
            return share.service;
        }
    }
    return matched.services.back().service;
}

void updateAllowedRegions(request_context &context, const published<route_index> &inForce)
{
    const auto newest = inForce.get();
    const auto &request = context.parser.get();
    const auto *found = newest->find(request[boost::beast::http::field::host], request.target());
    context.regionsVersion = newest->table().version;
    const bool isSameRoute = found != nullptr && found->name == context.matched->name;
    if (isSameRoute && std::ranges::find(found->services, context.service, &service_weight::service) != found->services.end()) {
        const auto access = decideAccess(*newest, *found, {.organisation = context.organisation.view(), .isVouchedFor = true});
        context.isNowhereAllowed = access.error == errc::noRegionAllowed;
        // The organisation may be gone by now; its requests in progress keep its regions.
        if (access.error == errc::ok && (access.caller != nullptr || context.organisation.empty())) {
            context.allowedRegions = access.allowedRegions;
        }
    }
}

bool mayStartAttempt(const published<drain_schedule> &drain, const request_context &context, steady_time now)
{
    const auto schedule = drain.get();
    return !schedule || schedule->mayStart(now, {.deadline = context.deadline, .usualRunTime = context.usualRunTime});
}

} // namespace hornbeampick
