#pragma once

#include <chrono>
#include <cstdint>

namespace hornbeampick
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Monotonic; compared within one process only.
using steady_time = std::chrono::steady_clock::time_point;

/// Wall time in milliseconds since the Unix epoch, UTC. May jump; used for rule times and records only.
using wall_ms = std::int64_t;

/// Source of time. Implementations are safe to call from any thread.
class clock_source
{
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual steady_time now() const = 0;
    [[nodiscard]] virtual wall_ms wallNow() const = 0;
};

/// The machine's clocks.
class system_clock_source final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_ms wallNow() const override;
};

} // namespace hornbeampick
