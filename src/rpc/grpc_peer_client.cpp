#include "codec/peer_codec.h"
#include "core/digest.h"
#include "core/shards.h"
#include "live_calls.h"
#include "rpc/peer_client.h"
#include "tls_credentials.h"

#include "peer.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <unordered_map>

namespace hornbeampick
{

namespace
{

constexpr int messageBytesMaximum = 128 << 20;
constexpr milliseconds oneWayTimeout {2000};
constexpr int reconnectMinimumMs = 50;
constexpr int reconnectMaximumMs = 500;

// A peer's channel and the stub on it.
struct connection {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<schema::peer::Stub> stub;
};

using connection_map = std::unordered_map<std::string, connection>;

// One call under way; lives until its callback has run. It borrows its channel from the client.
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

// The library says in words only that a call never left for want of a connection.
bool neverSent(const grpc::Status &status)
{
    return status.error_code() == grpc::StatusCode::UNAVAILABLE && status.error_message().starts_with("failed to connect to all addresses");
}

std::error_code failureOf(const grpc::Status &status)
{
    if (neverSent(status)) {
        return make_error_code(errc::unreachable);
    }
    return make_error_code(status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? errc::timedOut : errc::peerUnreachable);
}

class grpc_peer_client final : public peer_client
{
public:
    grpc_peer_client(const tls_files &tls, control_meter *meter)
        : m_credentials(makeChannelCredentials(tls))
        , m_meter(meter)
    {
    }

    ~grpc_peer_client() override
    {
        grpc_peer_client::cancelAll();
    }

    grpc_peer_client(const grpc_peer_client &) = delete;
    grpc_peer_client &operator=(const grpc_peer_client &) = delete;

    void exchange(const std::string &address, const exchange_message &message, milliseconds timeout, peer_done<exchange_message> done) override
    {
        call<schema::exchange_reply>("exchange", address, encode(message), timeout, &stub_async::exchange,
                                     [done = std::move(done)](const result<schema::exchange_reply> &reply) { finish(reply, done); });
    }

    void fetchRules(const std::string &address, const rules_position &have, milliseconds timeout, peer_done<std::optional<rules_update>> done) override
    {
        call<schema::rules_reply>("spread", address, encode(have), timeout, &stub_async::fetch_rules,
                                  [done = std::move(done)](const result<schema::rules_reply> &reply) {
                                      if (!reply) {
                                          done(reply.error());
                                      } else if (reply.value().has_state()) {
                                          done(std::optional(decode(reply.value())));
                                      } else {
                                          done(std::optional<rules_update>());
                                      }
                                  });
    }

    void notifyRules(const std::string &address, const rules_notice &notice) override
    {
        schema::rules_notice message;
        message.set_applied_index(notice.appliedIndex);
        message.set_root(notice.root.string());
        message.set_teller_address(notice.tellerAddress);
        call<schema::empty>("spread", address, std::move(message), oneWayTimeout, &stub_async::notify_rules, [](const result<schema::empty> &) {});
    }

    void relayAnnounce(const std::string &address, const upstream_report &report) override
    {
        call<schema::empty>("announce", address, encode(report), oneWayTimeout, &stub_async::relay_announce, [](const result<schema::empty> &) {});
    }

    call_canceller forward(const std::string &address, const forward_message &message, peer_done<forward_result> done) override
    {
        const std::weak_ptr context
            = call<schema::forward_reply>("", address, encode(message), message.timeout, &stub_async::forward,
                                          [done = std::move(done)](const result<schema::forward_reply> &reply) { finish(reply, done); });
        return [context] {
            if (const auto running = context.lock()) {
                running->TryCancel();
            }
        };
    }

    void claim(const std::string &address, const claim_request &request, milliseconds timeout, peer_done<claim_reply> done) override
    {
        call<schema::claim_reply>("claim", address, encode(request), timeout, &stub_async::claim,
                                  [done = std::move(done)](const result<schema::claim_reply> &reply) { finish(reply, done); });
    }

    void reportPoison(const std::string &address, const upstream_death &death, milliseconds timeout, peer_done<bool> done) override
    {
        call<schema::empty>("poison", address, encode(death), timeout, &stub_async::report_poison,
                            [done = std::move(done)](const result<schema::empty> &reply) { done(reply ? result<bool>(true) : result<bool>(reply.error())); });
    }

    void status(const std::string &address, milliseconds timeout, peer_done<host_status> done) override
    {
        call<schema::status_reply>("status", address, schema::empty(), timeout, &stub_async::status,
                                   [done = std::move(done)](const result<schema::status_reply> &reply) { finish(reply, done); });
    }

    void fleetStatus(const std::string &address, milliseconds timeout, peer_done<fleet_status> done) override
    {
        call<schema::fleet_status_reply>("status", address, schema::empty(), timeout, &stub_async::fleet_status,
                                         [done = std::move(done)](const result<schema::fleet_status_reply> &reply) { finish(reply, done); });
    }

    void explain(const std::string &address, const service_name &service, const std::string &client, milliseconds timeout,
                 peer_done<steering_explanation> done) override
    {
        schema::explain_request request;
        request.set_service(service.string());
        request.set_client(client);
        call<schema::explain_reply>("status", address, std::move(request), timeout, &stub_async::explain,
                                    [done = std::move(done)](const result<schema::explain_reply> &reply) { finish(reply, done); });
    }

    void loads(const std::string &address, milliseconds timeout, peer_done<std::vector<service_region_load>> done) override
    {
        call<schema::loads_reply>("status", address, schema::empty(), timeout, &stub_async::loads,
                                  [done = std::move(done)](const result<schema::loads_reply> &reply) { finish(reply, done); });
    }

    void submit(const std::string &address, const rules_change &change, bool relayed, milliseconds timeout, peer_done<submit_result> done) override
    {
        schema::submit_request request;
        *request.mutable_change() = encode(change);
        request.set_timeout_ms(static_cast<std::uint32_t>(timeout.count()));
        request.set_relayed(relayed);
        call<schema::submit_reply>("submit", address, std::move(request), timeout, &stub_async::submit,
                                   [done = std::move(done)](const result<schema::submit_reply> &reply) { finish(reply, done); });
    }

    void replicate(const std::string &address, const replica_message &message) override
    {
        call<schema::empty>("replica", address, encode(message), oneWayTimeout, &stub_async::replicate, [](const result<schema::empty> &) {});
    }

    void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) override
    {
        call<schema::form_reply>("replica", address, encode(request), oneWayTimeout, &stub_async::form,
                                 [done = std::move(done)](const result<schema::form_reply> &reply) {
                                     if (reply) {
                                         done(decode(reply.value()));
                                     }
                                 });
    }

    void cancelAll() override
    {
        m_calls.drain();
    }

private:
    using stub_async = schema::peer::StubInterface::async_interface;

    template <typename Message, typename Value> static void finish(const result<Message> &reply, const peer_done<Value> &done)
    {
        if (reply) {
            done(decode(reply.value()));
        } else {
            done(reply.error());
        }
    }

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

    // Connections are kept as long as the client.
    schema::peer::Stub &stubFor(const std::string &address)
    {
        return m_connections.with(stableHash(address), [&](connection_map &all) -> schema::peer::Stub & {
            auto &known = all[address];
            if (!known.stub) {
                grpc::ChannelArguments arguments;
                arguments.SetMaxReceiveMessageSize(messageBytesMaximum);
                arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectMinimumMs);
                arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectMaximumMs);
                arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectMaximumMs);
                arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
                known.channel = grpc::CreateCustomChannel("ipv4:" + address, m_credentials, arguments);
                known.stub = schema::peer::NewStub(known.channel);
            }
            return *known.stub;
        });
    }

    std::shared_ptr<grpc::ChannelCredentials> m_credentials;
    control_meter *m_meter;
    shards<connection_map> m_connections;
    live_calls m_calls;
};

} // namespace

std::unique_ptr<peer_client> makeGrpcPeerClient(const tls_files &tls, control_meter *meter)
{
    return std::make_unique<grpc_peer_client>(tls, meter);
}

} // namespace hornbeampick
