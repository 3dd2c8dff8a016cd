#pragma once

#include "core/clock.h"
#include "core/digest.h"
#include "core/names.h"
#include "rules/routing_table.h"
#include "rules/rule_document.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hornbeampick
{

/// Identity of a disk, chosen at random when the disk is first used; an emptied disk gets a new one. 0: none.
using disk_id = std::uint64_t;
using log_index = std::uint64_t;
using log_term = std::uint64_t;

/// A voter or learner of the replicated log.
struct replica_id {
    host_name host;
    disk_id disk = 0;
    // "ip:port" of the host's peer endpoint.
    std::string address;

    bool operator==(const replica_id &) const = default;
};

/// Membership of the replicated log. Learners receive the log but do not vote.
struct replica_config {
    std::vector<replica_id> voters;
    std::vector<replica_id> learners;

    bool operator==(const replica_config &) const = default;

    [[nodiscard]] bool isVoter(disk_id disk) const
    {
        return std::ranges::find(voters, disk, &replica_id::disk) != voters.end();
    }
    [[nodiscard]] bool isLearner(disk_id disk) const
    {
        return std::ranges::find(learners, disk, &replica_id::disk) != learners.end();
    }
    [[nodiscard]] std::size_t majority() const
    {
        return voters.size() / 2 + 1;
    }
};

/// An entry without effect. Its commit confirms that the leader still leads, and commits the entries of earlier terms with it.
struct barrier_entry {
    bool operator==(const barrier_entry &) const = default;
};

/// A rule file proposed by an operator.
struct rules_change {
    std::uint64_t version = 0;
    // The whole text, or a patch against the text of the previous version.
    rule_body body;
    std::string operatorName;
    wall_ms submittedAt = 0;
    // Digest of the whole text.
    digest content;

    bool operator==(const rules_change &) const = default;
};

/// One host of a claim group. Claim records live in memory: a later incarnation of the host does not have them.
struct epoch_member {
    host_name host;
    std::uint64_t incarnation = 0;
    std::string address;

    bool operator==(const epoch_member &) const = default;
};

/// A claim epoch of a region and the group of hosts that grants its keys.
struct claim_epoch {
    region_name region;
    std::uint64_t number = 0;
    std::vector<epoch_member> members;
    wall_ms openedAt = 0;

    bool operator==(const claim_epoch &) const = default;
};

/// Starts or ends the evacuation of a failure domain: while it is active, the domain's upstreams receive no requests.
struct evacuation_order {
    domain_name domain;
    // False ends the evacuation.
    bool active = false;

    bool operator==(const evacuation_order &) const = default;
};

using entry_body = std::variant<barrier_entry, rules_change, claim_epoch, replica_config, routing_table, evacuation_order>;

/// One entry of the replicated log.
struct log_entry {
    log_index index = 0;
    log_term term = 0;
    entry_body body;

    bool operator==(const log_entry &) const = default;
};

/// History record of an accepted rule file, without its text.
struct history_record {
    std::uint64_t version = 0;
    digest content;
    std::string operatorName;
    wall_ms acceptedAt = 0;

    bool operator==(const history_record &) const = default;
};

/// Result of applying the log: the state of the replicated state machine.
struct ledger_state {
    std::uint64_t version = 0;
    rule_document text;
    std::string operatorName;
    // Held by hosts with a replica only; other hosts request it from them.
    std::vector<history_record> history;
    std::vector<claim_epoch> epochs;
    log_index appliedIndex = 0;
    routing_table routing;
    // Evacuated failure domains, sorted: their upstreams receive no requests.
    std::vector<domain_name> evacuated;

    bool operator==(const ledger_state &) const = default;
};

/// State of the log up to and including `index`.
struct replica_snapshot {
    log_index index = 0;
    log_term term = 0;
    replica_config config;
    ledger_state state;

    bool operator==(const replica_snapshot &) const = default;
};

/// Raft state that must be durable before a voter replies.
struct hard_state {
    log_term term = 0;
    // 0: no vote in this term.
    disk_id votedFor = 0;

    bool operator==(const hard_state &) const = default;
};

/// Stored state from which a replica recovers when it starts.
struct replica_image {
    // 0: the disk is new.
    disk_id disk = 0;
    hard_state hardState;
    replica_snapshot snapshot;
    // Contiguous, from snapshot.index + 1.
    std::vector<log_entry> entries;
    // Lower bound of the commit index when the replica last ran.
    log_index commit = 0;
    // Damaged records were set aside on this disk, so the log has been formed before.
    bool hasLostRecords = false;

    /// Returns true when the disk holds a configuration; only then does it participate in the log.
    [[nodiscard]] bool formed() const
    {
        return !snapshot.config.voters.empty();
    }
};

enum class replica_message_kind {
    preVoteRequest,
    preVoteReply,
    voteRequest,
    voteReply,
    appendRequest,
    appendReply,
    snapshotRequest,
    timeoutNow,
};

/// One message between replicas. Unused fields are left at their defaults.
struct replica_message {
    replica_message_kind kind = replica_message_kind::appendRequest;
    replica_id from;
    replica_id to;
    log_term term = 0;
    // Append requests: index of the entry before `entries`. Vote requests: last index of the sender's log. Append replies: the last index that
    // matches or, in a rejection, the last one that may match.
    log_index lastIndex = 0;
    log_term lastTerm = 0;
    log_index commitIndex = 0;
    // Replies: whether the request was granted. Vote requests: true for an election that the leader requested to transfer its leadership.
    bool granted = false;
    std::vector<log_entry> entries;
    std::optional<replica_snapshot> snapshot;
    // Appends, snapshots and their replies: when the message was sent, by the sender's clock, and the newest `sentAt` that the sender has received
    // from the other side, which is a time of the receiver's clock. The epoch of the clock from releases that do not tell.
    steady_time sentAt {};
    steady_time echo {};
    // Appends: the time from the leader's last confirmation by a majority to its receipt of the message that `echo` tells of; 0 when the confirmation is
    // the later one, and from releases that do not tell.
    microseconds confirmationLag {0};
};

enum class replica_role {
    follower,
    preCandidate,
    candidate,
    leader,
    learner,
    // The disk failed or its records cannot be used; the replica does not participate, after a failure until the disk can be written again.
    stopped,
    // Without a configuration so far, or on a host without a replica.
    absent,
};

} // namespace hornbeampick
