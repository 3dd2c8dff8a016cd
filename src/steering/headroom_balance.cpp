#include "steering/headroom_balance.h"

#include <algorithm>
#include <cmath>

namespace hornbeampick
{

namespace
{

// Shares below this are not worth a crossing of regions.
constexpr double shareMinimum = 0.01;

} // namespace

double businessOf(const region_load &load)
{
    return load.slots == 0 ? 0 : static_cast<double>(load.inFlight) / load.slots;
}

headroom_balance::headroom_balance(const headroom_options &options)
    : m_options(options)
{
}

headroom_move headroom_balance::update(const service_name &service, const region_name &home, std::span<const region_load> loads, steady_time now)
{
    const auto own = std::ranges::find(loads, home, &region_load::region);
    headroom_move move;
    move.takers = takersFor(home, loads);
    auto [place, isNew] = m_shares.try_emplace({service, home});
    auto &known = place->second;
    const double aim = own == loads.end() || move.takers.empty() ? 0 : aimOf(*own, loads, known.share);
    if (!isNew) {
        const double passed = std::chrono::duration<double>(now - known.at) / std::chrono::duration<double>(m_options.settling);
        known.share += (aim - known.share) * (1 - std::exp(-passed));
    }
    known.at = now;
    move.share = known.share < shareMinimum || move.takers.empty() ? 0 : known.share;
    return move;
}

double headroom_balance::aimOf(const region_load &home, std::span<const region_load> loads, double share) const
{
    double room = 0;
    for (const auto &load : loads) {
        const bool takes = load.region != home.region && businessOf(load) < m_options.fullFrom;
        room += takes ? load.slots * m_options.busyFrom - load.inFlight : 0;
    }
    // No more than those that take have room for; less than now when they have none.
    const double most = std::clamp(share + room / std::max(1U, home.inFlight), 0.0, m_options.shareMaximum);
    return std::clamp((businessOf(home) - m_options.busyFrom) * m_options.slope, 0.0, most);
}

std::vector<headroom_taker> headroom_balance::takersFor(const region_name &home, std::span<const region_load> loads) const
{
    std::vector<headroom_taker> takers;
    for (const auto &load : loads) {
        const double room = load.slots * m_options.fullFrom - load.inFlight;
        if (load.region != home && room > 0) {
            takers.push_back({.region = load.region, .weight = room});
        }
    }
    return takers;
}

} // namespace hornbeampick
