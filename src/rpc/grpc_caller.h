#pragma once

#include "core/control_meter.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/shards.h"
#include "in_flight_calls.h"
#include "rpc/peer_client.h"
#include "tls_credentials.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hornbeampick
{

/// Maximum size of a message between daemons, in bytes. The largest one carries the whole replicated state.
constexpr int maxMessageBytes = 128 << 20;
/// Minimum interval between keepalive pings that a server accepts: half of the interval that clients use.
constexpr int minPingIntervalMs = 500;

/// Maps the status of a failed call to an error code.
std::error_code toErrorCode(const grpc::Status &status);

/// Returns the arguments of channels to other daemons: a short reconnect backoff, and keepalive pings that detect dead connections.
grpc::ChannelArguments channelArguments();

/// State of one call in flight; lives until its callback has run. The channel belongs to the grpc_caller.
template <typename Request, typename Reply> struct pending_call {
    explicit pending_call(in_flight_calls &tracked)
        : tracker(tracked)
        , context(std::make_shared<grpc::ClientContext>())
        , id(tracker.add(context))
    {
    }

    ~pending_call()
    {
        context.reset();
        tracker.remove(id);
    }

    pending_call(const pending_call &) = delete;
    pending_call &operator=(const pending_call &) = delete;

    in_flight_calls &tracker;
    std::shared_ptr<grpc::ClientContext> context;
    in_flight_calls::call_id id;
    Request request;
    Reply reply;
};

/// Makes calls to one gRPC service at any address. Channels are cached for the lifetime of the object. Thread-safe.
template <typename Service> class grpc_caller
{
public:
    using stub_async = typename Service::StubInterface::async_interface;

    /// `meter` may be null; otherwise it must outlive the object.
    grpc_caller(const tls_files &tls, control_meter *meter)
        : m_credentials(makeChannelCredentials(tls))
        , m_meter(meter)
    {
    }

    /// Cancels all calls in flight and waits for their callbacks.
    void drain()
    {
        m_calls.drain();
    }

    /// Starts a call; `done(result<Reply>)` is called exactly once, from any thread. The returned context serves to cancel the call.
    template <typename Reply, typename Request, typename Done>
    std::weak_ptr<grpc::ClientContext> call(std::string_view mechanism, const std::string &address, Request request, milliseconds timeout,
                                            void (stub_async::*method)(grpc::ClientContext *, const Request *, Reply *, std::function<void(grpc::Status)>),
                                            Done done)
    {
        auto state = std::make_shared<pending_call<Request, Reply>>(m_calls);
        state->request = std::move(request);
        state->context->set_deadline(std::chrono::system_clock::now() + timeout);
        if (m_meter != nullptr && !mechanism.empty()) {
            m_meter->onSent(mechanism, state->request.ByteSizeLong());
        }
        std::weak_ptr context = state->context;
        stub_async *async = stubFor(address).async();
        const auto &running = *state;
        auto *received = &state->reply;
        (async->*method)(running.context.get(), &running.request, received, [state = std::move(state), done = std::move(done)](const grpc::Status &status) {
            if (status.ok()) {
                done(result<Reply>(state->reply));
            } else {
                done(result<Reply>(toErrorCode(status)));
            }
        });
        return context;
    }

private:
    using stub_type = typename Service::Stub;

    struct connection {
        std::shared_ptr<grpc::Channel> channel;
        std::unique_ptr<stub_type> stub;
    };
    using connection_map = std::unordered_map<std::string, connection>;

    stub_type &stubFor(const std::string &address)
    {
        return m_connections.with(stableHash(address), [&](connection_map &all) -> stub_type & {
            auto &cached = all[address];
            if (!cached.stub) {
                cached.channel = grpc::CreateCustomChannel("ipv4:" + address, m_credentials, channelArguments());
                cached.stub = Service::NewStub(cached.channel);
            }
            return *cached.stub;
        });
    }

    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    control_meter *m_meter;
    shards<connection_map> m_connections;
    in_flight_calls m_calls;
};

} // namespace hornbeampick
