#pragma once

#include "rpc/control_client.h"

#include "control.pb.h"

namespace hornbeampick
{

/// Conversions between the types for calls to control hosts and the messages of the schema. Decoding never fails.

schema::relay_peer encode(const relay_peer &value);
relay_peer decode(const schema::relay_peer &value);
schema::watch_request encode(const watch_query &value);
schema::watch_reply encode(const watch_answer &value);
watch_query decode(const schema::watch_request &value);
watch_answer decode(const schema::watch_reply &value);
schema::quota_draw encode(const quota_draw &value);
schema::quota_answer encode(const quota_answer &value);
quota_draw decode(const schema::quota_draw &value);
quota_answer decode(const schema::quota_answer &value);

} // namespace hornbeampick
