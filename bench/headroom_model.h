#pragma once

#include "steering/headroom_balance.h"

#include <vector>

namespace hornbeampick::bench
{

/// One simulation of a service in several regions, with headroom balancing or without.
struct headroom_scenario {
    // When false, every client block is served by its home region.
    bool balancingEnabled = true;
    headroom_options options;
    // Number of slots of each region.
    std::vector<unsigned> slots;
    // Demand of each home region in slots, before and after the flash crowd arrives.
    std::vector<double> before;
    std::vector<double> after;
    // Delay of load reports.
    milliseconds reportDelay {500};
    milliseconds lookupTtl {1000};
};

/// Results over the time from ten seconds after the arrival of the flash crowd until the end.
struct headroom_result {
    // Smallest fraction of free slots of any region at any time.
    double minHeadroom = 1;
    // Fraction of the demand that exceeded the slots of its destination region.
    double refused = 0;
    // Fraction of the demand that was sent to other regions than home.
    double moved = 0;
    // Difference between the largest and the smallest share that the first region transfers, during the last 50 s.
    double swing = 0;
};

/// Simulates two minutes in steps of 100 ms, with the real steering table.
headroom_result simulate(const headroom_scenario &scenario);

/// Prints a table with the results of all scenarios.
void printHeadroomTables();

} // namespace hornbeampick::bench
