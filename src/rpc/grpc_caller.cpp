#include "grpc_caller.h"

namespace hornbeampick
{

namespace
{

constexpr int reconnectMinimumMs = 50;
constexpr int reconnectMaximumMs = 500;
// A connection that says nothing for this long while a call waits is asked, and given up without an answer.
constexpr int pingAfterMs = 1000;
constexpr int pingTimeoutMs = 1000;

// The library says in words only that a call never left for want of a connection.
bool neverSent(const grpc::Status &status)
{
    return status.error_code() == grpc::StatusCode::UNAVAILABLE && status.error_message().starts_with("failed to connect to all addresses");
}

} // namespace

std::error_code failureOf(const grpc::Status &status)
{
    if (neverSent(status)) {
        return make_error_code(errc::unreachable);
    }
    return make_error_code(status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? errc::timedOut : errc::peerUnreachable);
}

grpc::ChannelArguments channelArguments()
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(messageBytesMaximum);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnectMinimumMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnectMaximumMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnectMaximumMs);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, pingAfterMs);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, pingTimeoutMs);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    return arguments;
}

} // namespace hornbeampick
