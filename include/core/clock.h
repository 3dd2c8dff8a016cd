#pragma once

#include <chrono>
#include <cstdint>

namespace hornbeampick
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Monotonic time; comparable only within one process.
using steady_time = std::chrono::steady_clock::time_point;

/// Wall time in milliseconds since the Unix epoch, UTC. Not monotonic; used only for the times in rules and for timestamps.
using wall_ms = std::int64_t;

/// Interface to a source of time. Implementations are thread-safe.
class clock_source
{
public:
    virtual ~clock_source() = default;
    [[nodiscard]] virtual steady_time now() const = 0;
    /// Like `now`, but also counts the time in which the machine is suspended. Not comparable to `now`.
    [[nodiscard]] virtual steady_time bootNow() const = 0;
    [[nodiscard]] virtual wall_ms wallNow() const = 0;
};

/// Reads the clocks of the operating system.
class system_clock_source final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] steady_time bootNow() const override;
    [[nodiscard]] wall_ms wallNow() const override;
};

} // namespace hornbeampick
