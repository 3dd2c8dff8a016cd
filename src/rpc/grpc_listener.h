#pragma once

#include "core/error.h"
#include "rpc/peer_client.h"

#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/codegen/service_type.h>
#include <memory>
#include <string>

namespace hornbeampick
{

/// Serves a gRPC service at "ip:port" until the returned server is destroyed. Errors: ioFailed when the port is taken.
result<std::unique_ptr<peer_server>> listenFor(const std::string &address, const tls_files &tls, std::unique_ptr<grpc::Service> service);

} // namespace hornbeampick
