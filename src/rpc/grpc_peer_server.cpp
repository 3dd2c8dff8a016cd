#include "codec/peer_codec.h"
#include "grpc_listener.h"
#include "rpc/peer_client.h"
#include "tls_credentials.h"

#include "peer.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <mutex>
#include <utility>

namespace hornbeampick
{

namespace
{

using context_pointer = grpc::CallbackServerContext *;

// Joins a cancellation request with the handler's canceller, whichever comes first, and runs the canceller at most once.
class deferred_canceller
{
public:
    void arm(call_canceller cancel)
    {
        {
            const std::lock_guard guard(m_lock);
            if (!m_cancelRequested) {
                m_cancel = std::move(cancel);
                return;
            }
        }
        cancel();
    }

    void cancel()
    {
        call_canceller cancel;
        {
            const std::lock_guard guard(m_lock);
            m_cancelRequested = true;
            cancel = std::exchange(m_cancel, nullptr);
        }
        if (cancel) {
            cancel();
        }
    }

private:
    std::mutex m_lock;
    bool m_cancelRequested = false;
    call_canceller m_cancel;
};

// Reactor of a forwarded request. It deletes itself in OnDone, the last call that gRPC makes.
class forward_reactor final : public grpc::ServerUnaryReactor
{
public:
    [[nodiscard]] std::shared_ptr<deferred_canceller> canceller() const
    {
        return m_canceller;
    }

private:
    void OnCancel() override
    {
        m_canceller->cancel();
    }

    void OnDone() override
    {
        delete this;
    }

    std::shared_ptr<deferred_canceller> m_canceller = std::make_shared<deferred_canceller>();
};

class peer_service final : public schema::peer::CallbackService
{
public:
    peer_service(peer_handler &handler, control_meter *meter)
        : m_handler(handler)
        , m_meter(meter)
    {
    }

    grpc::ServerUnaryReactor *exchange(context_pointer context, const schema::exchange_request *request, schema::exchange_reply *reply) override
    {
        const control_work_timer work(m_meter, "exchange");
        *reply = encodeReply(m_handler.onExchange(decode(*request)));
        countSent("exchange", *reply);
        return finish(context);
    }

    grpc::ServerUnaryReactor *fetch_rules(context_pointer context, const schema::rules_request *request, schema::rules_reply *reply) override
    {
        const control_work_timer work(m_meter, "spread");
        if (const auto update = m_handler.onFetchRules(decode(*request))) {
            *reply = encode(*update);
        }
        countSent("spread", *reply);
        return finish(context);
    }

    grpc::ServerUnaryReactor *notify_rules(context_pointer context, const schema::rules_notice *request, schema::empty *) override
    {
        const control_work_timer work(m_meter, "spread");
        m_handler.onNotifyRules({.appliedIndex = request->applied_index(), .root = host_name(request->root()), .senderAddress = request->teller_address()});
        return finish(context);
    }

    grpc::ServerUnaryReactor *relay_announce(context_pointer context, const schema::upstream *request, schema::empty *) override
    {
        const control_work_timer work(m_meter, "announce");
        m_handler.onRelayAnnounce(decode(*request));
        return finish(context);
    }

    grpc::ServerUnaryReactor *forward(context_pointer, const schema::forward_request *request, schema::forward_reply *reply) override
    {
        auto *reactor = new forward_reactor;
        // The call may end, and the reactor be deleted, before onForward returns.
        const auto cancel = reactor->canceller();
        cancel->arm(m_handler.onForward(decode(*request, std::chrono::steady_clock::now()), [reactor, reply](const forward_result &value) {
            *reply = encode(value);
            reactor->Finish(grpc::Status::OK);
        }));
        return reactor;
    }

    grpc::ServerUnaryReactor *claim(context_pointer context, const schema::claim_request *request, schema::claim_reply *reply) override
    {
        const control_work_timer work(m_meter, "claim");
        *reply = encode(m_handler.onClaim(decode(*request)));
        countSent("claim", *reply);
        return finish(context);
    }

    grpc::ServerUnaryReactor *report_poison(context_pointer context, const schema::poison_notice *request, schema::empty *) override
    {
        const control_work_timer work(m_meter, "poison");
        m_handler.onPoison(decode(*request));
        return finish(context);
    }

    grpc::ServerUnaryReactor *status(context_pointer context, const schema::empty *, schema::status_reply *reply) override
    {
        *reply = encode(m_handler.onStatus());
        return finish(context);
    }

    grpc::ServerUnaryReactor *fleet_status(context_pointer context, const schema::empty *, schema::fleet_status_reply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_handler.onFleetStatus([reactor, reply](const hornbeampick::fleet_status &value) {
            *reply = encode(value);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *explain(context_pointer context, const schema::explain_request *request, schema::explain_reply *reply) override
    {
        *reply = encode(m_handler.onExplain(service_name(request->service()), request->client()));
        return finish(context);
    }

    grpc::ServerUnaryReactor *loads(context_pointer context, const schema::empty *, schema::loads_reply *reply) override
    {
        *reply = encode(m_handler.onLoads());
        return finish(context);
    }

    grpc::ServerUnaryReactor *submit(context_pointer context, const schema::submit_request *request, schema::submit_reply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        rules_change change = decode(request->change());
        // Under TLS, the certificate identifies the operator. A relayed change already carries the name.
        const std::string name = peerName(*context);
        if (!name.empty() && !request->relayed()) {
            change.operatorName = name;
        }
        m_handler.onSubmit(change, request->relayed(), milliseconds(request->timeout_ms()), [reactor, reply](const submit_result &value) {
            *reply = encode(value);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *replicate(context_pointer context, const schema::replica_message *request, schema::empty *) override
    {
        const control_work_timer work(m_meter, "replica");
        m_handler.onReplicate(decode(*request));
        return finish(context);
    }

    grpc::ServerUnaryReactor *form(context_pointer context, const schema::form_request *request, schema::form_reply *reply) override
    {
        auto *reactor = context->DefaultReactor();
        m_handler.onForm(decode(*request), [reactor, reply](const form_reply &value) {
            *reply = encode(value);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

private:
    static grpc::ServerUnaryReactor *finish(context_pointer context)
    {
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    template <typename Message> void countSent(std::string_view mechanism, const Message &message) const
    {
        if (m_meter != nullptr) {
            m_meter->onSent(mechanism, message.ByteSizeLong());
        }
    }

    peer_handler &m_handler;
    control_meter *m_meter;
};

} // namespace

result<std::unique_ptr<peer_server>> makeGrpcPeerServer(const std::string &address, const tls_files &tls, peer_handler &handler, control_meter *meter)
{
    return startGrpcServer(address, tls, std::make_unique<peer_service>(handler, meter));
}

} // namespace hornbeampick
