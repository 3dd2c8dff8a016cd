#pragma once

#include "claims/epoch_table.h"
#include "core/published.h"
#include "daemon/fleet_agent.h"
#include "daemon/request_carrier.h"
#include "daemon/rule_keeper.h"
#include "http/http_server.h"
#include "observe/metrics.h"
#include "steering/steering_table.h"

#include <map>
#include <string>

namespace hornbeampick
{

/// How one service is carried.
struct service_traits {
    bool idempotent = false;
    milliseconds timeout {5000};
};

/// Gives the daemon's view of itself and the fleet to operators.
class status_source
{
public:
    virtual ~status_source() = default;
    [[nodiscard]] virtual host_status hostStatus() const = 0;
    /// Text of the metrics page.
    [[nodiscard]] virtual std::string metricsText() = 0;
};

/// The parts of the HTTP front end. All outlive it.
struct front_end_parts {
    request_carrier &carrier;
    fleet_agent &agent;
    rule_keeper &rules;
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

/// Callers', upstreams' and operators' HTTP calls, turned into the daemon's own types and back.
class front_end final : public http_handler
{
public:
    front_end(const front_end_parts &parts, front_end_options options);

    boost::asio::awaitable<http_response> handle(http_request request) override;
    [[nodiscard]] bool mayAbandon(const http_request &request) const override;
    [[nodiscard]] http_response refuse(errc error) const override;

    /// The epoch a look-up names for keys of clients at home in `region`.
    [[nodiscard]] epoch_id epochFor(const region_name &region) const;

private:
    http_response lookUp(const http_request &request) const;
    http_response announce(const http_request &request);
    [[nodiscard]] http_response status() const;
    boost::asio::awaitable<http_response> carry(http_request request);
    [[nodiscard]] result<caller_request> readCall(http_request &request) const;

    front_end_parts m_parts;
    front_end_options m_options;
};

/// The answer to a caller for what the carrier returned.
http_response responseOf(const carried_answer &answer);

} // namespace hornbeampick
