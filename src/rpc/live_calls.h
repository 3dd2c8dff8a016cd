#pragma once

#include <condition_variable>
#include <cstdint>
#include <grpcpp/client_context.h>
#include <map>
#include <memory>
#include <mutex>

namespace hornbeampick
{

/// The calls of one client that are under way.
///
/// The library's queue must not lose its last user on one of its own threads, so a client
/// outlives its calls: it cancels them and waits here. Thread-safe.
class live_calls
{
public:
    using call_id = std::uint64_t;

    call_id add(const std::shared_ptr<grpc::ClientContext> &context);
    /// The context must be gone by then: it holds on to the client's channel.
    void remove(call_id call);
    /// Cancels all calls and waits until the last one is removed. Not for a callback's thread.
    void drain();

private:
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<call_id, std::weak_ptr<grpc::ClientContext>> m_contexts;
    call_id m_last = 0;
};

} // namespace hornbeampick
