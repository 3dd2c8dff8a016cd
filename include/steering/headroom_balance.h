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
    // A region busier than this gives some of its blocks away, as long as the others together are less busy.
    double busyFrom = 0.7;
    // A region busier than this takes nothing.
    double fullFrom = 0.85;
    // Share of the home's blocks given away for each unit of business beyond.
    double slope = 1.67;
    double shareMaximum = 0.5;
    // The share follows its aim with this time constant, longer than look-ups are kept and loads are late.
    milliseconds settling {5000};
};

/// A region that takes blocks of another, and its part of those given away.
struct headroom_taker {
    region_name region;
    double weight = 0;
};

/// What a home gives away: a share of its blocks, 0 to 1, and to whom.
struct headroom_move {
    double share = 0;
    std::vector<headroom_taker> takers;
};

/// Share of the slots that are in use; 0 where there are none.
double businessOf(const region_load &load);

/// How much of each home's work goes to regions with more headroom, for services that put headroom before latency.
///
/// A proportional rule with smoothing: reports are late and callers keep look-ups, so a rule that jumped to its
/// aim would swing; so would one that stopped as soon as the others are as busy. Pure but for the smoothed shares; the
/// caller passes the time in. Single-threaded.
class headroom_balance
{
public:
    explicit headroom_balance(const headroom_options &options = {});

    /// Takes in the loads of a service's regions, and returns what `home` gives away now.
    headroom_move update(const service_name &service, const region_name &home, std::span<const region_load> loads, steady_time now);

private:
    struct smoothed {
        double share = 0;
        steady_time at {};
    };

    [[nodiscard]] double aimOf(const region_load &home, std::span<const region_load> loads, double share) const;
    [[nodiscard]] std::vector<headroom_taker> takersFor(const region_name &home, std::span<const region_load> loads) const;

    headroom_options m_options;
    std::map<std::pair<service_name, region_name>, smoothed> m_shares;
};

} // namespace hornbeampick
