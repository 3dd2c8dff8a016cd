#include "codec/control_codec.h"
#include "codec/replica_codec.h"
#include "grpc_listener.h"
#include "rpc/control_client.h"

#include "control.grpc.pb.h"

namespace hornbeampick
{

namespace
{

using context_pointer = grpc::CallbackServerContext *;

class control_service final : public schema::control::CallbackService
{
public:
    control_service(control_handler &handler, control_meter *meter)
        : m_handler(handler)
        , m_meter(meter)
    {
    }

    grpc::ServerUnaryReactor *watch(context_pointer context, const schema::watch_request *request, schema::watch_reply *reply) override
    {
        const control_work_timer work(m_meter, "watch");
        auto *reactor = context->DefaultReactor();
        m_handler.onWatch(decode(*request), [context, reactor, reply](const watch_answer &answer) {
            if (answer.state) {
                // The routes are by far the largest part, and compress well.
                context->set_compression_algorithm(GRPC_COMPRESS_GZIP);
            }
            *reply = encode(answer);
            reactor->Finish(grpc::Status::OK);
        });
        return reactor;
    }

    grpc::ServerUnaryReactor *replicate(context_pointer context, const schema::replica_message *request, schema::empty *) override
    {
        const control_work_timer work(m_meter, "replica");
        m_handler.onReplicate(decode(*request));
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
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

    grpc::ServerUnaryReactor *draw(context_pointer context, const schema::quota_draw *request, schema::quota_answer *reply) override
    {
        const control_work_timer work(m_meter, "quota");
        *reply = encode(m_handler.onDraw(decode(*request)));
        auto *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    control_handler &m_handler;
    control_meter *m_meter;
};

} // namespace

result<std::unique_ptr<peer_server>> makeGrpcControlServer(const std::string &address, const tls_files &tls, control_handler &handler, control_meter *meter)
{
    return startGrpcServer(address, tls, std::make_unique<control_service>(handler, meter));
}

} // namespace hornbeampick
