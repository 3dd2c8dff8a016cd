#include "codec/control_codec.h"
#include "codec/replica_codec.h"
#include "grpc_caller.h"
#include "rpc/control_client.h"

#include "control.grpc.pb.h"

namespace hornbeampick
{

namespace
{

// Replicas retransmit long before this expires.
constexpr milliseconds oneWayTimeout {2000};

class grpc_control_client final : public control_client
{
public:
    grpc_control_client(const tls_files &tls, control_meter *meter)
        : m_caller(tls, meter)
    {
    }

    ~grpc_control_client() override
    {
        grpc_control_client::cancelAll();
    }

    grpc_control_client(const grpc_control_client &) = delete;
    grpc_control_client &operator=(const grpc_control_client &) = delete;

    void watch(const std::string &address, const watch_query &query, milliseconds timeout, peer_callback<watch_answer> done) override
    {
        m_caller.call<schema::watch_reply>("watch", address, encode(query), timeout, &stub_async::watch,
                                           [done = std::move(done)](const result<schema::watch_reply> &reply) {
                                               if (reply) {
                                                   done(decode(reply.value()));
                                               } else {
                                                   done(reply.error());
                                               }
                                           });
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

    void draw(const std::string &address, const quota_draw &draw, milliseconds timeout, peer_callback<quota_answer> done) override
    {
        m_caller.call<schema::quota_answer>("quota", address, encode(draw), timeout, &stub_async::draw,
                                            [done = std::move(done)](const result<schema::quota_answer> &reply) {
                                                if (reply) {
                                                    done(decode(reply.value()));
                                                } else {
                                                    done(reply.error());
                                                }
                                            });
    }

    void cancelAll() override
    {
        m_caller.drain();
    }

private:
    using stub_async = grpc_caller<schema::control>::stub_async;

    grpc_caller<schema::control> m_caller;
};

} // namespace

std::unique_ptr<control_client> makeGrpcControlClient(const tls_files &tls, control_meter *meter)
{
    return std::make_unique<grpc_control_client>(tls, meter);
}

} // namespace hornbeampick
