#pragma once

#include "replica/formation.h"
#include "replica/replica_types.h"
#include "replica/rule_ledger.h"

#include "replica.pb.h"

namespace hornbeampick
{

/// Conversions between the internal types of a replica and the messages of the schema. Decoding never fails: absent fields get
/// default values, and log entries of an unknown kind become barriers.

schema::replica_id encode(const replica_id &value);
schema::replica_config encode(const replica_config &value);
schema::rules_change encode(const rules_change &value);
schema::rule_patch encode(const rule_patch &value);
rule_patch decode(const schema::rule_patch &value);
schema::history_record encode(const history_record &value);
schema::epoch_member encode(const epoch_member &value);
schema::claim_epoch encode(const claim_epoch &value);
schema::routing_table encode(const routing_table &value);
schema::log_entry encode(const log_entry &value);
schema::ledger_state encode(const ledger_state &value);
schema::snapshot_record encode(const replica_snapshot &value);
schema::replica_message encode(const replica_message &value);
schema::form_request encode(const form_request &value);
schema::form_reply encode(const form_reply &value);
schema::submit_reply encode(const submit_result &value);

replica_id decode(const schema::replica_id &value);
replica_config decode(const schema::replica_config &value);
rules_change decode(const schema::rules_change &value);
schema::line_edit encode(const line_edit &value);
line_edit decode(const schema::line_edit &value);
history_record decode(const schema::history_record &value);
epoch_member decode(const schema::epoch_member &value);
claim_epoch decode(const schema::claim_epoch &value);
routing_table decode(const schema::routing_table &value);
log_entry decode(const schema::log_entry &value);
ledger_state decode(const schema::ledger_state &value);
replica_snapshot decode(const schema::snapshot_record &value);
replica_message decode(const schema::replica_message &value);
form_request decode(const schema::form_request &value);
form_reply decode(const schema::form_reply &value);
submit_result decode(const schema::submit_reply &value);

} // namespace hornbeampick
