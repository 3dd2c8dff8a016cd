#include "memory_use.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <string>

namespace hornbeampick::testing
{

std::size_t processStatusBytes(const std::string &process, const std::string &field)
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status("/proc/" + process + "/status");
    std::string name;
    std::size_t kilobytes = 0;
    while (status >> name) {
        if (name == field) {
            status >> kilobytes;
            break;
        }
    }
    return kilobytes * bytesPerKilobyte;
}

memory_use::memory_use()
{
    ::malloc_trim(0);
    // Resets the peak resident memory to the present one.
    std::ofstream("/proc/self/clear_refs") << "5";
    m_bytesBefore = processStatusBytes("self", "VmRSS:");
}

std::size_t memory_use::peakGrowthBytes() const
{
    const auto peak = processStatusBytes("self", "VmHWM:");
    return peak - std::min(peak, m_bytesBefore);
}

} // namespace hornbeampick::testing
