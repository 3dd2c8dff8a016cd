#pragma once

#include "core/clock.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/published.h"
#include "rules/routing_table.h"
#include "steering/drain_schedule.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Bodies up to this size are buffered in memory, so that a request can be retried and a response is delivered in full or not at all.
constexpr std::size_t maxBufferedBodyBytes = 65536;

/// State of one caller's request until its response has been sent.
struct request_context {
    using parser_type = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    parser_type parser;
    std::shared_ptr<const route_index> routes;
    const route *matched = nullptr;
    // Regions in which the request may be handled, by the routes in force before its latest attempt; empty allows all.
    std::vector<region_name> allowedRegions;
    // Version of these routes.
    std::uint64_t regionsVersion = 0;
    service_name service;
    // The caller's organisation; empty when the request is anonymous.
    organisation_name organisation;
    // Priority of the organisation, or else of the route; 0 is the highest.
    std::uint32_t priority = 0;
    // The request counts against the quota of its organisation.
    bool isCounted = false;
    // Route and organisation came to allow no region in common.
    bool isNowhereAllowed = false;
    std::string id;
    std::string affinityKey;
    steady_time arrivedAt {};
    // The earlier of the caller's deadline and the route's timeout.
    steady_time deadline {};
    // How long requests of the service usually ran when this one arrived; 0 when unknown.
    milliseconds usualRunTime {0};
    // The body, or only its beginning while the parser is not done.
    std::string body;
    digest contentDigest;
    std::vector<instance_name> tried;
    // Number of upstreams to which the request may be sent.
    std::uint32_t maxAttempts = 1;
    // Number of attempts that connected to an upstream and sent the request.
    std::uint32_t attemptsSent = 0;
    // When the latest of these attempts began to send.
    steady_time lastSentAt {};
    // Part of the body has been streamed to an upstream and is no longer buffered, so the request cannot be retried.
    bool isBodyStreamed = false;
    // An upstream may have executed the request.
    bool mayHaveRun = false;

    [[nodiscard]] bool isBodyBuffered() const
    {
        return parser.is_done();
    }
    [[nodiscard]] milliseconds remaining(steady_time now) const
    {
        return std::chrono::duration_cast<milliseconds>(deadline - now);
    }
};

/// Returns the service for the request with this id, according to the service weights of its route. The same id gives the same service.
const service_name &chooseService(const route &matched, std::string_view id);

/// Updates the allowed regions of a matched request to the routes in force. They stay as they are when its route was
/// removed or sends to other services by now.
void updateAllowedRegions(request_context &context, const published<route_index> &inForce);

/// Returns false when this host drains and could end before the request does. `drain` is null until the drain begins. Once false for a
/// request, it stays false.
bool mayStartAttempt(const published<drain_schedule> &drain, const request_context &context, steady_time now);

} // namespace hornbeampick
