#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/published.h"
#include "core/random_source.h"
#include "core/shards.h"
#include "fleet/entry_host.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

/// A request that needs a peer.
struct peer_target {
    service_name service;
    // Regions that may handle the request; empty allows all.
    std::span<const region_name> allowedRegions;
    // Peers already tried; they are not chosen again.
    std::span<const std::string> tried;
};

/// How a request that was passed to a peer ended.
enum class peer_outcome {
    // With an upstream's response.
    served,
    // The peer refused it: it has more requests than it can serve.
    overloaded,
    // No response in time, by the peer or by its upstream.
    late,
    // The peer did not accept a connection.
    unreachable,
    // For a reason unrelated to the peer.
    abandoned,
};

/// The entry hosts through which this host reaches upstreams while it has lost its own links to them.
///
/// The peers carry the requests of all isolated hosts beside their own. Each host adapts the number of requests that it has in
/// progress at a peer, by service: additive increase while they are served, multiplicative decrease and a growing pause once they are
/// not. Thread-safe; one lock per shard of peers.
class relay_peers
{
public:
    /// `random` must outlive the object.
    relay_peers(region_name ownRegion, random_source &random);

    /// Replaces the peers. Must not be called concurrently.
    void set(std::vector<relay_peer> peers);
    /// Chooses a peer in an allowed region with room for one more request and counts the request as in progress there. Peers in the own region come first,
    /// and those that could not be reached lately last. Empty when no peer has room. Every result has to be passed to `release`.
    [[nodiscard]] std::optional<relay_peer> acquire(const peer_target &target, steady_time now);
    /// Forgets the load of all peers, which may have changed since they were last used. Must be called when requests begin to be passed on.
    void reset();
    void release(const std::string &address, const service_name &service, peer_outcome outcome, steady_time now);

private:
    // The requests of one service in progress at one peer.
    struct window {
        std::uint32_t inFlight = 0;
        double limit = 0;
        // The limit grows by one with every response until the peer is overloaded for the first time.
        bool doubling = true;
        std::uint32_t refusalsInARow = 0;
        steady_time pausedUntil {};
        steady_time decreasedAt {};
    };
    struct peer_state {
        steady_time unreachableUntil {};
        std::map<service_name, window> windows;
    };
    using peer_states = std::map<std::string, peer_state>;

    static void decrease(window &load, steady_time now);
    [[nodiscard]] static window &windowOf(peer_state &state, const service_name &service);

    region_name m_ownRegion;
    random_source &m_random;
    published<std::vector<relay_peer>> m_peers;
    // By the hash of the peer's address.
    shards<peer_states> m_states;
};

} // namespace hornbeampick
