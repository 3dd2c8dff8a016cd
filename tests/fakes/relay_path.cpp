#include "fakes/relay_path.h"

namespace hornbeampick::testing
{

std::string textOf(response_sender sender)
{
    switch (sender) {
    case response_sender::upstream:
        return "upstream";
    case response_sender::upstreamBehindPeer:
        return "upstream behind another entry host";
    case response_sender::peer:
        return "another entry host";
    }
    return {};
}

relay_path::relay_path(response_sender sender, const std::vector<scripted_upstream *> &servers)
{
    if (sender == response_sender::upstream) {
        m_entry = std::make_unique<relay_fixture>(servers);
        return;
    }
    m_peer = std::make_unique<relay_fixture>(servers);
    m_entry = std::make_unique<relay_fixture>();
    m_entry->isolate(*m_peer);
    if (sender == response_sender::peer) {
        std::vector<relay_peer> peers;
        for (const auto *server : servers) {
            peers.push_back({.address = server->address(), .region = region_name("home")});
        }
        m_entry->peers.set(peers);
    }
}

relay_fixture &relay_path::entry()
{
    return *m_entry;
}

} // namespace hornbeampick::testing
