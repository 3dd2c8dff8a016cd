#pragma once

#include <cstdint>

namespace hornbeampick::soak
{

/// Content of the memory-mapped file through which faults are set in a process. All zeros means no faults. Smaller than a page, so that a
/// write becomes visible as a whole.
struct fault_block {
    std::int64_t clockAheadMs = 0;
    std::int64_t syncDelayMs = 0;
    // If not 0, writes to regular files and file syncs fail with ENOSPC.
    std::int64_t diskFull = 0;
    // If not 0, new connections to 127.0.0.1, where upstreams listen, are refused. Open ones go on.
    std::int64_t upstreamsUnreachable = 0;
    // New connections to 127.0.0.1 take this much longer; the thread that opens one blocks for that time.
    std::int64_t upstreamConnectDelayMs = 0;
};

} // namespace hornbeampick::soak
