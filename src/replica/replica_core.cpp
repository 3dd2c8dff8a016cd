#include "replica/replica_core.h"

#include "replica/entry_size.h"

#include <cassert>

namespace hornbeampick
{

namespace
{

// An unacknowledged snapshot is sent again after this interval.
constexpr milliseconds snapshotRetryInterval {2000};
// The slowest transfer of entries that still counts as moving.
constexpr std::size_t minBytesPerMillisecond = 512;

const replica_config *configOf(const log_entry &entry)
{
    return std::get_if<replica_config>(&entry.body);
}

} // namespace

replica_core::replica_core(const replica_options &options, replica_image image, random_source &random, steady_time now)
    : m_options(options)
    , m_random(random)
    , m_hardState(image.hardState)
    , m_snapshot(std::move(image.snapshot))
    , m_entries(std::move(image.entries))
    , m_commitIndex(m_snapshot.index)
    , m_persistedIndex(lastIndex())
    , m_startedAt(now)
{
    restoreConfig();
    commitTo(std::min(image.commit, lastIndex()));
    m_role = m_config.isVoter(m_options.self.disk) ? replica_role::follower : replica_role::learner;
    // The first election deadline after a restart is shorter than the election timeout: while a leader is alive, voters reject pre-votes, so an
    // early attempt does not disturb it, and without a leader the log is unavailable until the election.
    const auto quarter = m_options.electionTimeout / 4;
    m_electionDeadline = now + quarter + milliseconds(m_random.below(static_cast<std::uint64_t>(2 * quarter.count()) + 1));
    validate();
}

void replica_core::tick(steady_time now)
{
    if (m_role == replica_role::leader) {
        if (!hasQuorum(now)) {
            becomeFollower(m_hardState.term, 0, now);
        } else if (now >= m_heartbeatDeadline) {
            broadcastAppend(now);
        }
        return;
    }
    if (now < m_electionDeadline) {
        return;
    }
    if (m_config.isVoter(m_options.self.disk)) {
        startPreVote(now);
    } else {
        m_role = replica_role::learner;
        m_leader = 0;
        resetElectionDeadline(now);
    }
}

void replica_core::step(const replica_message &message, steady_time now)
{
    if (message.to.disk != m_options.self.disk) {
        return;
    }
    switch (message.kind) {
    case replica_message_kind::preVoteRequest:
        onPreVoteRequest(message, now);
        break;
    case replica_message_kind::preVoteReply:
        onPreVoteReply(message, now);
        break;
    case replica_message_kind::voteRequest:
        onVoteRequest(message, now);
        break;
    case replica_message_kind::voteReply:
        onVoteReply(message, now);
        break;
    case replica_message_kind::appendRequest:
        onAppendRequest(message, now);
        break;
    case replica_message_kind::appendReply:
        onAppendReply(message, now);
        break;
    case replica_message_kind::snapshotRequest:
        onSnapshotRequest(message, now);
        break;
    case replica_message_kind::timeoutNow:
        if (message.term == m_hardState.term && m_config.isVoter(m_options.self.disk)) {
            startElection(now, true);
        }
        break;
    }
    validate();
}

result<log_index> replica_core::propose(entry_body body, steady_time now)
{
    if (m_role != replica_role::leader) {
        return errc::notLeader;
    }
    if (std::holds_alternative<replica_config>(body) && (m_configIndex > m_commitIndex || !hasCommittedInTerm())) {
        return errc::configBusy;
    }
    log_entry entry = nextEntry(std::move(body));
    if (!hasRoomFor(entry)) {
        return errc::logBusy;
    }
    appendAsLeader(std::move(entry));
    broadcastAppend(now);
    return lastIndex();
}

replica_output replica_core::takeOutput()
{
    if (m_hardStateChanged) {
        m_output.hardState = m_hardState;
        m_hardStateChanged = false;
    }
    return std::exchange(m_output, {});
}

void replica_core::markPersisted()
{
    m_persistedIndex = lastIndex();
    if (m_role == replica_role::leader) {
        advanceCommit(steady_time {});
    }
}

void replica_core::compact(log_index index, const ledger_state &state)
{
    assert(index <= m_commitIndex && index >= m_snapshot.index);
    if (index == m_snapshot.index) {
        return;
    }
    replica_config config = m_snapshot.config;
    for (const auto &entry : m_entries) {
        const auto *changed = configOf(entry);
        if (entry.index <= index && changed != nullptr) {
            config = *changed;
        }
    }
    const log_term term = termAt(index);
    const auto dropped = static_cast<std::ptrdiff_t>(index - m_snapshot.index);
    m_entries.erase(m_entries.begin(), m_entries.begin() + dropped);
    m_snapshot = {.index = index, .term = term, .config = std::move(config), .state = state};
    validate();
}

steady_time replica_core::nextDeadline() const
{
    return m_role == replica_role::leader ? m_heartbeatDeadline : m_electionDeadline;
}

std::optional<replica_id> replica_core::leader() const
{
    const auto found = std::ranges::find(m_config.voters, m_leader, &replica_id::disk);
    if (m_leader == 0 || found == m_config.voters.end()) {
        return std::nullopt;
    }
    return *found;
}

log_index replica_core::lastIndex() const
{
    return m_snapshot.index + m_entries.size();
}

bool replica_core::hasCommittedInTerm() const
{
    return m_role == replica_role::leader && m_commitIndex >= m_snapshot.index && termAt(m_commitIndex) == m_hardState.term;
}

steady_time replica_core::confirmedAt(steady_time now) const
{
    if (!hasCommittedInTerm()) {
        return m_confirmedAt;
    }
    std::vector<steady_time> contacts;
    for (const auto &voter : m_config.voters) {
        const auto progress = m_progress.find(voter.disk);
        const auto lastReply = progress == m_progress.end() ? steady_time {} : progress->second.lastReply;
        contacts.push_back(voter.disk == m_options.self.disk ? now : lastReply);
    }
    std::ranges::sort(contacts, std::greater<> {});
    return contacts.at(m_config.majority() - 1);
}

void replica_core::validate() const
{
#ifndef NDEBUG
    assert(m_commitIndex <= lastIndex());
    assert(m_commitIndex >= m_snapshot.index);
    assert(m_persistedIndex <= lastIndex());
    log_index expected = m_snapshot.index;
    for (const auto &entry : m_entries) {
        assert(entry.index == ++expected);
        assert(entry.term <= m_hardState.term);
    }
#endif
}

log_term replica_core::termAt(log_index index) const
{
    if (index == m_snapshot.index) {
        return m_snapshot.term;
    }
    return entryAt(index).term;
}

const log_entry &replica_core::entryAt(log_index index) const
{
    assert(index > m_snapshot.index && index <= lastIndex());
    return m_entries[index - m_snapshot.index - 1];
}

log_term replica_core::lastTerm() const
{
    return termAt(lastIndex());
}

std::vector<replica_id> replica_core::otherMembers() const
{
    std::vector<replica_id> peers;
    for (const auto &list : {m_config.voters, m_config.learners}) {
        for (const auto &peer : list) {
            if (peer.disk != m_options.self.disk) {
                peers.push_back(peer);
            }
        }
    }
    return peers;
}

void replica_core::restoreConfig()
{
    m_config = m_snapshot.config;
    m_configIndex = m_snapshot.index;
    for (const auto &entry : m_entries) {
        if (const auto *changed = configOf(entry)) {
            m_config = *changed;
            m_configIndex = entry.index;
        }
    }
}

void replica_core::onAppendRequest(const replica_message &message, steady_time now)
{
    replica_message answer {.kind = replica_message_kind::appendReply, .term = m_hardState.term};
    if (message.term < m_hardState.term) {
        reply(message, std::move(answer));
        return;
    }
    becomeFollower(message.term, message.from.disk, now);
    m_lastLeaderContact = now;
    m_failedElections = 0;
    answer.term = m_hardState.term;

    if (message.lastIndex > lastIndex()) {
        answer.lastIndex = lastIndex();
        reply(message, std::move(answer), now);
        return;
    }
    if (message.lastIndex >= m_snapshot.index && termAt(message.lastIndex) != message.lastTerm) {
        answer.lastIndex = message.lastIndex - 1;
        reply(message, std::move(answer), now);
        return;
    }
    acceptEntries(message.entries);
    const log_index matched = message.lastIndex + message.entries.size();
    answer.granted = true;
    answer.lastIndex = std::max(matched, m_snapshot.index);
    commitTo(std::min(message.commitIndex, answer.lastIndex));
    // Until a new leader has committed an entry of its term, its commit index may lack entries that were acknowledged before.
    if (message.commitIndex <= m_commitIndex && termAt(m_commitIndex) == message.term) {
        // A leader that was cut off together with this replica goes on for a while without a majority.
        const auto contactAt = contactTime(message, now);
        m_confirmedAt = std::max(m_confirmedAt, contactAt ? *contactAt - message.confirmationLag : m_confirmedAt);
    }
    reply(message, std::move(answer), now);
}

void replica_core::onAppendReply(const replica_message &message, steady_time now)
{
    if (message.term > m_hardState.term) {
        becomeFollower(message.term, 0, now);
        return;
    }
    const auto found = m_progress.find(message.from.disk);
    if (m_role != replica_role::leader || message.term != m_hardState.term || found == m_progress.end()) {
        return;
    }
    auto &progress = found->second;
    progress.lastReply = std::max(progress.lastReply, contactTime(message, now).value_or(progress.lastReply));
    progress.peerSentAt = message.sentAt;
    progress.peerHeardAt = now;
    if (!message.granted) {
        progress.retryAt = {};
        // A peer may have lost entries that it had acknowledged, so its match index can move back. A delayed rejection costs only a retransmission.
        progress.match = std::min(progress.match, message.lastIndex);
        progress.next = std::min(message.lastIndex, lastIndex()) + 1;
        sendAppend(message.from, now);
        return;
    }
    progress.snapshotUntil = {};
    if (message.lastIndex >= progress.inFlightEnd) {
        progress.retryAt = {};
    }
    progress.match = std::max(progress.match, message.lastIndex);
    progress.next = std::max(progress.next, progress.match + 1);
    advanceCommit(now);
    if (progress.match < lastIndex() && progress.next <= lastIndex() && now >= progress.retryAt) {
        sendAppend(message.from, now);
    }
}

void replica_core::onSnapshotRequest(const replica_message &message, steady_time now)
{
    if (message.term < m_hardState.term || !message.snapshot) {
        reply(message, {.kind = replica_message_kind::appendReply, .term = m_hardState.term});
        return;
    }
    becomeFollower(message.term, message.from.disk, now);
    m_lastLeaderContact = now;
    const log_index snapshotIndex = message.snapshot->index;
    const bool matches = snapshotIndex >= m_snapshot.index && snapshotIndex <= lastIndex() && termAt(snapshotIndex) == message.snapshot->term;
    if (matches) {
        // A delayed snapshot is a prefix of the local log: the entries after it may already be acknowledged and must be kept.
        commitTo(std::max(snapshotIndex, m_commitIndex));
    } else if (snapshotIndex > m_commitIndex) {
        m_snapshot = *message.snapshot;
        m_entries.clear();
        m_output.entries.clear();
        m_output.committed.clear();
        m_output.snapshot = m_snapshot;
        m_commitIndex = m_snapshot.index;
        m_persistedIndex = m_snapshot.index;
        restoreConfig();
    }
    reply(message, {.kind = replica_message_kind::appendReply, .term = m_hardState.term, .lastIndex = m_commitIndex, .granted = true}, now);
}

void replica_core::acceptEntries(std::span<const log_entry> entries)
{
    for (const auto &entry : entries) {
        if (entry.index <= m_snapshot.index) {
            continue;
        }
        if (entry.index <= lastIndex()) {
            if (termAt(entry.index) == entry.term) {
                continue;
            }
            truncateFrom(entry.index);
        }
        m_entries.push_back(entry);
        m_output.entries.push_back(entry);
        if (const auto *changed = configOf(entry)) {
            m_config = *changed;
            m_configIndex = entry.index;
        }
    }
}

log_entry replica_core::nextEntry(entry_body body) const
{
    return {.index = lastIndex() + 1, .term = m_hardState.term, .body = std::move(body)};
}

bool replica_core::hasRoomFor(const log_entry &entry) const
{
    const auto uncommitted = std::span(m_entries).subspan(m_commitIndex - m_snapshot.index);
    return uncommitted.empty() || memoryOf(uncommitted) + memoryOf(entry) <= m_options.maxUncommittedBytes;
}

void replica_core::appendAsLeader(log_entry entry)
{
    m_entries.push_back(std::move(entry));
    m_output.entries.push_back(m_entries.back());
    if (const auto *changed = configOf(m_entries.back())) {
        m_config = *changed;
        m_configIndex = m_entries.back().index;
        for (const auto &peer : otherMembers()) {
            m_progress.try_emplace(peer.disk, replica_progress {.next = lastIndex(), .match = 0, .lastReply = {}, .snapshotUntil = {}});
        }
        std::erase_if(m_progress, [this](const auto &item) { return !m_config.isVoter(item.first) && !m_config.isLearner(item.first); });
    }
}

void replica_core::truncateFrom(log_index index)
{
    assert(index > m_commitIndex);
    m_entries.resize(index - m_snapshot.index - 1);
    std::erase_if(m_output.entries, [index](const log_entry &entry) { return entry.index >= index; });
    m_persistedIndex = std::min(m_persistedIndex, index - 1);
    restoreConfig();
}

void replica_core::sendAppend(const replica_id &peer, steady_time now)
{
    auto &progress = m_progress[peer.disk];
    if (progress.next <= m_snapshot.index) {
        sendSnapshot(peer, progress, now);
        return;
    }
    replica_message message {.kind = replica_message_kind::appendRequest, .from = m_options.self, .to = peer, .term = m_hardState.term};
    message.lastIndex = progress.next - 1;
    message.lastTerm = termAt(message.lastIndex);
    message.commitIndex = m_commitIndex;
    message.sentAt = now;
    message.echo = progress.peerSentAt;
    message.confirmationLag = std::max(microseconds(0), std::chrono::ceil<microseconds>(progress.peerHeardAt - confirmedAt(now)));
    if (now >= progress.retryAt) {
        attachEntries(message, progress, now);
    }
    m_output.messages.push_back(std::move(message));
}

// Attaches the next entries for a follower that has none in flight.
void replica_core::attachEntries(replica_message &message, replica_progress &progress, steady_time now) const
{
    const log_index end = std::min(lastIndex(), progress.next + m_options.maxEntriesPerMessage - 1);
    std::size_t bytes = 0;
    for (log_index index = progress.next; index <= end; ++index) {
        const auto &entry = entryAt(index);
        bytes += memoryOf(entry);
        if (!message.entries.empty() && bytes > m_options.maxBytesPerMessage) {
            break;
        }
        message.entries.push_back(entry);
    }
    if (!message.entries.empty()) {
        progress.inFlightEnd = message.entries.back().index;
        progress.retryAt = now + m_options.electionTimeout + milliseconds(bytes / minBytesPerMillisecond);
    }
}

void replica_core::sendSnapshot(const replica_id &peer, replica_progress &progress, steady_time now)
{
    if (now < progress.snapshotUntil) {
        return;
    }
    progress.snapshotUntil = now + snapshotRetryInterval;
    replica_message message {.kind = replica_message_kind::snapshotRequest, .from = m_options.self, .to = peer, .term = m_hardState.term};
    message.snapshot = m_snapshot;
    message.sentAt = now;
    message.echo = progress.peerSentAt;
    m_output.messages.push_back(std::move(message));
}

void replica_core::broadcastAppend(steady_time now)
{
    m_heartbeatDeadline = now + m_options.heartbeat;
    for (const auto &peer : otherMembers()) {
        sendAppend(peer, now);
    }
}

std::optional<steady_time> replica_core::contactTime(const replica_message &message, steady_time now) const
{
    if (message.sentAt == steady_time {}) {
        // A former release tells no times.
        return now;
    }
    // Times from before a restart may belong to another run of the clock.
    const bool isOfThisProcess = message.echo >= m_startedAt && message.echo <= now;
    return isOfThisProcess ? std::optional(message.echo) : std::nullopt;
}

void replica_core::reply(const replica_message &request, replica_message answer, steady_time now)
{
    answer.sentAt = now;
    answer.echo = request.sentAt;
    answer.from = m_options.self;
    answer.to = request.from;
    m_output.messages.push_back(std::move(answer));
}

void replica_core::advanceCommit(steady_time now)
{
    for (log_index index = lastIndex(); index > m_commitIndex && termAt(index) == m_hardState.term; --index) {
        std::set<disk_id> persistedOn;
        if (m_persistedIndex >= index) {
            persistedOn.insert(m_options.self.disk);
        }
        for (const auto &[disk, progress] : m_progress) {
            if (progress.match >= index) {
                persistedOn.insert(disk);
            }
        }
        if (!isMajority(persistedOn)) {
            continue;
        }
        commitTo(index);
        // Sends the new commit index to followers without waiting for the next heartbeat.
        m_heartbeatDeadline = std::min(m_heartbeatDeadline, now);
        if (!m_config.isVoter(m_options.self.disk)) {
            m_role = replica_role::learner;
            m_leader = 0;
        }
        return;
    }
}

void replica_core::commitTo(log_index index)
{
    while (m_commitIndex < index) {
        ++m_commitIndex;
        m_output.committed.push_back(entryAt(m_commitIndex));
    }
}

} // namespace hornbeampick
