#include "codec/peer_codec.h"
#include "grpc_caller.h"
#include "rpc/peer_client.h"

#include "peer.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <unordered_map>

namespace hornbeampick
{

namespace
{

constexpr milliseconds oneWayTimeout {2000};

class grpc_peer_client final : public peer_client
{
public:
    grpc_peer_client(const tls_files &tls, control_meter *meter)
        : m_caller(tls, meter)
    {
    }

    ~grpc_peer_client() override
    {
        grpc_peer_client::cancelAll();
    }

    grpc_peer_client(const grpc_peer_client &) = delete;
    grpc_peer_client &operator=(const grpc_peer_client &) = delete;

    void exchange(const std::string &address, const exchange_message &message, milliseconds timeout, peer_callback<exchange_message> done) override
    {
        m_caller.call<schema::exchange_reply>("exchange", address, encode(message), timeout, &stub_async::exchange,
                                              [done = std::move(done)](const result<schema::exchange_reply> &reply) { finish(reply, done); });
    }

    void fetchRules(const std::string &address, const rules_position &have, milliseconds timeout, peer_callback<std::optional<rules_update>> done) override
    {
        m_caller.call<schema::rules_reply>("spread", address, encode(have), timeout, &stub_async::fetch_rules,
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
        message.set_teller_address(notice.senderAddress);
        m_caller.call<schema::empty>("spread", address, std::move(message), oneWayTimeout, &stub_async::notify_rules, [](const result<schema::empty> &) {});
    }

    void relayAnnounce(const std::string &address, const upstream_report &report) override
    {
        m_caller.call<schema::empty>("announce", address, encode(report), oneWayTimeout, &stub_async::relay_announce, [](const result<schema::empty> &) {});
    }

    call_canceller forward(const std::string &address, const forward_message &message, peer_callback<forward_result> done) override
    {
        const std::weak_ptr context
            = m_caller.call<schema::forward_reply>("", address, encode(message), message.timeout, &stub_async::forward,
                                                   [done = std::move(done)](const result<schema::forward_reply> &reply) { finish(reply, done); });
        return [context] {
            if (const auto running = context.lock()) {
                running->TryCancel();
            }
        };
    }

    void claim(const std::string &address, const claim_request &request, milliseconds timeout, peer_callback<claim_reply> done) override
    {
        m_caller.call<schema::claim_reply>("claim", address, encode(request), timeout, &stub_async::claim,
                                           [done = std::move(done)](const result<schema::claim_reply> &reply) { finish(reply, done); });
    }

    void reportPoison(const std::string &address, const upstream_death &death, milliseconds timeout, peer_callback<bool> done) override
    {
        m_caller.call<schema::empty>(
            "poison", address, encode(death), timeout, &stub_async::report_poison,
            [done = std::move(done)](const result<schema::empty> &reply) { done(reply ? result<bool>(true) : result<bool>(reply.error())); });
    }

    void status(const std::string &address, milliseconds timeout, peer_callback<host_status> done) override
    {
        m_caller.call<schema::status_reply>("status", address, schema::empty(), timeout, &stub_async::status,
                                            [done = std::move(done)](const result<schema::status_reply> &reply) { finish(reply, done); });
    }

    void fleetStatus(const std::string &address, milliseconds timeout, peer_callback<fleet_status> done) override
    {
        m_caller.call<schema::fleet_status_reply>("status", address, schema::empty(), timeout, &stub_async::fleet_status,
                                                  [done = std::move(done)](const result<schema::fleet_status_reply> &reply) { finish(reply, done); });
    }

    void explain(const std::string &address, const service_name &service, const std::string &client, milliseconds timeout,
                 peer_callback<steering_explanation> done) override
    {
        schema::explain_request request;
        request.set_service(service.string());
        request.set_client(client);
        m_caller.call<schema::explain_reply>("status", address, std::move(request), timeout, &stub_async::explain,
                                             [done = std::move(done)](const result<schema::explain_reply> &reply) { finish(reply, done); });
    }

    void loads(const std::string &address, milliseconds timeout, peer_callback<std::vector<service_region_load>> done) override
    {
        m_caller.call<schema::loads_reply>("status", address, schema::empty(), timeout, &stub_async::loads,
                                           [done = std::move(done)](const result<schema::loads_reply> &reply) { finish(reply, done); });
    }

    void submit(const std::string &address, const rules_change &change, bool relayed, milliseconds timeout, peer_callback<submit_result> done) override
    {
        schema::submit_request request;
        *request.mutable_change() = encode(change);
        request.set_timeout_ms(static_cast<std::uint32_t>(timeout.count()));
        request.set_relayed(relayed);
        m_caller.call<schema::submit_reply>("submit", address, std::move(request), timeout, &stub_async::submit,
                                            [done = std::move(done)](const result<schema::submit_reply> &reply) { finish(reply, done); });
    }

    void replicate(const std::string &address, const replica_message &message) override
    {
        m_caller.call<schema::empty>("replica", address, encode(message), oneWayTimeout, &stub_async::replicate, [](const result<schema::empty> &) {});
    }

    void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) override
    {
        m_caller.call<schema::form_reply>("replica", address, encode(request), oneWayTimeout, &stub_async::form,
                                          [done = std::move(done)](const result<schema::form_reply> &reply) {
                                              if (reply) {
                                                  done(decode(reply.value()));
                                              }
                                          });
    }

    void cancelAll() override
    {
        m_caller.drain();
    }

private:
    using stub_async = grpc_caller<schema::peer>::stub_async;

    template <typename Message, typename Value> static void finish(const result<Message> &reply, const peer_callback<Value> &done)
    {
        if (reply) {
            done(decode(reply.value()));
        } else {
            done(reply.error());
        }
    }

    grpc_caller<schema::peer> m_caller;
};

} // namespace

std::unique_ptr<peer_client> makeGrpcPeerClient(const tls_files &tls, control_meter *meter)
{
    return std::make_unique<grpc_peer_client>(tls, meter);
}

} // namespace hornbeampick
