#pragma once

#include "core/error.h"
#include "rpc/peer_client.h"

#include <grpcpp/grpcpp.h>
#include <memory>

namespace hornbeampick
{

/// Mutual TLS from the files, read again every second, or plain text when the settings say so.
std::shared_ptr<grpc::ChannelCredentials> makeChannelCredentials(const tls_files &tls);
std::shared_ptr<grpc::ServerCredentials> makeServerCredentials(const tls_files &tls);

/// Common name of the caller's certificate; empty over plain text.
std::string peerName(const grpc::CallbackServerContext &context);

} // namespace hornbeampick
