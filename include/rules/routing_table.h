#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "rules/organisation.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeampick
{

/// Returns true when a request may be handled in `region`. `allowed` are the regions to which its route is restricted; empty allows all.
/// Every choice of a host or an upstream for a request has to ask this.
[[nodiscard]] bool isRegionAllowed(std::span<const region_name> allowed, const region_name &region);

/// A service and its relative weight among the services of a route.
struct service_weight {
    service_name service;
    double weight = 0;

    bool operator==(const service_weight &) const = default;
};

/// What a route carries, which decides whether its requests may be executed more than once.
enum class request_kind : std::uint8_t {
    // Must not be executed more than once.
    runOnce,
    // Reads and writes with short responses.
    idempotent,
    // Idempotent reads with large responses.
    download,
};

/// Returns true when requests of this kind may be executed more than once.
[[nodiscard]] constexpr bool isRepeatable(request_kind kind)
{
    return kind != request_kind::runOnce;
}

/// A route: the requests to a hostname and path prefix, and how they are handled.
struct route {
    std::string name;
    std::string hostname;
    // Begins and ends with a slash.
    std::string pathPrefix;
    request_kind kind = request_kind::runOnce;
    milliseconds timeout {5000};
    milliseconds targetLatency {1000};
    // Priority; 0 is the highest.
    std::uint32_t priority = 0;
    // Maximum number of upstreams that one request is sent to.
    std::uint32_t attempts = 1;
    bool sticky = false;
    // Requests need no key.
    bool allowAnonymous = false;
    // Empty: all regions are allowed.
    std::vector<region_name> allowedRegions;
    // At least one; a single service receives all requests.
    std::vector<service_weight> services;

    bool operator==(const route &) const = default;
};

/// Settings that apply to all upstreams of a service.
struct routed_service {
    service_name name;
    std::string healthPath;
    // Maximum number of connections to one upstream, summed over all callers.
    std::uint32_t connections = 0;
    milliseconds warmup {0};
    // Requests per second that one upstream can handle during warm-up.
    double warmupPerSecond = 0;

    bool operator==(const routed_service &) const = default;
};

/// Size limits and timeouts for requests of callers.
struct caller_limits {
    std::uint32_t headerBytes = 16384;
    std::uint32_t bodyBytes = 67108864;
    milliseconds headerTimeout {3000};
    milliseconds idleTimeout {15000};

    bool operator==(const caller_limits &) const = default;
};

/// One version of the routes. The highest accepted version is in force; version 0 means that none was accepted yet.
struct routing_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<routed_service> services;
    caller_limits limits;
    // Absent: requests need no keys, and fields that would carry one are passed on like any other.
    std::optional<std::vector<organisation>> organisations;
    // The source document as submitted by the operator.
    std::string document;

    bool operator==(const routing_table &) const = default;

    /// Returns null when there is no such service. The pointer is valid as long as the table is unchanged.
    [[nodiscard]] const routed_service *findService(const service_name &name) const;
    [[nodiscard]] std::set<service_name> serviceNames() const;
};

/// Checks whether a table is valid and may come into force. Errors: routingInvalid.
status checkRouting(const routing_table &table);

/// Finds the route of a request. Immutable; shares ownership of the table that it was built from.
class route_index
{
public:
    explicit route_index(std::shared_ptr<const routing_table> table);

    /// Returns the route of `hostname` with the longest path prefix that matches `path`; null when there is none.
    /// Ignores letter case and port of `hostname` and the query of `path`.
    [[nodiscard]] const route *find(std::string_view hostname, std::string_view path) const;

    /// Returns the regions to which all routes of `hostname` are restricted: those that each of them allows or, if there are none, those
    /// that any of them allows. Empty when a route is not restricted, or there is no route.
    [[nodiscard]] std::vector<region_name> regionsOf(std::string_view hostname) const;

    [[nodiscard]] const routing_table &table() const
    {
        return *m_table;
    }
    /// Returns null when the table has no organisations, so that requests need no key.
    [[nodiscard]] const organisation_index *organisations() const
    {
        return m_organisations ? &*m_organisations : nullptr;
    }

private:
    std::shared_ptr<const routing_table> m_table;
    std::optional<organisation_index> m_organisations;
    // The routes of each hostname in lower case, longest prefix first.
    std::unordered_map<std::string, std::vector<const route *>> m_byHostname;
};

} // namespace hornbeampick
