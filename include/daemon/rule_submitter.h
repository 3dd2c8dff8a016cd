#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/topology.h"
#include "daemon/active_rules.h"
#include "replica/replica_node.h"
#include "rpc/peer_client.h"

#include <functional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Dependencies of a rule submitter. All of them must outlive it; `replica` is null on a host without a disk.
struct rule_submitter_parts {
    replica_node *replica = nullptr;
    peer_client &peers;
    const topology &fleet;
    clock_source &clock;
    const active_rules &rules;
};

/// Validates a submitted rule file and passes it to the leader of the log, whichever host received it.
class rule_submitter
{
public:
    using submit_done = std::function<void(const submit_result &)>;

    rule_submitter(const rule_submitter_parts &parts, std::vector<service_name> services, std::vector<std::string> voterAddresses);

    /// Calls `done` once, with the acceptance or one of the errors rulesInvalid, versionConflict, notLeader (definitely not accepted)
    /// and noQuorum (not confirmed: the same file may be submitted again).
    void submit(rules_change change, bool relayed, milliseconds timeout, submit_done done);

private:
    enum class check_result {
        valid,
        invalid,
        // The patch is against a version that this host does not have yet.
        unknownBase,
    };

    [[nodiscard]] check_result check(const rules_change &change) const;
    void submitOrRelay(const replica_view &view, rules_change change, bool relayed, milliseconds timeout, submit_done done);
    void submitToVoter(std::size_t position, bool maybeAccepted, rules_change change, milliseconds timeout, submit_done done);

    rule_submitter_parts m_parts;
    std::vector<service_name> m_services;
    std::vector<std::string> m_voters;
};

} // namespace hornbeampick
