#pragma once

#include "core/error.h"
#include "rpc/peer_client.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/codegen/service_type.h>
#include <memory>
#include <string>

namespace hornbeampick
{

/// Starts a gRPC server at "ip:port", which runs until the returned object is destroyed. Errors: ioFailed when the port cannot be
/// bound.
result<std::unique_ptr<peer_server>> startGrpcServer(const std::string &address, const tls_files &tls, std::unique_ptr<grpc::Service> service);

} // namespace hornbeampick
