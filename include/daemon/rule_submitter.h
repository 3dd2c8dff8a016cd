#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/topology.h"
#include "daemon/rule_keeper.h"
#include "replica/replica_node.h"
#include "rpc/peer_client.h"

#include <functional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// The parts a rule submitter works with. All outlive it; `replica` is null on a host without a disk.
struct rule_submitter_parts {
    replica_node *replica = nullptr;
    peer_client &peers;
    const topology &fleet;
    clock_source &clock;
    const rule_keeper &rules;
};

/// Brings a submitted rule file to the leader of the log, from whatever host it was handed to.
class rule_submitter
{
public:
    using submit_done = std::function<void(const submit_result &)>;

    rule_submitter(const rule_submitter_parts &parts, std::vector<service_name> services, std::vector<std::string> voterAddresses);

    /// `done` is called once. Accepted, rulesInvalid, versionConflict, notLeader (surely not accepted) or noQuorum
    /// (not confirmed: the same file may be sent again).
    void submit(rules_change change, bool relayed, milliseconds timeout, submit_done done);

private:
    enum class verdict {
        valid,
        invalid,
        // A patch on a text that this host has not reached yet.
        unknownBase,
    };

    [[nodiscard]] verdict check(const rules_change &change) const;
    void submitHere(const replica_view &view, rules_change change, bool relayed, milliseconds timeout, submit_done done);
    void askVoter(std::size_t position, bool unsure, rules_change change, milliseconds timeout, submit_done done);

    rule_submitter_parts m_parts;
    std::vector<service_name> m_services;
    std::vector<std::string> m_voters;
};

} // namespace hornbeampick
