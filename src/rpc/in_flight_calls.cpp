#include "in_flight_calls.h"

#include <vector>

namespace hornbeampick
{

in_flight_calls::call_id in_flight_calls::add(const std::shared_ptr<grpc::ClientContext> &context)
{
    const std::lock_guard guard(m_lock);
    m_contexts.emplace(++m_last, context);
    return m_last;
}

void in_flight_calls::remove(call_id call)
{
    // Notify under the lock: the thread in drain() may destroy this object as soon as it acquires the lock.
    const std::lock_guard guard(m_lock);
    m_contexts.erase(call);
    m_changed.notify_all();
}

void in_flight_calls::drain()
{
    std::vector<std::shared_ptr<grpc::ClientContext>> contexts;
    {
        const std::lock_guard guard(m_lock);
        for (const auto &[call, context] : m_contexts) {
            contexts.push_back(context.lock());
        }
    }
    for (const auto &context : contexts) {
        if (context) {
            context->TryCancel();
        }
    }
    contexts.clear();
    std::unique_lock guard(m_lock);
    m_changed.wait(guard, [this] { return m_contexts.empty(); });
}

} // namespace hornbeampick
