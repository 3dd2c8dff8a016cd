#pragma once

#include "codec/replica_codec.h"
#include "replica/rule_update.h"
#include "rpc/peer_types.h"
#include "steering/poison_registry.h"

#include "peer.pb.h"

namespace hornbeampick
{

/// Conversions between the internal types of a daemon and the messages that daemons exchange. Decoding never fails.

schema::member encode(const fleet_member &value);
schema::upstream encode(const upstream_report &value);
schema::exchange_request encode(const exchange_message &value);
schema::exchange_reply encodeReply(const exchange_message &value);
schema::forward_request encode(const forward_message &value);
schema::forward_reply encode(const forward_result &value);
schema::claim_request encode(const claim_request &value);
schema::claim_reply encode(const claim_reply &value);
schema::poison_notice encode(const upstream_death &value);
schema::status_reply encode(const host_status &value);
schema::fleet_status_reply encode(const fleet_status &value);
schema::explain_reply encode(const steering_explanation &value);
schema::loads_reply encode(const std::vector<service_region_load> &value);

fleet_member decode(const schema::member &value);
upstream_report decode(const schema::upstream &value);
exchange_message decode(const schema::exchange_request &value);
exchange_message decode(const schema::exchange_reply &value);
schema::rules_request encode(const rules_position &value);
rules_position decode(const schema::rules_request &value);
schema::rules_reply encode(const rules_update &value);
rules_update decode(const schema::rules_reply &value);
/// Computes the deadline of the request as `now` plus the timeout in the message.
forward_message decode(const schema::forward_request &value, steady_time now);
forward_result decode(const schema::forward_reply &value);
/// Decodes a malformed epoch as an empty epoch id, which no member knows.
claim_request decode(const schema::claim_request &value);
claim_reply decode(const schema::claim_reply &value);
upstream_death decode(const schema::poison_notice &value);
host_status decode(const schema::status_reply &value);
fleet_status decode(const schema::fleet_status_reply &value);
steering_explanation decode(const schema::explain_reply &value);
std::vector<service_region_load> decode(const schema::loads_reply &value);

} // namespace hornbeampick
