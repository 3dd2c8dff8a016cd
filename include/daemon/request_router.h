#pragma once

#include "core/published.h"
#include "daemon/claim_client.h"
#include "daemon/request_runner.h"
#include "fleet/member_table.h"
#include "steering/load_view.h"
#include "steering/retry_budget.h"
#include "steering/steering_table.h"

#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// A caller's request, validated by the front end.
struct caller_request {
    proxied_request upstreamRequest;
    // Address of the caller, by which it is steered.
    ipv4 client = 0;
    // Idempotency key and its epoch; both are set for services whose requests are not idempotent.
    std::string key;
    std::optional<epoch_id> epoch;
};

/// Dependencies of a request router. All of them must outlive it.
struct request_router_parts {
    request_runner &runner;
    claim_client &claims;
    load_view &loads;
    retry_budget &budget;
    cap_table &caps;
    poison_registry &poison;
    member_table &members;
    published<steering_table> &table;
    request_gate &gate;
    peer_client &peers;
    metrics &counters;
    tracer &traces;
    clock_source &clock;
    random_source &random;
    location self;
};

/// Processes a caller's request end to end: claims its key, chooses region and owning host, and retries.
///
/// The only layer that retries requests that may have run, and only if they are idempotent. Thread-safe.
class request_router
{
public:
    explicit request_router(const request_router_parts &parts);

    boost::asio::awaitable<proxied_answer> serve(caller_request request);

private:
    boost::asio::awaitable<proxied_answer> serveClaimed(caller_request &request);
    boost::asio::awaitable<claim_result> claim(const claim_attempt &attempt, steady_time deadline);
    [[nodiscard]] bool isHolderAlive(const claim_owner &holder) const;
    boost::asio::awaitable<proxied_answer> serveWithRetries(caller_request &request);
    boost::asio::awaitable<proxied_answer> tryRegions(caller_request &request);
    boost::asio::awaitable<proxied_answer> tryRegion(proxied_request &request, const region_name &region);
    boost::asio::awaitable<proxied_answer> forward(const proxied_request &request, const fleet_member &owner);
    [[nodiscard]] std::vector<region_name> regionOrder(const steering_table &table, const steering_choice &choice) const;
    [[nodiscard]] std::vector<host_name> candidateHosts(const proxied_request &request, const region_name &region);

    request_router_parts m_parts;
};

} // namespace hornbeampick
