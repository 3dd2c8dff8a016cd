#pragma once

#include "daemon/fleet_agent.h"
#include "daemon/logging_ledger_listener.h"
#include "replica/replica_node.h"
#include "rpc/peer_client.h"

#include <atomic>

namespace hornbeampick
{

/// Connects the replica to the peer client, which transports its messages, and to the fleet agent, which distributes its state.
class replica_link final : public replica_transport, public logging_ledger_listener
{
public:
    replica_link(peer_client &peers, fleet_agent &agent);

    void send(const replica_message &message) override;
    void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) override;
    void onLedger(const ledger_state &state) override;

    /// Sets whether this replica is the leader; the leader starts the distribution of accepted states.
    void setLeader(bool isLeader);

private:
    peer_client &m_peers;
    fleet_agent &m_agent;
    std::atomic<bool> m_isLeader {false};
};

} // namespace hornbeampick
