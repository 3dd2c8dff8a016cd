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
    // Without a leader, an election starts after a random time between one and two of these.
    milliseconds electionTimeout {600};
    milliseconds heartbeat {100};
    // Bounds of an append request. One entry is sent whatever its size.
    std::size_t maxEntriesPerMessage = 256;
    std::size_t maxBytesPerMessage = std::size_t {1024} * 1024;
    // No entry is proposed while uncommitted ones take this much memory, in bytes.
    std::size_t maxUncommittedBytes = std::size_t {8} * 1024 * 1024;
};

/// Effects that the caller carries out in this order: persist and fsync, then send, then apply.
struct replica_output {
    std::optional<hard_state> hardState;
    std::optional<replica_snapshot> snapshot;
    std::vector<log_entry> entries;
    std::vector<replica_message> messages;
    // Committed entries to apply, in log order. `snapshot`, when present, replaces the whole applied state before them.
    std::vector<log_entry> committed;

    [[nodiscard]] bool empty() const
    {
        return !hardState && !snapshot && entries.empty() && messages.empty() && committed.empty();
    }
};

/// Replication progress of one peer, as the leader tracks it.
struct replica_progress {
    // Index of the next entry to send.
    log_index next = 1;
    // Highest index known to be replicated on the peer.
    log_index match = 0;
    // When the newest message was sent that the peer has replied to.
    steady_time lastReply {};
    // The time that the peer told last, by its own clock, which begins anew when its machine does.
    steady_time peerSentAt {};
    // When that was received.
    steady_time peerHeardAt {};
    // No further snapshot is sent before this time.
    steady_time snapshotUntil {};
    // The last of the entries in flight, which are not sent again, nor others, before `retryAt` unless they are acknowledged or rejected.
    log_index inFlightEnd = 0;
    steady_time retryAt {};
};

/// Raft state machine of one replica: elections with pre-vote, log replication, commit and membership changes.
///
/// Elections are implemented in replica_core_elections.cpp, the log in replica_core.cpp.
/// Performs no I/O, reads no clock and starts no thread: the caller passes the time in, and carries out the result
/// of `takeOutput` before the next call. Single-threaded.
class replica_core
{
public:
    replica_core(const replica_options &options, replica_image image, random_source &random, steady_time now);

    void tick(steady_time now);
    void step(const replica_message &message, steady_time now);

    /// Appends an entry to the leader's log and returns its index. Errors: notLeader; configBusy while an earlier configuration change is
    /// uncommitted or the leader has not committed an entry of its term; logBusy while too many bytes are uncommitted.
    result<log_index> propose(entry_body body, steady_time now);
    /// Transfers leadership to the other voter with the most replicated entries: asks it to start an election immediately. No effect on other roles.
    void transferLeadership(steady_time now);

    /// Returns the effects decided since the last call.
    replica_output takeOutput();
    /// Must be called after `entries` and `hardState` of the last output are synced: the leader counts its own log only up to there.
    void markPersisted();
    /// Compacts the log: replaces the entries up to `index`, which must be applied, by a snapshot of `state`, the result of applying them.
    void compact(log_index index, const ledger_state &state);
    /// Returns the time at which `tick` must be called next.
    [[nodiscard]] steady_time nextDeadline() const;

    [[nodiscard]] replica_role role() const
    {
        return m_role;
    }
    [[nodiscard]] log_term term() const
    {
        return m_hardState.term;
    }
    /// Returns the current leader; empty when none is known.
    [[nodiscard]] std::optional<replica_id> leader() const;
    [[nodiscard]] log_index commitIndex() const
    {
        return m_commitIndex;
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
    /// Returns true when this replica leads and has committed an entry of its own term.
    [[nodiscard]] bool hasCommittedInTerm() const;
    /// Returns a time up to which the committed entries of this replica are known to be all that were acknowledged: by replies of a
    /// majority when it leads, otherwise by the last message of the leader with whose commit index this replica is up to date, and no later than
    /// the replies of a majority to that leader. The epoch of the clock when there was none.
    [[nodiscard]] steady_time confirmedAt(steady_time now) const;
    /// Asserts the invariants in debug builds; no effect in release builds.
    void validate() const;

private:
    [[nodiscard]] log_term termAt(log_index index) const;
    [[nodiscard]] const log_entry &entryAt(log_index index) const;
    [[nodiscard]] log_term lastTerm() const;
    [[nodiscard]] bool isLogUpToDate(const replica_message &message) const;
    [[nodiscard]] bool hasLiveLeader(steady_time now) const;
    [[nodiscard]] bool isMajority(const std::set<disk_id> &votes) const;
    [[nodiscard]] std::vector<replica_id> otherMembers() const;

    void becomeFollower(log_term term, disk_id leader, steady_time now);
    void startPreVote(steady_time now);
    void startElection(steady_time now, bool leadershipTransfer);
    void becomeLeader(steady_time now);
    void restoreConfig();
    void resetElectionDeadline(steady_time now);
    [[nodiscard]] milliseconds backedOffElectionTimeout() const;

    void onPreVoteRequest(const replica_message &message, steady_time now);
    void onPreVoteReply(const replica_message &message, steady_time now);
    void onVoteRequest(const replica_message &message, steady_time now);
    void onVoteReply(const replica_message &message, steady_time now);
    void onAppendRequest(const replica_message &message, steady_time now);
    void onAppendReply(const replica_message &message, steady_time now);
    void onSnapshotRequest(const replica_message &message, steady_time now);

    void acceptEntries(std::span<const log_entry> entries);
    void appendAsLeader(log_entry entry);
    [[nodiscard]] log_entry nextEntry(entry_body body) const;
    void truncateFrom(log_index index);
    [[nodiscard]] bool hasRoomFor(const log_entry &entry) const;
    void sendAppend(const replica_id &peer, steady_time now);
    void attachEntries(replica_message &message, replica_progress &progress, steady_time now) const;
    void sendSnapshot(const replica_id &peer, replica_progress &progress, steady_time now);
    void broadcastAppend(steady_time now);
    void requestVotes(replica_message_kind kind, log_term term, bool leadershipTransfer);
    void reply(const replica_message &request, replica_message answer, steady_time now = {});
    // Returns a time at which the sender of `message` is known to have been in contact: when this replica sent what the message answers. A message
    // that waited in a socket may be old when it is received. Empty when the message tells no time of this process.
    [[nodiscard]] std::optional<steady_time> contactTime(const replica_message &message, steady_time now) const;
    void advanceCommit(steady_time now);
    void commitTo(log_index index);
    [[nodiscard]] bool hasQuorum(steady_time now) const;

    replica_options m_options;
    random_source &m_random;
    hard_state m_hardState;
    replica_snapshot m_snapshot;
    std::vector<log_entry> m_entries;
    replica_config m_config;
    log_index m_configIndex = 0;
    log_index m_commitIndex = 0;
    log_index m_persistedIndex = 0;
    replica_role m_role = replica_role::follower;
    disk_id m_leader = 0;
    steady_time m_lastLeaderContact {};
    steady_time m_confirmedAt {};
    steady_time m_startedAt {};
    steady_time m_electionDeadline {};
    steady_time m_heartbeatDeadline {};
    // Elections of this replica that ended without a leader since it last knew one.
    unsigned m_failedElections = 0;
    std::set<disk_id> m_votes;
    std::map<disk_id, replica_progress> m_progress;
    replica_output m_output;
    bool m_hardStateChanged = false;
};

} // namespace hornbeampick
