#include "core/control_meter.h"

#include <ctime>

namespace hornbeampick
{

namespace
{

// Returns the processor time used by the calling thread so far.
microseconds threadProcessorTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<microseconds>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace

control_work_timer::control_work_timer(control_meter *meter, std::string_view mechanism)
    : m_meter(meter)
    , m_mechanism(mechanism)
    , m_processorTimeAtStart(threadProcessorTime())
{
}

control_work_timer::~control_work_timer()
{
    if (m_meter != nullptr) {
        m_meter->onProcessorTime(m_mechanism, threadProcessorTime() - m_processorTimeAtStart);
    }
}

} // namespace hornbeampick
