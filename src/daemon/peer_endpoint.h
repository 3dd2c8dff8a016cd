#pragma once

#include "claims/claim_store.h"
#include "daemon/active_rules.h"
#include "daemon/fleet_agent.h"
#include "daemon/front_end.h"
#include "daemon/request_runner.h"
#include "daemon/rule_submitter.h"
#include "replica/replica_node.h"
#include "rpc/peer_client.h"

#include <boost/asio/io_context.hpp>

namespace hornbeampick
{

/// Dependencies of the peer endpoint. All of them must outlive it; `replica` is null on a host without a disk.
struct peer_endpoint_parts {
    fleet_agent &agent;
    active_rules &rules;
    claim_store &claims;
    poison_registry &poison;
    request_runner &runner;
    request_gate &gate;
    load_view &loads;
    member_table &members;
    cap_table &caps;
    published<steering_table> &table;
    front_end &front;
    rule_submitter &submitter;
    replica_node *replica = nullptr;
    peer_client &peers;
    status_source &status;
    clock_source &clock;
    boost::asio::io_context &context;
    const topology &fleet;
    location self;
    std::vector<service_name> services;
};

/// Handles the calls of other daemons and of the operators' tool.
class peer_endpoint final : public peer_handler
{
public:
    explicit peer_endpoint(peer_endpoint_parts parts);

    exchange_message onExchange(const exchange_message &message) override;
    std::optional<rules_update> onFetchRules(const rules_position &have) override;
    void onNotifyRules(const rules_notice &notice) override;
    void onRelayAnnounce(const upstream_report &report) override;
    call_canceller onForward(forward_message message, std::function<void(const forward_result &)> done) override;
    claim_reply onClaim(const claim_request &request) override;
    void onPoison(const upstream_death &death) override;
    host_status onStatus() override;
    void onFleetStatus(std::function<void(const fleet_status &)> done) override;
    steering_explanation onExplain(const service_name &service, const std::string &client) override;
    std::vector<service_region_load> onLoads() override;
    void onSubmit(const rules_change &change, bool relayed, milliseconds timeout, std::function<void(const submit_result &)> done) override;
    void onReplicate(replica_message message) override;
    void onForm(form_request request, std::function<void(const form_reply &)> done) override;

private:
    boost::asio::awaitable<forward_result> runForwarded(forward_message message);

    peer_endpoint_parts m_parts;
};

} // namespace hornbeampick
