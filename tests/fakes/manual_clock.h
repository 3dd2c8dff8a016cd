#pragma once

#include "core/clock.h"

namespace hornbeampick::testing
{

/// A clock that moves only when advance() is called.
class manual_clock final : public clock_source
{
public:
    [[nodiscard]] steady_time now() const override
    {
        return m_now;
    }
    [[nodiscard]] steady_time bootNow() const override
    {
        return m_now;
    }
    [[nodiscard]] wall_ms wallNow() const override
    {
        return m_wall;
    }
    void advance(std::chrono::microseconds step)
    {
        m_now += step;
        m_sinceStart += step;
        m_wall = startWall + std::chrono::duration_cast<milliseconds>(m_sinceStart).count();
    }

private:
    static constexpr wall_ms startWall = 1'790'000'000'000;
    steady_time m_now {seconds(1000)};
    std::chrono::microseconds m_sinceStart {};
    wall_ms m_wall = startWall;
};

} // namespace hornbeampick::testing
