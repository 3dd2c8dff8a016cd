#pragma once

#include "claims/epoch_table.h"
#include "core/published.h"
#include "daemon/active_rules.h"
#include "daemon/fleet_agent.h"
#include "daemon/request_router.h"
#include "http/http_server.h"
#include "observe/metrics.h"
#include "steering/steering_table.h"

#include <map>
#include <string>

namespace hornbeampick
{

/// Settings of a service that determine how its requests are handled.
struct service_traits {
    // Requests may be repeated without a claim.
    bool idempotent = false;
    milliseconds timeout {5000};
};

/// Provides the daemon's status and metrics to operators.
class status_source
{
public:
    virtual ~status_source() = default;
    [[nodiscard]] virtual host_status hostStatus() const = 0;
    /// Returns the metrics in the Prometheus text format.
    [[nodiscard]] virtual std::string metricsText() = 0;
};

/// Dependencies of the HTTP front end. All of them must outlive it.
struct front_end_parts {
    request_router &router;
    fleet_agent &agent;
    active_rules &rules;
    epoch_table &epochs;
    published<steering_table> &table;
    member_table &members;
    metrics &counters;
    tracer &traces;
    status_source &status;
    clock_source &clock;
};

struct front_end_options {
    std::map<std::string, service_traits, std::less<>> services;
    milliseconds lookupTtl {1000};
    milliseconds announceTtl {2000};
};

/// Decodes the HTTP requests of callers, upstreams and operators into the daemon's types, and encodes the responses.
class front_end final : public http_handler
{
public:
    front_end(const front_end_parts &parts, front_end_options options);

    boost::asio::awaitable<http_response> handle(http_request request) override;
    [[nodiscard]] bool mayAbandon(const http_request &request) const override;
    [[nodiscard]] http_response makeErrorResponse(errc error) const override;

    /// Returns the epoch that a look-up names for the keys of clients whose home is `region`: the region's current one, or this host's
    /// own when a majority of the region's claim group is unreachable.
    [[nodiscard]] epoch_id epochFor(const region_name &region) const;

private:
    http_response lookUp(const http_request &request) const;
    http_response announce(const http_request &request);
    [[nodiscard]] http_response status() const;
    boost::asio::awaitable<http_response> serveCall(http_request request);
    [[nodiscard]] result<caller_request> parseCall(http_request &request) const;

    front_end_parts m_parts;
    front_end_options m_options;
};

/// Converts the router's answer into the response to the caller.
http_response responseOf(const proxied_answer &answer);

} // namespace hornbeampick
