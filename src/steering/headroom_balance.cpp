#include "steering/headroom_balance.h"

#include <algorithm>
#include <cmath>

namespace hornbeampick
{

namespace
{

// Smaller shares are not transferred, since they do not justify the latency of another region.
constexpr double minTransferShare = 0.01;

} // namespace

double utilisationOf(const region_load &load)
{
    return load.slots == 0 ? 0 : static_cast<double>(load.inFlight) / load.slots;
}

headroom_balance::headroom_balance(const headroom_options &options)
    : m_options(options)
{
}

headroom_transfer headroom_balance::update(const service_name &service, const region_name &home, std::span<const region_load> loads, steady_time now)
{
    const auto own = std::ranges::find(loads, home, &region_load::region);
    headroom_transfer transfer;
    transfer.recipients = recipientsFor(home, loads);
    auto [place, isNew] = m_shares.try_emplace({service, home});
    auto &smoothed = place->second;
    const double target = own == loads.end() || transfer.recipients.empty() ? 0 : targetShare(*own, loads, smoothed.share);
    if (!isNew) {
        const double timeConstantsElapsed = std::chrono::duration<double>(now - smoothed.at) / std::chrono::duration<double>(m_options.timeConstant);
        smoothed.share += (target - smoothed.share) * (1 - std::exp(-timeConstantsElapsed));
    }
    smoothed.at = now;
    transfer.share = smoothed.share < minTransferShare || transfer.recipients.empty() ? 0 : smoothed.share;
    return transfer;
}

double headroom_balance::targetShare(const region_load &home, std::span<const region_load> loads, double share) const
{
    double headroom = 0;
    for (const auto &load : loads) {
        const bool isRecipient = load.region != home.region && utilisationOf(load) < m_options.fullUtilisation;
        headroom += isRecipient ? load.slots * m_options.busyUtilisation - load.inFlight : 0;
    }
    // At most the free capacity of the recipients; when it is negative, the share falls below its current value.
    const double limit = std::clamp(share + headroom / std::max(1U, home.inFlight), 0.0, m_options.shareMaximum);
    return std::clamp((utilisationOf(home) - m_options.busyUtilisation) * m_options.gain, 0.0, limit);
}

std::vector<headroom_recipient> headroom_balance::recipientsFor(const region_name &home, std::span<const region_load> loads) const
{
    std::vector<headroom_recipient> recipients;
    for (const auto &load : loads) {
        const double headroom = load.slots * m_options.fullUtilisation - load.inFlight;
        if (load.region != home && headroom > 0) {
            recipients.push_back({.region = load.region, .weight = headroom});
        }
    }
    return recipients;
}

} // namespace hornbeampick
