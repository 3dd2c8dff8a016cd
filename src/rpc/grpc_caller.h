#pragma once

#include "core/control_meter.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/shards.h"
#include "live_calls.h"
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

/// Largest message between daemons: a whole state of the log.
constexpr int messageBytesMaximum = 128 << 20;
/// A server takes a ping this often; half of what clients send.
constexpr int pingIntervalMinimumMs = 500;

/// Why a call failed.
std::error_code failureOf(const grpc::Status &status);

/// Arguments of a channel to another daemon: short reconnects, and pings that find connections gone silent.
grpc::ChannelArguments channelArguments();

/// One call under way; lives until its callback has run. It borrows its channel from the caller.
template <typename Request, typename Reply> struct call_state {
    explicit call_state(live_calls &live)
        : calls(live)
        , context(std::make_shared<grpc::ClientContext>())
        , id(calls.add(context))
    {
    }

    ~call_state()
    {
        context.reset();
        calls.remove(id);
    }

    call_state(const call_state &) = delete;
    call_state &operator=(const call_state &) = delete;

    live_calls &calls;
    std::shared_ptr<grpc::ClientContext> context;
    live_calls::call_id id;
    Request request;
    Reply reply;
};

/// Calls of one gRPC service to any address, over channels that are kept as long as the caller. Thread-safe.
template <typename Service> class grpc_caller
{
public:
    using stub_async = typename Service::StubInterface::async_interface;

    /// `meter` may be null.
    grpc_caller(const tls_files &tls, control_meter *meter)
        : m_credentials(makeChannelCredentials(tls))
        , m_meter(meter)
    {
    }

    /// Cancels what is under way and waits for its callbacks.
    void drain()
    {
        m_calls.drain();
    }

    /// `done(result<Reply>)` is called once, from any thread.
    template <typename Reply, typename Request, typename Done>
    std::weak_ptr<grpc::ClientContext> call(std::string_view mechanism, const std::string &address, Request request, milliseconds timeout,
                                            void (stub_async::*method)(grpc::ClientContext *, const Request *, Reply *, std::function<void(grpc::Status)>),
                                            Done done)
    {
        auto state = std::make_shared<call_state<Request, Reply>>(m_calls);
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
                done(result<Reply>(failureOf(status)));
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
            auto &known = all[address];
            if (!known.stub) {
                known.channel = grpc::CreateCustomChannel("ipv4:" + address, m_credentials, channelArguments());
                known.stub = Service::NewStub(known.channel);
            }
            return *known.stub;
        });
    }

    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    control_meter *m_meter;
    shards<connection_map> m_connections;
    live_calls m_calls;
};

} // namespace hornbeampick
