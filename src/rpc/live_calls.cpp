#include "live_calls.h"

#include <vector>

namespace hornbeampick
{

live_calls::call_id live_calls::add(const std::shared_ptr<grpc::ClientContext> &context)
{
    const std::lock_guard guard(m_lock);
    m_contexts.emplace(++m_last, context);
    return m_last;
}

void live_calls::remove(call_id call)
{
    // Notified under the lock: the waiter may destroy this object as soon as it has the lock.
    const std::lock_guard guard(m_lock);
    m_contexts.erase(call);
    m_changed.notify_all();
}

void live_calls::drain()
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
