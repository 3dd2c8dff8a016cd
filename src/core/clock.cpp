#include "core/clock.h"

#include <ctime>

namespace hornbeampick
{

steady_time system_clock_source::now() const
{
    return std::chrono::steady_clock::now();
}

steady_time system_clock_source::bootNow() const
{
    timespec since {};
    ::clock_gettime(CLOCK_BOOTTIME, &since);
    return steady_time(seconds(since.tv_sec) + std::chrono::nanoseconds(since.tv_nsec));
}

wall_ms system_clock_source::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

} // namespace hornbeampick
