#pragma once

namespace hornbeampick::bench
{

// Each function prints a table of the cost of control-plane work by size.

/// Measures parsing a whole rule file and then applying changes of one line each.
void printRuleChangeCost();

/// Measures the exchange messages and membership tables of the fleet by the number of daemons.
void printFleetCost();

} // namespace hornbeampick::bench
