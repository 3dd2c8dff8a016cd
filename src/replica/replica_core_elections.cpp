// Elections of a replica: pre-vote, vote, leadership and its end.

#include "replica/replica_core.h"

namespace hornbeampick
{

void replica_core::handOver(steady_time now)
{
    if (m_role != replica_role::leader) {
        return;
    }
    const replica_id *best = nullptr;
    for (const auto &voter : m_config.voters) {
        if (voter.disk == m_options.self.disk) {
            continue;
        }
        if (best == nullptr || m_progress[voter.disk].match > m_progress[best->disk].match) {
            best = &voter;
        }
    }
    if (best == nullptr) {
        return;
    }
    sendAppend(*best, now);
    m_output.messages.push_back({.kind = replica_message_kind::timeoutNow, .from = m_options.self, .to = *best, .term = m_hard.term});
}

bool replica_core::logIsCurrent(const replica_message &message) const
{
    if (message.lastTerm != lastTerm()) {
        return message.lastTerm > lastTerm();
    }
    return message.lastIndex >= lastIndex();
}

bool replica_core::leaderIsFresh(steady_time now) const
{
    if (m_role == replica_role::leader) {
        return true;
    }
    return m_leader != 0 && now < m_leaderHeard + m_options.electionTimeout;
}

bool replica_core::isMajority(const std::set<disk_id> &votes) const
{
    const auto counted = std::ranges::count_if(m_config.voters, [&](const replica_id &voter) { return votes.contains(voter.disk); });
    return static_cast<std::size_t>(counted) >= m_config.majority();
}

void replica_core::becomeFollower(log_term term, disk_id leader, steady_time now)
{
    if (term > m_hard.term) {
        m_hard = {.term = term, .votedFor = 0};
        m_hardChanged = true;
    }
    m_role = m_config.isVoter(m_options.self.disk) ? replica_role::follower : replica_role::learner;
    m_leader = leader;
    m_votes.clear();
    resetElectionDeadline(now);
}

void replica_core::startPreVote(steady_time now)
{
    m_role = replica_role::preCandidate;
    m_leader = 0;
    m_votes = {m_options.self.disk};
    resetElectionDeadline(now);
    if (isMajority(m_votes)) {
        startElection(now, false);
        return;
    }
    requestVotes(replica_message_kind::preVoteRequest, m_hard.term + 1, false);
}

void replica_core::startElection(steady_time now, bool askedByLeader)
{
    m_role = replica_role::candidate;
    m_leader = 0;
    m_hard = {.term = m_hard.term + 1, .votedFor = m_options.self.disk};
    m_hardChanged = true;
    m_votes = {m_options.self.disk};
    resetElectionDeadline(now);
    if (isMajority(m_votes)) {
        becomeLeader(now);
        return;
    }
    requestVotes(replica_message_kind::voteRequest, m_hard.term, askedByLeader);
}

void replica_core::becomeLeader(steady_time now)
{
    m_role = replica_role::leader;
    m_leader = m_options.self.disk;
    m_progress.clear();
    for (const auto &peer : others()) {
        m_progress[peer.disk] = {.next = lastIndex() + 1, .match = 0, .lastReply = now, .snapshotUntil = {}};
    }
    appendOwn(barrier_entry {});
    broadcastAppend(now);
}

void replica_core::resetElectionDeadline(steady_time now)
{
    const auto timeout = m_options.electionTimeout;
    const auto spread = m_random.below(static_cast<std::uint64_t>(timeout.count()) + 1);
    m_electionDeadline = now + timeout + milliseconds(spread);
}

void replica_core::onPreVoteRequest(const replica_message &message, steady_time now)
{
    const bool granted = message.term > m_hard.term && logIsCurrent(message) && !leaderIsFresh(now);
    // A refusal carries our term, so that a candidate of the past catches up.
    reply(message, {.kind = replica_message_kind::preVoteReply, .term = granted ? message.term : m_hard.term, .granted = granted});
}

void replica_core::onPreVoteReply(const replica_message &message, steady_time now)
{
    if (!message.granted) {
        if (message.term > m_hard.term) {
            becomeFollower(message.term, 0, now);
        }
        return;
    }
    if (m_role != replica_role::preCandidate || message.term != m_hard.term + 1) {
        return;
    }
    m_votes.insert(message.from.disk);
    if (isMajority(m_votes)) {
        startElection(now, false);
    }
}

void replica_core::onVoteRequest(const replica_message &message, steady_time now)
{
    if (leaderIsFresh(now) && !message.granted) {
        return;
    }
    if (message.term > m_hard.term) {
        becomeFollower(message.term, 0, now);
    }
    const bool free = m_hard.votedFor == 0 || m_hard.votedFor == message.from.disk;
    const bool granted = message.term == m_hard.term && free && logIsCurrent(message);
    if (granted && m_hard.votedFor == 0) {
        m_hard.votedFor = message.from.disk;
        m_hardChanged = true;
    }
    if (granted) {
        resetElectionDeadline(now);
    }
    reply(message, {.kind = replica_message_kind::voteReply, .term = m_hard.term, .granted = granted});
}

void replica_core::onVoteReply(const replica_message &message, steady_time now)
{
    if (message.term > m_hard.term) {
        becomeFollower(message.term, 0, now);
        return;
    }
    if (m_role != replica_role::candidate || message.term != m_hard.term || !message.granted) {
        return;
    }
    m_votes.insert(message.from.disk);
    if (isMajority(m_votes)) {
        becomeLeader(now);
    }
}

void replica_core::requestVotes(replica_message_kind kind, log_term term, bool askedByLeader)
{
    for (const auto &voter : m_config.voters) {
        if (voter.disk == m_options.self.disk) {
            continue;
        }
        m_output.messages.push_back(
            {.kind = kind, .from = m_options.self, .to = voter, .term = term, .lastIndex = lastIndex(), .lastTerm = lastTerm(), .granted = askedByLeader});
    }
}

bool replica_core::hasQuorum(steady_time now) const
{
    std::set<disk_id> heard = {m_options.self.disk};
    for (const auto &[disk, progress] : m_progress) {
        if (now < progress.lastReply + m_options.electionTimeout) {
            heard.insert(disk);
        }
    }
    return isMajority(heard);
}

} // namespace hornbeampick
