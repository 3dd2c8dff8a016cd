#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "steering/region_load.h"

#include <map>
#include <span>
#include <utility>
#include <vector>

namespace hornbeampick
{

struct headroom_options {
    // A region with a higher utilisation transfers client blocks to other regions, as far as those have headroom below this
    // utilisation.
    double busyUtilisation = 0.7;
    // A region with this utilisation or more receives nothing.
    double fullUtilisation = 0.85;
    // Share of the home region's blocks that is transferred per unit of utilisation above `busyUtilisation`.
    double gain = 1.67;
    double shareMaximum = 0.5;
    // Time constant of the smoothed share: longer than callers cache look-ups and than load reports are delayed.
    milliseconds timeConstant {5000};
};

/// A region that receives client blocks, with its relative weight among the recipients.
struct headroom_recipient {
    region_name region;
    double weight = 0;
};

/// The share of a home region's client blocks, from 0 to 1, that is transferred, and its recipients.
struct headroom_transfer {
    double share = 0;
    std::vector<headroom_recipient> recipients;
};

/// Returns the fraction of the slots in use, or 0 for a region without slots.
double utilisationOf(const region_load &load);

/// Computes how much traffic of each home region goes to regions with more headroom, for services that prefer headroom to latency.
///
/// Uses proportional control with smoothing. Load reports are delayed and callers cache look-ups, so a controller that jumped to
/// its target would oscillate, and so would one that stopped as soon as the other regions are equally utilised. The smoothed shares
/// are the only state; the caller passes the time in. Not thread-safe.
class headroom_balance
{
public:
    explicit headroom_balance(const headroom_options &options = {});

    /// Updates the smoothed share from the loads of a service's regions and returns the current transfer of `home`.
    headroom_transfer update(const service_name &service, const region_name &home, std::span<const region_load> loads, steady_time now);

private:
    struct smoothed_share {
        double share = 0;
        steady_time at {};
    };

    [[nodiscard]] double targetShare(const region_load &home, std::span<const region_load> loads, double share) const;
    [[nodiscard]] std::vector<headroom_recipient> recipientsFor(const region_name &home, std::span<const region_load> loads) const;

    headroom_options m_options;
    std::map<std::pair<service_name, region_name>, smoothed_share> m_shares;
};

} // namespace hornbeampick
