#pragma once

namespace hornbeampick::bench
{

/// Each prints a table of what control work costs by size.

/// Reading a whole rule file, and a change of one line on top of it.
void changeCost();

/// Messages and tables of the fleet.
void fleetCost();

} // namespace hornbeampick::bench
