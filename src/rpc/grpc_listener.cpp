#include "grpc_listener.h"

#include "grpc_caller.h"
#include "tls_credentials.h"

namespace hornbeampick
{

namespace
{

class grpc_peer_server final : public peer_server
{
public:
    explicit grpc_peer_server(std::unique_ptr<grpc::Service> service)
        : m_service(std::move(service))
    {
    }

    ~grpc_peer_server() override
    {
        grpc_peer_server::stop(milliseconds(0));
    }

    grpc_peer_server(const grpc_peer_server &) = delete;
    grpc_peer_server &operator=(const grpc_peer_server &) = delete;

    bool listen(const std::string &address, const tls_files &tls)
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort(address, makeServerCredentials(tls), &m_port);
        builder.RegisterService(m_service.get());
        builder.SetMaxReceiveMessageSize(maxMessageBytes);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, minPingIntervalMs);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
        m_server = builder.BuildAndStart();
        return m_server != nullptr && m_port > 0;
    }

    [[nodiscard]] int port() const override
    {
        return m_port;
    }

    void stop(milliseconds grace) override
    {
        if (m_server) {
            m_server->Shutdown(std::chrono::system_clock::now() + grace);
            m_server->Wait();
            m_server.reset();
        }
    }

private:
    std::unique_ptr<grpc::Service> m_service;
    std::unique_ptr<grpc::Server> m_server;
    int m_port = 0;
};

} // namespace

result<std::unique_ptr<peer_server>> startGrpcServer(const std::string &address, const tls_files &tls, std::unique_ptr<grpc::Service> service)
{
    auto server = std::make_unique<grpc_peer_server>(std::move(service));
    if (!server->listen(address, tls)) {
        return errc::ioFailed;
    }
    return std::unique_ptr<peer_server>(std::move(server));
}

} // namespace hornbeampick
