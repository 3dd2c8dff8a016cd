#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hornbeampick
{

/// A service and its part of a route's requests.
struct service_weight {
    service_name service;
    double weight = 0;

    bool operator==(const service_weight &) const = default;
};

/// Requests to a hostname and path prefix, and how they are carried.
struct route {
    std::string name;
    std::string hostname;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // Requests may not run a second time.
    bool runOnce = true;
    milliseconds timeout {5000};
    milliseconds targetLatency {1000};
    // 0 is the most urgent.
    std::uint32_t rank = 0;
    // Upstreams that one request may be sent to.
    std::uint32_t attempts = 1;
    bool sticky = false;
    // Empty: all.
    std::vector<region_name> allowedRegions;
    // At least one; a single one takes all requests.
    std::vector<service_weight> services;

    bool operator==(const route &) const = default;
};

/// What holds for all upstreams of a service.
struct routed_service {
    service_name name;
    std::string healthPath;
    // Connections that one upstream takes from all callers together.
    std::uint32_t connections = 0;
    milliseconds warmup {0};
    // Requests that one upstream bears each second while it is cold.
    double warmupPerSecond = 0;

    bool operator==(const routed_service &) const = default;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
    std::uint32_t headerBytes = 16384;
    std::uint32_t bodyBytes = 67108864;
    milliseconds headerTime {3000};
    milliseconds idleTime {15000};

    bool operator==(const caller_limits &) const = default;
};

/// One version of the routes. The highest accepted version is in force; 0: none was accepted yet.
struct routing_table {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<routed_service> services;
    caller_limits limits;
    // As the operator sent it.
    std::string document;

    bool operator==(const routing_table &) const = default;

    /// Null when there is no such service.
    [[nodiscard]] const routed_service *serviceNamed(const service_name &name) const;
};

/// Checks what a table must satisfy to come into force. Errors: routingInvalid.
status checkRouting(const routing_table &table);

/// Finds the route of a request. Immutable; refers to the table it was made from, which it keeps.
class route_index
{
public:
    explicit route_index(std::shared_ptr<const routing_table> table);

    /// The route of `hostname` with the longest prefix that begins `path`; null when there is none.
    /// A port in `hostname` is ignored, and so is a query in `path`.
    [[nodiscard]] const route *find(std::string_view hostname, std::string_view path) const;

    [[nodiscard]] const routing_table &table() const
    {
        return *m_table;
    }

private:
    std::shared_ptr<const routing_table> m_table;
    // Routes of a hostname, longest prefix first.
    std::unordered_map<std::string, std::vector<const route *>> m_byHostname;
};

} // namespace hornbeampick
