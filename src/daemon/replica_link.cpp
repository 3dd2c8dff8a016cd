#include "replica_link.h"

namespace hornbeampick
{

replica_link::replica_link(peer_client &peers, fleet_agent &agent)
    : m_peers(peers)
    , m_agent(agent)
{
}

void replica_link::send(const replica_message &message)
{
    m_peers.replicate(message.to.address, message);
}

void replica_link::form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done)
{
    m_peers.form(address, request, std::move(done));
}

void replica_link::onLedger(const ledger_state &state)
{
    m_agent.onLedger(state, m_isLeader);
}

void replica_link::setLeader(bool isLeader)
{
    m_isLeader = isLeader;
}

} // namespace hornbeampick
