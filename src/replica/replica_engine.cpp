#include "replica/replica_engine.h"

#include "replica/entry_size.h"

#include <set>
#include <utility>

namespace hornbeampick
{

namespace
{

constexpr milliseconds formationRetryInterval {300};
// A join request expires, and a voter counts as lost, after this long without contact.
constexpr milliseconds memberTimeout {5000};
// Wake-up interval of a replica that stays stopped.
constexpr milliseconds idleWakeInterval {1000};
// Interval between attempts to recover after a failure of the disk.
constexpr milliseconds recoveryInterval {250};
// A replica without a known leader for this long may have been removed from the configuration while it was down or unreachable.
constexpr milliseconds rejoinDelay {3000};
constexpr milliseconds rejoinInterval {1000};

submit_result failedSubmit(errc error)
{
    return {.error = error, .version = 0, .winner = {}, .winnerOperator = {}};
}

} // namespace

replica_engine::replica_engine(replica_node_options options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
                               random_source &random, form_reply_handler formReplyHandler)
    : m_options(std::move(options))
    , m_store(store)
    , m_transport(transport)
    , m_listener(listener)
    , m_clock(clock)
    , m_random(random)
    , m_formReplyHandler(std::move(formReplyHandler))
    , m_repair(m_options.targetVoters == 0 ? m_options.bootstrap.size() : m_options.targetVoters, memberTimeout)
{
}

void replica_engine::load()
{
    auto image = recoverDisk();
    if (!image) {
        stopOnStorageError(image.error());
        return;
    }
    m_self = {.host = m_options.host, .disk = image.value().disk, .address = m_options.address};
    m_hardState = image.value().hardState;
    m_nextRecovery.reset();
    if (image.value().formed()) {
        startCore(std::move(image.value()));
        processOutput();
        if (m_core) {
            // Published only after all entries known to be committed are applied, so that the version in force never decreases over a recovery.
            m_listener.onLedger(m_ledger.state());
        }
    } else {
        m_formation = std::make_unique<formation>(formation::options {.self = m_self,
                                                                      .bootstrapVoters = m_options.bootstrap,
                                                                      .retryInterval = formationRetryInterval,
                                                                      .joinOnly = image.value().hasLostRecords || (m_wasNewDisk && !m_options.mayBootstrap)});
    }
    const bool participates = m_core || m_formation;
    if (participates && std::exchange(m_stopped, false)) {
        m_listener.onRecovered();
    }
}

// Reads the records and saves them all again: what can be read need not be durable, and must not be acknowledged before it is.
result<replica_image> replica_engine::recoverDisk()
{
    auto image = readDisk();
    if (!image) {
        return image;
    }
    auto &found = image.value();
    if (found.disk == 0) {
        m_wasNewDisk = true;
        found.disk = m_random.next() | 1U;
    }
    auto saved = m_store.saveHardState(found.disk, found.hardState);
    if (saved && found.formed()) {
        saved = m_store.saveSnapshot(found.snapshot, found.entries);
    }
    if (!saved) {
        publishCommitted(found);
        return saved.error();
    }
    return image;
}

// A host whose disk cannot be written still serves what was in force.
void replica_engine::publishCommitted(const replica_image &image)
{
    if (!image.formed() || image.commit <= m_ledger.state().appliedIndex) {
        return;
    }
    m_ledger = rule_ledger(image.snapshot.state);
    for (const auto &entry : image.entries) {
        if (entry.index <= image.commit) {
            m_ledger.apply(entry);
        }
    }
    m_listener.onLedger(m_ledger.state());
}

result<replica_image> replica_engine::readDisk()
{
    auto image = m_store.load();
    if (image || image.error() != errc::corruptRecord) {
        return image;
    }
    m_listener.onRecordsDamaged(image.error());
    if (const auto moved = m_store.setAside(); !moved) {
        return moved.error();
    }
    return m_store.load();
}

void replica_engine::tick()
{
    const auto now = m_clock.now();
    if (m_nextRecovery && now >= *m_nextRecovery) {
        load();
    }
    if (m_formation) {
        for (const auto &[address, request] : m_formation->tick(now)) {
            m_transport.form(address, request, m_formReplyHandler);
        }
        startCoreIfFormed();
    }
    if (!m_core) {
        return;
    }
    m_core->tick(now);
    if (auto config = m_repair.nextConfig(*m_core, now)) {
        // The proposal fails only when leadership changed in between; the next tick decides again.
        (void)m_core->propose(std::move(*config), now);
    }
    rejoinIfRemoved(now);
}

// A voter that was removed while it was down or unreachable receives no messages any more, so it requests to join again.
void replica_engine::rejoinIfRemoved(steady_time now)
{
    if (m_core->leader() || m_leaderLastKnown == steady_time {}) {
        m_leaderLastKnown = now;
        return;
    }
    const auto &voters = m_core->config().voters;
    // The leader that added this disk may have been replaced before it replicated a configuration; nobody else then contacts this disk.
    const bool hasNoConfig = voters.empty();
    if (now < m_leaderLastKnown + (hasNoConfig ? formationRetryInterval : rejoinDelay) || now < m_nextRejoin) {
        return;
    }
    m_nextRejoin = now + (hasNoConfig ? formationRetryInterval : rejoinInterval);
    std::set<std::string> addresses;
    for (const auto &voter : voters) {
        addresses.insert(voter.address);
    }
    for (const auto &bootstrapHost : m_options.bootstrap) {
        addresses.insert(bootstrapHost.address);
    }
    addresses.erase(m_self.address);
    for (const auto &address : addresses) {
        m_transport.form(address, {.sender = m_self, .config = std::nullopt, .join = true}, [](const form_reply &) {});
    }
}

void replica_engine::receive(const replica_message &message)
{
    // A new disk that the leader has already added starts with an empty log and receives the state in the leader's snapshot.
    const bool fromLeader = message.kind == replica_message_kind::appendRequest || message.kind == replica_message_kind::snapshotRequest;
    const bool addedByLeader = !m_core && m_formation && fromLeader;
    if (addedByLeader && message.to.disk == m_self.disk) {
        startCore({.disk = m_self.disk, .hardState = m_hardState, .snapshot = {}, .entries = {}});
    }
    if (m_core) {
        m_core->step(message, m_clock.now());
    }
}

void replica_engine::onFormReply(const form_reply &reply)
{
    if (m_formation) {
        m_formation->onReply(reply);
    }
}

std::optional<form_reply> replica_engine::onFormRequest(const form_request &request)
{
    if (m_formation) {
        return m_formation->onRequest(request);
    }
    if (!m_core) {
        return std::nullopt;
    }
    if (request.join && m_core->role() == replica_role::leader) {
        m_repair.onJoinRequest(request.sender, m_clock.now());
    }
    return form_reply {.formed = true, .self = m_self, .config = m_core->config()};
}

void replica_engine::submit(entry_body body, submit_done done)
{
    if (!m_core) {
        done(failedSubmit(errc::notAVoter));
        return;
    }
    if (auto *change = std::get_if<rules_change>(&body)) {
        *change = m_ledger.asPatchIfSmaller(std::move(*change));
    }
    const auto index = m_core->propose(std::move(body), m_clock.now());
    if (!index) {
        done(failedSubmit(static_cast<errc>(index.error().value())));
        return;
    }
    m_pendingSubmits.emplace(index.value(), pending_submit {.term = m_core->term(), .done = std::move(done)});
}

void replica_engine::transferLeadership()
{
    if (m_core) {
        m_core->transferLeadership(m_clock.now());
    }
}

void replica_engine::processOutput()
{
    while (m_core) {
        const replica_output output = m_core->takeOutput();
        if (output.empty()) {
            break;
        }
        if (!persistTimed(output)) {
            return;
        }
        for (const auto &message : output.messages) {
            m_transport.send(message);
        }
        if (!apply(output)) {
            return;
        }
        m_core->markPersisted();
    }
    if (m_core) {
        compactIfNeeded();
    }
    if (m_core) {
        if (m_lastRole == replica_role::leader && m_core->role() != replica_role::leader) {
            failPendingSubmits();
        }
        m_lastRole = m_core->role();
        m_lastConfig = m_core->config();
        reportRole();
    }
}

void replica_engine::reportRole()
{
    auto current = view();
    if (current.role != m_reported.role || current.term != m_reported.term || current.leader != m_reported.leader) {
        m_listener.onRoleChanged(current);
        m_reported = std::move(current);
    }
}

void replica_engine::failPendingSubmits()
{
    auto pendingSubmits = std::exchange(m_pendingSubmits, {});
    for (auto &[index, pending] : pendingSubmits) {
        pending.done({.error = errc::noQuorum, .version = 0, .winner = {}, .winnerOperator = {}});
    }
}

replica_view replica_engine::view() const
{
    if (m_stopped) {
        return {.role = replica_role::stopped, .term = m_hardState.term, .leader = {}, .config = m_lastConfig, .commit = 0};
    }
    if (!m_core) {
        return {};
    }
    return {
        .role = m_core->role(),
        .term = m_core->term(),
        .leader = m_core->leader(),
        .config = m_core->config(),
        .commit = m_core->commitIndex(),
        .confirmedAt = m_core->confirmedAt(m_clock.now()),
    };
}

steady_time replica_engine::wakeTime() const
{
    if (m_core) {
        return m_core->nextDeadline();
    }
    if (m_nextRecovery) {
        return *m_nextRecovery;
    }
    return m_clock.now() + (m_formation ? formationRetryInterval : idleWakeInterval);
}

void replica_engine::startCoreIfFormed()
{
    if (!m_formation->adoptedConfig()) {
        return;
    }
    replica_snapshot first {.index = 1, .term = 1, .config = *m_formation->adoptedConfig(), .state = {}};
    const hard_state firstHardState {.term = 1, .votedFor = 0};
    if (const auto saved = m_store.saveSnapshot(first, {}); !saved) {
        stopOnStorageError(saved.error());
        return;
    }
    if (const auto saved = m_store.saveHardState(m_self.disk, firstHardState); !saved) {
        stopOnStorageError(saved.error());
        return;
    }
    m_hardState = firstHardState;
    startCore({.disk = m_self.disk, .hardState = m_hardState, .snapshot = std::move(first), .entries = {}});
}

void replica_engine::startCore(replica_image image)
{
    m_ledger = rule_ledger(image.snapshot.state);
    m_logBytes = memoryOf(image.entries);
    const replica_options options {
        .self = m_self,
        .electionTimeout = m_options.electionTimeout,
        .heartbeat = m_options.heartbeat,
        .maxUncommittedBytes = m_options.maxLogBytes / 2,
    };
    m_core = std::make_unique<replica_core>(options, std::move(image), m_random, m_clock.now());
    m_formation.reset();
}

bool replica_engine::persistTimed(const replica_output &output)
{
    const auto start = m_clock.now();
    const bool isPersisted = persist(output);
    const auto time = std::chrono::duration_cast<milliseconds>(m_clock.now() - start);
    if (time >= m_options.electionTimeout / 2) {
        m_listener.onSlowDisk(time);
    }
    return isPersisted;
}

bool replica_engine::persist(const replica_output &output)
{
    if (output.hardState) {
        if (const auto saved = m_store.saveHardState(m_self.disk, *output.hardState); !saved) {
            stopOnStorageError(saved.error());
            return false;
        }
        m_hardState = *output.hardState;
    }
    if (output.snapshot) {
        m_logBytes = 0;
        if (const auto saved = m_store.saveSnapshot(*output.snapshot, {}); !saved) {
            stopOnStorageError(saved.error());
            return false;
        }
    }
    if (!output.entries.empty()) {
        m_logBytes += memoryOf(output.entries);
        if (const auto saved = m_store.append(output.entries); !saved) {
            stopOnStorageError(saved.error());
            return false;
        }
    }
    return true;
}

bool replica_engine::apply(const replica_output &output)
{
    if (output.snapshot) {
        m_ledger = rule_ledger(output.snapshot->state);
        m_listener.onLedger(m_ledger.state());
    }
    std::vector<std::pair<submit_done, submit_result>> completed;
    for (const auto &entry : output.committed) {
        const submit_result outcome = m_ledger.apply(entry);
        const auto [first, last] = m_pendingSubmits.equal_range(entry.index);
        for (auto it = first; it != last; ++it) {
            auto &pending = it->second;
            completed.emplace_back(std::move(pending.done), pending.term == entry.term ? outcome : failedSubmit(errc::noQuorum));
        }
        m_pendingSubmits.erase(first, last);
    }
    status recorded = success();
    if (!output.committed.empty()) {
        recorded = m_store.recordCommitIndex(output.committed.back().index);
        m_listener.onLedger(m_ledger.state());
    }
    // Callbacks run after the listener has the new state: a client that was told of an acceptance must not read an older state from this host.
    for (const auto &[done, outcome] : completed) {
        done(outcome);
    }
    if (!recorded) {
        // The recovery records it with the log; otherwise a restart could begin from an older state than this one.
        stopOnStorageError(recorded.error());
        return false;
    }
    return true;
}

void replica_engine::compactIfNeeded()
{
    const log_index applied = m_ledger.state().appliedIndex;
    const bool isLong = applied >= m_core->firstIndex() + m_options.snapshotEntries;
    const bool isLarge = applied >= m_core->firstIndex() && m_logBytes >= m_options.maxLogBytes;
    if (!isLong && !isLarge) {
        return;
    }
    m_core->compact(applied, m_ledger.state());
    const replica_snapshot snapshot {
        .index = applied,
        .term = m_core->snapshotTerm(),
        .config = m_core->snapshotConfig(),
        .state = m_ledger.state(),
    };
    m_logBytes = memoryOf(m_core->entries());
    if (const auto saved = m_store.saveSnapshot(snapshot, m_core->entries()); !saved) {
        stopOnStorageError(saved.error());
    }
}

// Nothing in memory may outlast the failure: the records of the disk are recovered as after a crash. Records of a newer release are left as
// they are.
void replica_engine::stopOnStorageError(std::error_code why)
{
    m_core.reset();
    m_formation.reset();
    m_lastRole = replica_role::stopped;
    m_leaderLastKnown = {};
    m_nextRecovery.reset();
    const bool staysStopped = why == errc::unsupportedFormat;
    if (!staysStopped) {
        m_nextRecovery = m_clock.now() + recoveryInterval;
    }
    const bool wasStopped = std::exchange(m_stopped, true);
    failPendingSubmits();
    if (!wasStopped || staysStopped) {
        m_listener.onStopped(why);
    }
}

} // namespace hornbeampick
