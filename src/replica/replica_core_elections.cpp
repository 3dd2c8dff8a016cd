// Elections of replica_core: pre-vote, vote, leadership transfer and the quorum check of the leader.

#include "replica/replica_core.h"

namespace hornbeampick
{

namespace
{

// An election waits up to this many times the election timeout for votes that are stored on slow disks.
constexpr unsigned maxElectionDoublings = 3;
// A leader steps down when a majority has not replied for this many election timeouts. A reply may wait for a slow disk.
constexpr int quorumTimeouts = 2;

} // namespace

void replica_core::transferLeadership(steady_time now)
{
    if (m_role != replica_role::leader) {
        return;
    }
    const replica_id *successor = nullptr;
    for (const auto &voter : m_config.voters) {
        if (voter.disk == m_options.self.disk) {
            continue;
        }
        if (successor == nullptr || m_progress[voter.disk].match > m_progress[successor->disk].match) {
            successor = &voter;
        }
    }
    if (successor == nullptr) {
        return;
    }
    // Whatever is in flight may be lost; the successor needs all entries to be elected.
    m_progress[successor->disk].retryAt = {};
    sendAppend(*successor, now);
    m_output.messages.push_back({.kind = replica_message_kind::timeoutNow, .from = m_options.self, .to = *successor, .term = m_hardState.term});
}

bool replica_core::isLogUpToDate(const replica_message &message) const
{
    if (message.lastTerm != lastTerm()) {
        return message.lastTerm > lastTerm();
    }
    return message.lastIndex >= lastIndex();
}

bool replica_core::hasLiveLeader(steady_time now) const
{
    if (m_role == replica_role::leader) {
        return true;
    }
    return m_leader != 0 && now < m_lastLeaderContact + m_options.electionTimeout;
}

bool replica_core::isMajority(const std::set<disk_id> &votes) const
{
    const auto votesOfVoters = std::ranges::count_if(m_config.voters, [&](const replica_id &voter) { return votes.contains(voter.disk); });
    return static_cast<std::size_t>(votesOfVoters) >= m_config.majority();
}

void replica_core::becomeFollower(log_term term, disk_id leader, steady_time now)
{
    if (term > m_hardState.term) {
        m_hardState = {.term = term, .votedFor = 0};
        m_hardStateChanged = true;
    }
    m_role = m_config.isVoter(m_options.self.disk) ? replica_role::follower : replica_role::learner;
    m_leader = leader;
    m_votes.clear();
    resetElectionDeadline(now);
}

void replica_core::startPreVote(steady_time now)
{
    if (m_role == replica_role::candidate) {
        ++m_failedElections;
    }
    m_role = replica_role::preCandidate;
    m_leader = 0;
    m_votes = {m_options.self.disk};
    resetElectionDeadline(now);
    if (isMajority(m_votes)) {
        startElection(now, false);
        return;
    }
    requestVotes(replica_message_kind::preVoteRequest, m_hardState.term + 1, false);
}

void replica_core::startElection(steady_time now, bool leadershipTransfer)
{
    m_role = replica_role::candidate;
    m_leader = 0;
    m_hardState = {.term = m_hardState.term + 1, .votedFor = m_options.self.disk};
    m_hardStateChanged = true;
    m_votes = {m_options.self.disk};
    resetElectionDeadline(now);
    if (isMajority(m_votes)) {
        becomeLeader(now);
        return;
    }
    requestVotes(replica_message_kind::voteRequest, m_hardState.term, leadershipTransfer);
}

void replica_core::becomeLeader(steady_time now)
{
    m_role = replica_role::leader;
    m_failedElections = 0;
    m_leader = m_options.self.disk;
    m_progress.clear();
    for (const auto &peer : otherMembers()) {
        m_progress[peer.disk] = {.next = lastIndex() + 1, .match = 0, .lastReply = now, .snapshotUntil = {}};
    }
    appendAsLeader(nextEntry(barrier_entry {}));
    broadcastAppend(now);
}

void replica_core::resetElectionDeadline(steady_time now)
{
    const auto timeout = m_role == replica_role::candidate ? backedOffElectionTimeout() : m_options.electionTimeout;
    const auto jitter = m_random.below(static_cast<std::uint64_t>(timeout.count()) + 1);
    m_electionDeadline = now + timeout + milliseconds(jitter);
}

// Only elections back off: a round of pre-votes stores nothing, and is repeated soon after a majority can be reached again.
milliseconds replica_core::backedOffElectionTimeout() const
{
    return m_options.electionTimeout * (1U << std::min(m_failedElections, maxElectionDoublings));
}

void replica_core::onPreVoteRequest(const replica_message &message, steady_time now)
{
    const bool granted = message.term > m_hardState.term && isLogUpToDate(message) && !hasLiveLeader(now);
    // A rejection carries the local term, so that a candidate with an outdated term adopts it.
    reply(message, {.kind = replica_message_kind::preVoteReply, .term = granted ? message.term : m_hardState.term, .granted = granted});
}

void replica_core::onPreVoteReply(const replica_message &message, steady_time now)
{
    if (!message.granted) {
        if (message.term > m_hardState.term) {
            becomeFollower(message.term, 0, now);
        }
        return;
    }
    if (m_role != replica_role::preCandidate || message.term != m_hardState.term + 1) {
        return;
    }
    m_votes.insert(message.from.disk);
    if (isMajority(m_votes)) {
        startElection(now, false);
    }
}

void replica_core::onVoteRequest(const replica_message &message, steady_time now)
{
    if (hasLiveLeader(now) && !message.granted) {
        return;
    }
    if (message.term > m_hardState.term) {
        becomeFollower(message.term, 0, now);
    }
    const bool mayVote = m_hardState.votedFor == 0 || m_hardState.votedFor == message.from.disk;
    const bool granted = message.term == m_hardState.term && mayVote && isLogUpToDate(message);
    if (granted && m_hardState.votedFor == 0) {
        m_hardState.votedFor = message.from.disk;
        m_hardStateChanged = true;
    }
    if (granted) {
        resetElectionDeadline(now);
    }
    reply(message, {.kind = replica_message_kind::voteReply, .term = m_hardState.term, .granted = granted});
}

void replica_core::onVoteReply(const replica_message &message, steady_time now)
{
    if (message.term > m_hardState.term) {
        becomeFollower(message.term, 0, now);
        return;
    }
    if (m_role != replica_role::candidate || message.term != m_hardState.term || !message.granted) {
        return;
    }
    m_votes.insert(message.from.disk);
    if (isMajority(m_votes)) {
        becomeLeader(now);
    }
}

void replica_core::requestVotes(replica_message_kind kind, log_term term, bool leadershipTransfer)
{
    for (const auto &voter : m_config.voters) {
        if (voter.disk == m_options.self.disk) {
            continue;
        }
        m_output.messages.push_back(
            {.kind = kind, .from = m_options.self, .to = voter, .term = term, .lastIndex = lastIndex(), .lastTerm = lastTerm(), .granted = leadershipTransfer});
    }
}

bool replica_core::hasQuorum(steady_time now) const
{
    std::set<disk_id> reachable = {m_options.self.disk};
    for (const auto &[disk, progress] : m_progress) {
        if (now < progress.lastReply + quorumTimeouts * m_options.electionTimeout) {
            reachable.insert(disk);
        }
    }
    return isMajority(reachable);
}

} // namespace hornbeampick
