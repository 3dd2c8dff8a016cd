#pragma once

namespace hornbeampick
{

/// Gives memory that is free within the process back to the system: after a whole rule file was read, much is.
/// Costs some milliseconds.
void releaseFreeMemory();

} // namespace hornbeampick
