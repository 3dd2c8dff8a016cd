#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/random_source.h"
#include "replica/replica_types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace hornbeampick
{

struct replica_options {
    replica_id self;
    // An election starts after one to two of these without a leader.
    milliseconds electionTimeout {600};
    milliseconds heartbeat {100};
    std::size_t entriesAMessage = 256;
};

/// What the core wants done, in this order: persist and sync, then send, then apply.
struct replica_output {
    std::optional<hard_state> hard;
    std::optional<replica_snapshot> snapshot;
    std::vector<log_entry> entries;
    std::vector<replica_message> messages;
    // Entries to apply, in order. A snapshot replaces the whole applied state first.
    std::vector<log_entry> committed;

    [[nodiscard]] bool empty() const
    {
        return !hard && !snapshot && entries.empty() && messages.empty() && committed.empty();
    }
};

/// How far a peer has followed the leader's log.
struct replica_progress {
    log_index next = 1;
    log_index match = 0;
    steady_time lastReply {};
    // A snapshot is under way until then.
    steady_time snapshotUntil {};
};

/// Decisions of one replica of the log: elections with pre-vote, replication, commit, configuration.
///
/// Elections stand in replica_core_elections.cpp, the log in replica_core.cpp.
/// Pure: no I/O, clock or thread. The caller passes the time in, and carries out `takeOutput`
/// before it calls again. Single-threaded.
class replica_core
{
public:
    replica_core(const replica_options &options, replica_image image, random_source &random, steady_time now);

    void tick(steady_time now);
    void step(const replica_message &message, steady_time now);

    /// Appends to the leader's log; returns the entry's index. Errors: notLeader, configBusy.
    result<log_index> propose(entry_body body, steady_time now);
    /// Asks the most advanced other voter to start an election at once.
    void handOver(steady_time now);

    replica_output takeOutput();
    /// Called after `entries` and `hard` of the last output are synced.
    void persisted();
    /// Drops entries up to `index`, which must be applied; `state` is what they amount to.
    void compact(log_index index, const ledger_state &state);
    /// When `tick` has to be called next.
    [[nodiscard]] steady_time nextDeadline() const;

    [[nodiscard]] replica_role role() const
    {
        return m_role;
    }
    [[nodiscard]] log_term term() const
    {
        return m_hard.term;
    }
    /// Empty when no leader is known.
    [[nodiscard]] std::optional<replica_id> leader() const;
    [[nodiscard]] log_index commitIndex() const
    {
        return m_commit;
    }
    [[nodiscard]] log_index lastIndex() const;
    [[nodiscard]] log_index firstIndex() const
    {
        return m_snapshot.index + 1;
    }
    [[nodiscard]] log_term snapshotTerm() const
    {
        return m_snapshot.term;
    }
    [[nodiscard]] const replica_config &snapshotConfig() const
    {
        return m_snapshot.config;
    }
    [[nodiscard]] std::span<const log_entry> entries() const
    {
        return m_entries;
    }
    [[nodiscard]] const replica_config &config() const
    {
        return m_config;
    }
    [[nodiscard]] log_index configIndex() const
    {
        return m_configIndex;
    }
    [[nodiscard]] const std::map<disk_id, replica_progress> &progress() const
    {
        return m_progress;
    }
    /// True when the leader has committed an entry of its own term.
    [[nodiscard]] bool leadsWithCommit() const;
    /// Asserts the invariants; debug builds only.
    void validate() const;

private:
    [[nodiscard]] log_term termAt(log_index index) const;
    [[nodiscard]] const log_entry &entryAt(log_index index) const;
    [[nodiscard]] log_term lastTerm() const;
    [[nodiscard]] bool logIsCurrent(const replica_message &message) const;
    [[nodiscard]] bool leaderIsFresh(steady_time now) const;
    [[nodiscard]] bool isMajority(const std::set<disk_id> &votes) const;
    [[nodiscard]] std::vector<replica_id> others() const;

    void becomeFollower(log_term term, disk_id leader, steady_time now);
    void startPreVote(steady_time now);
    void startElection(steady_time now, bool askedByLeader);
    void becomeLeader(steady_time now);
    void restoreConfig();
    void resetElectionDeadline(steady_time now);

    void onPreVoteRequest(const replica_message &message, steady_time now);
    void onPreVoteReply(const replica_message &message, steady_time now);
    void onVoteRequest(const replica_message &message, steady_time now);
    void onVoteReply(const replica_message &message, steady_time now);
    void onAppendRequest(const replica_message &message, steady_time now);
    void onAppendReply(const replica_message &message, steady_time now);
    void onSnapshotRequest(const replica_message &message, steady_time now);

    void acceptEntries(std::span<const log_entry> entries);
    void appendOwn(entry_body body);
    void truncateFrom(log_index index);
    void sendAppend(const replica_id &peer, steady_time now);
    void sendSnapshot(const replica_id &peer, replica_progress &progress, steady_time now);
    void broadcastAppend(steady_time now);
    void requestVotes(replica_message_kind kind, log_term term, bool askedByLeader);
    void reply(const replica_message &request, replica_message answer);
    void advanceCommit(steady_time now);
    void commitTo(log_index index);
    [[nodiscard]] bool hasQuorum(steady_time now) const;

    replica_options m_options;
    random_source &m_random;
    hard_state m_hard;
    replica_snapshot m_snapshot;
    std::vector<log_entry> m_entries;
    replica_config m_config;
    log_index m_configIndex = 0;
    log_index m_commit = 0;
    log_index m_persisted = 0;
    replica_role m_role = replica_role::follower;
    disk_id m_leader = 0;
    steady_time m_leaderHeard {};
    steady_time m_electionDeadline {};
    steady_time m_heartbeatDeadline {};
    std::set<disk_id> m_votes;
    std::map<disk_id, replica_progress> m_progress;
    replica_output m_output;
    bool m_hardChanged = false;
};

} // namespace hornbeampick
