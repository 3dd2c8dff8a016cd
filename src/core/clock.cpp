#include "core/clock.h"

namespace hornbeampick
{

steady_time system_clock_source::now() const
{
    return std::chrono::steady_clock::now();
}

wall_ms system_clock_source::wallNow() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
}

} // namespace hornbeampick
