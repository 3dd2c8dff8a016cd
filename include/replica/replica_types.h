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

/// Identity of a disk; a disk that was emptied gets a new one.
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

/// An entry without effect; its commit confirms that the leader still leads.
struct barrier_entry {
    bool operator==(const barrier_entry &) const = default;
};

/// A rule file offered for acceptance.
struct rules_change {
    std::uint64_t version = 0;
    // A patch is for the text of the version before.
    rule_body body;
    std::string operatorName;
    wall_ms submittedAt = 0;
    // Digest of the whole text.
    digest content;

    bool operator==(const rules_change &) const = default;
};

/// One host of a claim group. Another incarnation of the host has lost its records.
struct epoch_member {
    host_name host;
    std::uint64_t incarnation = 0;
    std::string address;

    bool operator==(const epoch_member &) const = default;
};

/// The claim group of a region for one epoch number.
struct claim_epoch {
    region_name region;
    std::uint64_t number = 0;
    std::vector<epoch_member> members;
    wall_ms openedAt = 0;

    bool operator==(const claim_epoch &) const = default;
};

/// Whether the upstreams of a failure domain get work.
struct evacuation_order {
    domain_name domain;
    // False withdraws the order.
    bool active = false;

    bool operator==(const evacuation_order &) const = default;
};

using entry_body = std::variant<barrier_entry, rules_change, claim_epoch, replica_config, routing_table, evacuation_order>;

struct log_entry {
    log_index index = 0;
    log_term term = 0;
    entry_body body;

    bool operator==(const log_entry &) const = default;
};

/// One accepted rule file, without its text.
struct history_record {
    std::uint64_t version = 0;
    digest content;
    std::string operatorName;
    wall_ms acceptedAt = 0;

    bool operator==(const history_record &) const = default;
};

/// What the applied log amounts to.
struct ledger_state {
    std::uint64_t version = 0;
    rule_document text;
    std::string operatorName;
    // Kept by hosts with disks; others ask them.
    std::vector<history_record> history;
    std::vector<claim_epoch> epochs;
    log_index appliedIndex = 0;
    routing_table routing;
    // Failure domains whose upstreams get no work, sorted.
    std::vector<domain_name> evacuated;

    bool operator==(const ledger_state &) const = default;
};

struct replica_snapshot {
    log_index index = 0;
    log_term term = 0;
    replica_config config;
    ledger_state state;

    bool operator==(const replica_snapshot &) const = default;
};

/// What a voter must not forget before it answers.
struct hard_state {
    log_term term = 0;
    // 0: no vote in this term.
    disk_id votedFor = 0;

    bool operator==(const hard_state &) const = default;
};

/// Everything a replica finds on its disk when it starts.
struct replica_image {
    // 0: the disk is new.
    disk_id disk = 0;
    hard_state hard;
    replica_snapshot snapshot;
    // Contiguous, from snapshot.index + 1.
    std::vector<log_entry> entries;
    // Known to be committed when the replica last ran; may be too low.
    log_index commit = 0;
    // Damaged records were set aside once: a log was formed here before.
    bool lostRecords = false;

    /// A disk takes part once it holds a configuration.
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
    // Requests: the entry before `entries`, or the last of the sender's log. Replies: the last entry known to match.
    log_index lastIndex = 0;
    log_term lastTerm = 0;
    log_index commitIndex = 0;
    // Replies: the answer. Vote requests: the leader itself asked for this election.
    bool granted = false;
    std::vector<log_entry> entries;
    std::optional<replica_snapshot> snapshot;
};

enum class replica_role {
    follower,
    preCandidate,
    candidate,
    leader,
    learner,
    // The disk failed or is damaged: takes no part any more.
    stopped,
    // Not formed yet, or without a disk.
    absent,
};

} // namespace hornbeampick
