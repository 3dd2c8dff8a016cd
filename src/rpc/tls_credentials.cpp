#include "tls_credentials.h"

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace hornbeampick
{

namespace
{

namespace tls_api = grpc::experimental;

constexpr unsigned reloadIntervalSeconds = 1;

std::shared_ptr<tls_api::FileWatcherCertificateProvider> makeProvider(const tls_files &tls)
{
    return std::make_shared<tls_api::FileWatcherCertificateProvider>(tls.key, tls.certificate, tls.authority, reloadIntervalSeconds);
}

} // namespace

std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const tls_files &tls)
{
    if (tls.plainText) {
        return grpc::InsecureChannelCredentials();
    }
    tls_api::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(makeProvider(tls));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    return tls_api::TlsCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const tls_files &tls)
{
    if (tls.plainText) {
        return grpc::InsecureServerCredentials();
    }
    tls_api::TlsServerCredentialsOptions options(makeProvider(tls));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_cert_request_type(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    return tls_api::TlsServerCredentials(options);
}

std::string peerName(const grpc::CallbackServerContext &context)
{
    const auto auth = context.auth_context();
    if (!auth) {
        return {};
    }
    const auto names = auth->FindPropertyValues("x509_common_name");
    return names.empty() ? std::string {} : std::string(names.front().data(), names.front().size());
}

} // namespace hornbeampick
