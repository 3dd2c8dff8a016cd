#pragma once

namespace hornbeampick
{

/// Returns free heap memory of the process to the operating system. Call it after parsing a whole rule file, which leaves much
/// free memory behind. Takes some milliseconds.
void releaseFreeMemory();

} // namespace hornbeampick
