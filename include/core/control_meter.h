#pragma once

#include "core/clock.h"

#include <cstddef>
#include <string_view>

namespace hornbeampick
{

/// Told what control work costs, by mechanism (exchange, spread, replica, claim, …). Thread-safe.
class control_meter
{
public:
    virtual ~control_meter() = default;
    virtual void onSent(std::string_view mechanism, std::size_t bytes) = 0;
    virtual void onWorked(std::string_view mechanism, microseconds processorTime) = 0;
};

/// Reports the processor time that the calling thread spends until the end of the scope.
/// Scopes must neither nest nor reach over a wait.
class control_work
{
public:
    /// `meter` may be null. `mechanism` must outlive the scope.
    control_work(control_meter *meter, std::string_view mechanism);
    ~control_work();
    control_work(const control_work &) = delete;
    control_work &operator=(const control_work &) = delete;

private:
    control_meter *m_meter;
    std::string_view m_mechanism;
    microseconds m_begun;
};

} // namespace hornbeampick
