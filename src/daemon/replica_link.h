#pragma once

#include "daemon/fleet_agent.h"
#include "replica/replica_node.h"
#include "rpc/peer_client.h"

#include <atomic>

namespace hornbeampick
{

/// Joins the replica to the peers that carry its messages and to the agent that spreads its state.
class replica_link final : public replica_transport, public ledger_listener
{
public:
    replica_link(peer_client &peers, fleet_agent &agent);

    void send(const replica_message &message) override;
    void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) override;
    void onLedger(const ledger_state &state) override;
    void onDamaged(std::error_code why) override;
    void onStopped(std::error_code why) override;

    /// Set while this replica leads: it then starts the spreading of what is accepted.
    void setLeads(bool leads);

private:
    peer_client &m_peers;
    fleet_agent &m_agent;
    std::atomic<bool> m_leads {false};
};

} // namespace hornbeampick
