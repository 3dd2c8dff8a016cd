#pragma once

#include <condition_variable>
#include <cstdint>
#include <grpcpp/client_context.h>
#include <map>
#include <memory>
#include <mutex>

namespace hornbeampick
{

/// Tracks the calls of one client that are in flight. Thread-safe.
///
/// gRPC's completion queue must not lose its last reference on one of its own threads. A client therefore outlives its calls:
/// its destructor cancels them and waits for them here.
class in_flight_calls
{
public:
    using call_id = std::uint64_t;

    /// Registers a call.
    call_id add(const std::shared_ptr<grpc::ClientContext> &context);
    /// Unregisters a call. The context must have been destroyed before, because it references the client's channel.
    void remove(call_id call);
    /// Cancels all calls and waits until the last one is removed. Must not be called from a callback.
    void drain();

private:
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<call_id, std::weak_ptr<grpc::ClientContext>> m_contexts;
    call_id m_last = 0;
};

} // namespace hornbeampick
