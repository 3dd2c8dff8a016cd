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

/// A request as a caller sent it, checked by the front end.
struct caller_request {
    carried_request carried;
    // Address of the caller.
    ipv4 client = 0;
    // Both are set for services whose requests may not be repeated.
    std::string key;
    std::optional<epoch_id> epoch;
};

/// The parts a request carrier works with. All outlive it.
struct request_carrier_parts {
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

/// Carries a caller's request to its answer: claim, region, owner, retries.
///
/// The only layer that retries what may have run, and only what is idempotent. Thread-safe.
class request_carrier
{
public:
    explicit request_carrier(const request_carrier_parts &parts);

    boost::asio::awaitable<carried_answer> carry(caller_request request);

private:
    boost::asio::awaitable<carried_answer> carryClaimed(caller_request &request);
    boost::asio::awaitable<claim_result> claim(const claim_ticket &ticket, steady_time deadline);
    [[nodiscard]] bool holderLives(const claim_owner &holder) const;
    boost::asio::awaitable<carried_answer> carryWithRetries(caller_request &request);
    boost::asio::awaitable<carried_answer> tryRegions(caller_request &request);
    boost::asio::awaitable<carried_answer> tryRegion(carried_request &request, const region_name &region);
    boost::asio::awaitable<carried_answer> forward(const carried_request &request, const fleet_member &owner);
    [[nodiscard]] std::vector<region_name> regionOrder(const steering_table &table, const steering_choice &choice) const;
    [[nodiscard]] std::vector<host_name> hostsOf(const carried_request &request, const region_name &region);

    request_carrier_parts m_parts;
};

} // namespace hornbeampick
