#pragma once

#include "fakes/relay_fixture.h"

#include <memory>
#include <string>
#include <vector>

namespace hornbeampick::testing
{

/// Which part of the way from an entry host to an upstream sends a response.
enum class response_sender {
    upstream,
    upstreamBehindPeer,
    peer,
};

std::string textOf(response_sender sender);

/// The entry host that callers use, with what lies between it and the servers that stand in for upstreams or for other entry hosts.
class relay_path
{
public:
    relay_path(response_sender sender, const std::vector<scripted_upstream *> &servers);

    relay_fixture &entry();

private:
    // Null when upstreams are reached directly.
    std::unique_ptr<relay_fixture> m_peer;
    std::unique_ptr<relay_fixture> m_entry;
};

} // namespace hornbeampick::testing
