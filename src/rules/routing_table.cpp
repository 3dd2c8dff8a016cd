#include "rules/routing_table.h"

#include "core/text.h"

#include <algorithm>
#include <cmath>

namespace hornbeampick
{

namespace
{

bool routeIsValid(const route &candidate, const std::set<service_name> &known)
{
    if (candidate.hostname.empty() || candidate.attempts == 0 || candidate.services.empty()) {
        return false;
    }
    double total = 0;
    for (const auto &[service, weight] : candidate.services) {
        if (weight < 0 || !known.contains(service)) {
            return false;
        }
        total += weight;
    }
    return total > 0 && std::isfinite(total);
}

bool serviceIsValid(const routed_service &candidate)
{
    return candidate.warmup >= milliseconds(0) && candidate.warmupPerSecond >= 0 && std::isfinite(candidate.warmupPerSecond);
}

} // namespace

bool isRegionAllowed(std::span<const region_name> allowed, const region_name &region)
{
    return allowed.empty() || std::ranges::find(allowed, region) != allowed.end();
}

const routed_service *routing_table::findService(const service_name &name) const
{
    const auto found = std::ranges::find(services, name, &routed_service::name);
    return found == services.end() ? nullptr : &*found;
}

std::set<service_name> routing_table::serviceNames() const
{
    std::set<service_name> names;
    for (const auto &service : services) {
        names.insert(service.name);
    }
    return names;
}

status checkRouting(const routing_table &table)
{
    const auto known = table.serviceNames();
    const bool valid = table.version > 0 && std::ranges::all_of(table.services, serviceIsValid)
        && std::ranges::all_of(table.routes, [&](const route &each) { return routeIsValid(each, known); });
    if (!valid) {
        return make_error_code(errc::routingInvalid);
    }
    return table.organisations ? checkOrganisations(*table.organisations) : status(success());
}

route_index::route_index(std::shared_ptr<const routing_table> table)
    : m_table(std::move(table))
{
    for (const auto &each : m_table->routes) {
        m_byHostname[toLower(each.hostname)].push_back(&each);
    }
    if (m_table->organisations) {
        m_organisations.emplace(*m_table->organisations);
    }
    for (auto &[hostname, routes] : m_byHostname) {
        std::ranges::stable_sort(routes, std::greater<> {}, [](const route *each) { return each->pathPrefix.size(); });
    }
}

const route *route_index::find(std::string_view hostname, std::string_view path) const
{
    const auto found = m_byHostname.find(toLower(hostname.substr(0, hostname.find(':'))));
    if (found == m_byHostname.end()) {
        return nullptr;
    }
    const auto pathOnly = path.substr(0, path.find('?'));
    const auto match = std::ranges::find_if(found->second, [&](const route *each) { return pathOnly.starts_with(each->pathPrefix); });
    return match == found->second.end() ? nullptr : *match;
}

std::vector<region_name> route_index::regionsOf(std::string_view hostname) const
{
    const auto found = m_byHostname.find(toLower(hostname.substr(0, hostname.find(':'))));
    if (found == m_byHostname.end() || std::ranges::any_of(found->second, [](const route *each) { return each->allowedRegions.empty(); })) {
        return {};
    }
    std::set<region_name> any;
    for (const auto *each : found->second) {
        any.insert(each->allowedRegions.begin(), each->allowedRegions.end());
    }
    std::vector<region_name> common;
    for (const auto &region : any) {
        if (std::ranges::all_of(found->second, [&](const route *each) { return isRegionAllowed(each->allowedRegions, region); })) {
            common.push_back(region);
        }
    }
    return common.empty() ? std::vector<region_name>(any.begin(), any.end()) : common;
}

} // namespace hornbeampick
