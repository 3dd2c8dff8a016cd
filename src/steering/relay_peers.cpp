#include "steering/relay_peers.h"

#include "core/digest.h"
#include "rules/routing_table.h"

#include <algorithm>
#include <array>

namespace hornbeampick
{

namespace
{

// A peer that did not accept a connection is chosen only when there is no other for this long.
constexpr milliseconds unreachableTime {1000};
constexpr double initialLimit = 8;
constexpr double maxLimit = 512;
constexpr double decreaseFactor = 0.5;
// The pause after a refusal doubles with each further one in a row, up to the number of doublings below.
constexpr milliseconds initialPause {100};
constexpr std::uint32_t maxPauseDoublings = 4;

} // namespace

relay_peers::relay_peers(region_name ownRegion, random_source &random)
    : m_ownRegion(std::move(ownRegion))
    , m_random(random)
{
}

void relay_peers::set(std::vector<relay_peer> peers)
{
    m_peers.set(std::make_shared<const std::vector<relay_peer>>(std::move(peers)));
}

std::optional<relay_peer> relay_peers::acquire(const peer_target &target, steady_time now)
{
    const auto peers = m_peers.get();
    if (!peers) {
        return std::nullopt;
    }
    // By rank: own region, other regions, unreachable lately.
    std::array<std::vector<const relay_peer *>, 3> ranked;
    for (const auto &each : *peers) {
        const bool isOwnRegion = each.region == m_ownRegion;
        if (!isRegionAllowed(target.allowedRegions, each.region) || std::ranges::find(target.tried, each.address) != target.tried.end()) {
            continue;
        }
        m_states.with(stableHash(each.address), [&](peer_states &all) {
            auto &state = all[each.address];
            const auto &load = windowOf(state, target.service);
            if (load.inFlight < load.limit && now >= load.pausedUntil) {
                ranked.at(now < state.unreachableUntil ? 2 : (isOwnRegion ? 0 : 1)).push_back(&each);
            }
        });
    }
    const auto usable = std::ranges::find_if(ranked, [](const auto &rank) { return !rank.empty(); });
    if (usable == ranked.end()) {
        return std::nullopt;
    }
    const auto &chosen = *usable->at(m_random.below(usable->size()));
    m_states.with(stableHash(chosen.address), [&](peer_states &all) { ++windowOf(all[chosen.address], target.service).inFlight; });
    return chosen;
}

void relay_peers::release(const std::string &address, const service_name &service, peer_outcome outcome, steady_time now)
{
    m_states.with(stableHash(address), [&](peer_states &all) {
        auto &state = all[address];
        auto &load = windowOf(state, service);
        load.inFlight -= std::min(load.inFlight, 1U);
        switch (outcome) {
        case peer_outcome::served:
            load.limit = std::min(load.limit + (load.doubling ? 1 : 1 / load.limit), maxLimit);
            load.refusalsInARow = 0;
            break;
        case peer_outcome::overloaded:
            if (now >= load.pausedUntil) {
                decrease(load, now);
                load.pausedUntil = now + initialPause * (1U << std::min(load.refusalsInARow, maxPauseDoublings));
                ++load.refusalsInARow;
            }
            break;
        case peer_outcome::late:
            decrease(load, now);
            break;
        case peer_outcome::unreachable:
            state.unreachableUntil = now + unreachableTime;
            break;
        case peer_outcome::abandoned:
            break;
        }
    });
}

void relay_peers::decrease(window &load, steady_time now)
{
    load.doubling = false;
    // Requests that were in progress when the limit was decreased tell nothing new.
    if (load.decreasedAt == steady_time {} || now >= load.decreasedAt + initialPause) {
        load.limit = std::max(load.limit * decreaseFactor, 1.0);
        load.decreasedAt = now;
    }
}

void relay_peers::reset()
{
    m_states.forEach([](peer_states &all) {
        for (auto &[address, state] : all) {
            for (auto &[service, load] : state.windows) {
                load = window {.inFlight = load.inFlight, .limit = initialLimit};
            }
        }
    });
}

relay_peers::window &relay_peers::windowOf(peer_state &state, const service_name &service)
{
    return state.windows.try_emplace(service, window {.limit = initialLimit}).first->second;
}

} // namespace hornbeampick
