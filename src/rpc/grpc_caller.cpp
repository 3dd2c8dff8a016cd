#include "grpc_caller.h"

namespace hornbeampick
{

namespace
{

constexpr int initialReconnectBackoffMs = 50;
constexpr int maxReconnectBackoffMs = 500;
// A connection without traffic for this long during a call is pinged, and closed when the ping times out.
constexpr int keepaliveTimeMs = 1000;
constexpr int keepaliveTimeoutMs = 1000;

// Only the message text of gRPC tells that a call was never sent because no connection could be made.
bool neverSent(const grpc::Status &status)
{
    return status.error_code() == grpc::StatusCode::UNAVAILABLE && status.error_message().starts_with("failed to connect to all addresses");
}

} // namespace

std::error_code toErrorCode(const grpc::Status &status)
{
    if (neverSent(status)) {
        return make_error_code(errc::unreachable);
    }
    return make_error_code(status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? errc::timedOut : errc::peerUnreachable);
}

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, initialReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, maxReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepaliveTimeMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepaliveTimeoutMs);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    return arguments;
}

} // namespace hornbeampick
