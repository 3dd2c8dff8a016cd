#pragma once

#include "core/error.h"
#include "rpc/peer_client.h"

#include <grpcpp/grpcpp.h>
#include <memory>

namespace hornbeampick
{

/// Returns credentials for mutual TLS, whose files are checked for changes every second, or plain-text ones when TLS is disabled.
std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const tls_files &tls);
/// Returns the server's counterpart; clients must present a certificate.
std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const tls_files &tls);

/// Returns the common name of the caller's certificate; empty without TLS.
std::string peerName(const grpc::CallbackServerContext &context);

} // namespace hornbeampick
