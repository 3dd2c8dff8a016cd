#include "memory_use.h"

#include <algorithm>
#include <fstream>
#include <malloc.h>
#include <string>

namespace hornbeampick::testing
{

namespace
{

// Returns a field of the process status that the system gives in kilobytes, in bytes.
std::size_t statusBytes(const std::string &field)
{
    constexpr std::size_t bytesPerKilobyte = 1024;
    std::ifstream status("/proc/self/status");
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

} // namespace

memory_use::memory_use()
{
    ::malloc_trim(0);
    // Resets the peak resident memory to the present one.
    std::ofstream("/proc/self/clear_refs") << "5";
    m_bytesBefore = statusBytes("VmRSS:");
}

std::size_t memory_use::peakGrowthBytes() const
{
    const auto peak = statusBytes("VmHWM:");
    return peak - std::min(peak, m_bytesBefore);
}

} // namespace hornbeampick::testing
