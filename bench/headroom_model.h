#pragma once

#include "steering/headroom_balance.h"

#include <vector>

namespace hornbeampick::bench
{

/// Regions that put headroom first or latency first, and the demand for one service in each.
struct headroom_case {
    // Off: every block is served at home.
    bool balances = true;
    headroom_options options;
    // Slots of each region.
    std::vector<unsigned> slots;
    // Demand of each home, in slots; before and after the crowd comes.
    std::vector<double> before;
    std::vector<double> after;
    // How late loads are known.
    milliseconds late {500};
    milliseconds lookupTtl {1000};
};

/// From ten seconds after the crowd came until the end.
struct headroom_outcome {
    // Smallest share of free slots of any region at any time.
    double lowestHeadroom = 1;
    // Part of the demand beyond the slots of where it went.
    double refused = 0;
    // Part of the demand served away from home.
    double moved = 0;
    // Largest swing of the share given away within the last half.
    double swing = 0;
};

/// Plays two minutes in steps of 100 ms through the steering table itself.
headroom_outcome play(const headroom_case &given);

/// Prints the cases.
void headroomTables();

} // namespace hornbeampick::bench
