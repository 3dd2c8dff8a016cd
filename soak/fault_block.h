#pragma once

#include <cstdint>

namespace hornbeampick::soak
{

/// Content of the file through which faults reach a process. All zeros: none. Shorter than a page, so that a write is seen whole.
struct fault_block {
    std::int64_t clockAheadMs = 0;
    std::int64_t syncDelayMs = 0;
    // Not 0: writes to files and their syncs fail with ENOSPC.
    std::int64_t diskFull = 0;
};

} // namespace hornbeampick::soak
