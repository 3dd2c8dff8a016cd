#pragma once

#include "core/clock.h"

#include <cstddef>
#include <string_view>

namespace hornbeampick
{

/// Records the cost of control traffic by mechanism (exchange, spread, replica, claim, …). Implementations are thread-safe.
class control_meter
{
public:
    virtual ~control_meter() = default;
    /// Records a control message of `bytes` bytes sent.
    virtual void onSent(std::string_view mechanism, std::size_t bytes) = 0;
    /// Records processor time spent on control work.
    virtual void onProcessorTime(std::string_view mechanism, microseconds processorTime) = 0;
};

/// Reports the processor time that the calling thread spends in a scope. Scopes must not nest and must not contain a wait or a
/// coroutine suspension, because they measure the time of the thread.
class control_work_timer
{
public:
    /// `meter` may be null; then nothing is reported. `meter` and the text of `mechanism` must outlive the scope.
    control_work_timer(control_meter *meter, std::string_view mechanism);
    ~control_work_timer();
    control_work_timer(const control_work_timer &) = delete;
    control_work_timer &operator=(const control_work_timer &) = delete;

private:
    control_meter *m_meter;
    std::string_view m_mechanism;
    microseconds m_processorTimeAtStart;
};

} // namespace hornbeampick
