#include "replica/replica_engine.h"

#include <set>
#include <utility>

namespace hornbeampick
{

namespace
{

constexpr milliseconds formationRetry {300};
constexpr milliseconds joinPatience {5000};
constexpr milliseconds idleWait {1000};
// A replica that has known no leader for this long may have been replaced while it was away.
constexpr milliseconds forgottenAfter {3000};
constexpr milliseconds rejoinEvery {1000};

submit_result failure(errc error)
{
    return {.error = error, .version = 0, .winner = {}, .winnerOperator = {}};
}

} // namespace

replica_engine::replica_engine(replica_node_options options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
                               random_source &random, form_sink formSink)
    : m_options(std::move(options))
    , m_store(store)
    , m_transport(transport)
    , m_listener(listener)
    , m_clock(clock)
    , m_random(random)
    , m_formSink(std::move(formSink))
    , m_repair(m_options.targetVoters == 0 ? m_options.bootstrap.size() : m_options.targetVoters, joinPatience)
{
}

void replica_engine::load()
{
    auto image = readDisk();
    if (!image) {
        failStorage(image.error());
        return;
    }
    m_self = {.host = m_options.host, .disk = image.value().disk, .address = m_options.address};
    m_hard = image.value().hard;
    const bool isEmpty = m_self.disk == 0;
    if (isEmpty) {
        m_self.disk = m_random.next() | 1U;
        if (const auto saved = m_store.saveIdentity(m_self.disk, m_hard); !saved) {
            failStorage(saved.error());
            return;
        }
    }
    if (image.value().formed()) {
        startCore(std::move(image.value()));
        carryOut();
        // Only now, with all that is known to be committed applied: what is in force never falls.
        m_listener.onLedger(m_ledger.state());
    } else {
        m_formation = std::make_unique<formation>(formation::options {
            .self = m_self, .listed = m_options.bootstrap, .retry = formationRetry, .joinsOnly = image.value().lostRecords || (isEmpty && !m_options.mayForm)});
    }
}

result<replica_image> replica_engine::readDisk()
{
    auto image = m_store.load();
    if (image || image.error() != errc::corruptRecord) {
        return image;
    }
    m_listener.onDamaged(image.error());
    if (const auto moved = m_store.setAside(); !moved) {
        return moved.error();
    }
    return m_store.load();
}

void replica_engine::tick()
{
    const auto now = m_clock.now();
    if (m_formation) {
        for (const auto &[address, request] : m_formation->tick(now)) {
            m_transport.form(address, request, m_formSink);
        }
        adoptIfFormed();
    }
    if (!m_core) {
        return;
    }
    m_core->tick(now);
    if (auto config = m_repair.next(*m_core, now)) {
        // Refused only when the leader changed meanwhile; the next tick decides anew.
        (void)m_core->propose(std::move(*config), now);
    }
    rejoinIfForgotten(now);
}

// A voter that was given up while it was away hears nothing any more; it asks to be taken in again.
void replica_engine::rejoinIfForgotten(steady_time now)
{
    if (m_core->leader() || m_ledAt == steady_time {}) {
        m_ledAt = now;
        return;
    }
    const auto &voters = m_core->config().voters;
    // A leader may have lost its place between its first message to this disk and the rest.
    const bool knowsNobody = voters.empty();
    if (now < m_ledAt + (knowsNobody ? formationRetry : forgottenAfter) || now < m_nextRejoin) {
        return;
    }
    m_nextRejoin = now + (knowsNobody ? formationRetry : rejoinEvery);
    std::set<std::string> addresses;
    for (const auto &voter : voters) {
        addresses.insert(voter.address);
    }
    for (const auto &listed : m_options.bootstrap) {
        addresses.insert(listed.address);
    }
    addresses.erase(m_self.address);
    for (const auto &address : addresses) {
        m_transport.form(address, {.sender = m_self, .config = std::nullopt, .join = true}, [](const form_reply &) {});
    }
}

void replica_engine::receive(const replica_message &message)
{
    // A new disk that a leader already counts begins with nothing, and takes all from the leader's snapshot.
    const bool fromLeader = message.kind == replica_message_kind::appendRequest || message.kind == replica_message_kind::snapshotRequest;
    const bool invited = !m_core && m_formation && fromLeader;
    if (invited && message.to.disk == m_self.disk) {
        startCore({.disk = m_self.disk, .hard = m_hard, .snapshot = {}, .entries = {}});
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
        m_repair.onJoin(request.sender, m_clock.now());
    }
    return form_reply {.formed = true, .self = m_self, .config = m_core->config()};
}

void replica_engine::submit(entry_body body, submit_done done)
{
    if (!m_core) {
        done(failure(errc::notAVoter));
        return;
    }
    if (auto *change = std::get_if<rules_change>(&body)) {
        *change = m_ledger.shortened(std::move(*change));
    }
    const auto index = m_core->propose(std::move(body), m_clock.now());
    if (!index) {
        done(failure(static_cast<errc>(index.error().value())));
        return;
    }
    m_waiters.emplace(index.value(), waiter {.term = m_core->term(), .done = std::move(done)});
}

void replica_engine::handOver()
{
    if (m_core) {
        m_core->handOver(m_clock.now());
    }
}

void replica_engine::carryOut()
{
    while (m_core) {
        const replica_output output = m_core->takeOutput();
        if (output.empty()) {
            break;
        }
        if (!persist(output)) {
            return;
        }
        for (const auto &message : output.messages) {
            m_transport.send(message);
        }
        apply(output);
        m_core->persisted();
    }
    if (m_core) {
        compactIfLong();
    }
    if (m_core) {
        if (m_lastRole == replica_role::leader && m_core->role() != replica_role::leader) {
            failWaiters();
        }
        m_lastRole = m_core->role();
    }
}

void replica_engine::failWaiters()
{
    auto waiters = std::exchange(m_waiters, {});
    for (auto &[index, each] : waiters) {
        each.done({.error = errc::noQuorum, .version = 0, .winner = {}, .winnerOperator = {}});
    }
}

replica_view replica_engine::view() const
{
    if (m_stopped) {
        return {.role = replica_role::stopped, .term = m_hard.term, .leader = {}, .config = {}, .commit = 0};
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
    };
}

steady_time replica_engine::wakeTime() const
{
    if (m_core) {
        return m_core->nextDeadline();
    }
    return m_clock.now() + (m_formation ? formationRetry : idleWait);
}

void replica_engine::adoptIfFormed()
{
    if (!m_formation->adopted()) {
        return;
    }
    replica_snapshot first {.index = 1, .term = 1, .config = *m_formation->adopted(), .state = {}};
    m_hard = {.term = 1, .votedFor = 0};
    if (const auto saved = m_store.saveSnapshot(first, {}); !saved) {
        failStorage(saved.error());
        return;
    }
    if (const auto saved = m_store.saveIdentity(m_self.disk, m_hard); !saved) {
        failStorage(saved.error());
        return;
    }
    startCore({.disk = m_self.disk, .hard = m_hard, .snapshot = std::move(first), .entries = {}});
}

void replica_engine::startCore(replica_image image)
{
    m_ledger = rule_ledger(image.snapshot.state);
    const replica_options options {
        .self = m_self,
        .electionTimeout = m_options.electionTimeout,
        .heartbeat = m_options.heartbeat,
    };
    m_core = std::make_unique<replica_core>(options, std::move(image), m_random, m_clock.now());
    m_formation.reset();
}

bool replica_engine::persist(const replica_output &output)
{
    if (output.hard) {
        m_hard = *output.hard;
        if (const auto saved = m_store.saveIdentity(m_self.disk, m_hard); !saved) {
            failStorage(saved.error());
            return false;
        }
    }
    if (output.snapshot) {
        if (const auto saved = m_store.saveSnapshot(*output.snapshot, {}); !saved) {
            failStorage(saved.error());
            return false;
        }
    }
    if (!output.entries.empty()) {
        if (const auto saved = m_store.append(output.entries); !saved) {
            failStorage(saved.error());
            return false;
        }
    }
    return true;
}

void replica_engine::apply(const replica_output &output)
{
    if (output.snapshot) {
        m_ledger = rule_ledger(output.snapshot->state);
        m_listener.onLedger(m_ledger.state());
    }
    std::vector<std::pair<submit_done, submit_result>> reached;
    for (const auto &entry : output.committed) {
        const submit_result verdict = m_ledger.apply(entry);
        const auto [first, last] = m_waiters.equal_range(entry.index);
        for (auto it = first; it != last; ++it) {
            auto &each = it->second;
            reached.emplace_back(std::move(each.done), each.term == entry.term ? verdict : failure(errc::noQuorum));
        }
        m_waiters.erase(first, last);
    }
    if (!output.committed.empty()) {
        m_store.noteCommit(output.committed.back().index);
        m_listener.onLedger(m_ledger.state());
    }
    // Only now: who was told that a change is accepted must not read an older state here.
    for (const auto &[done, verdict] : reached) {
        done(verdict);
    }
}

void replica_engine::compactIfLong()
{
    const log_index applied = m_ledger.state().appliedIndex;
    if (applied < m_core->firstIndex() + m_options.snapshotEntries) {
        return;
    }
    m_core->compact(applied, m_ledger.state());
    const replica_snapshot snapshot {
        .index = applied,
        .term = m_core->snapshotTerm(),
        .config = m_core->snapshotConfig(),
        .state = m_ledger.state(),
    };
    if (const auto saved = m_store.saveSnapshot(snapshot, m_core->entries()); !saved) {
        failStorage(saved.error());
    }
}

void replica_engine::failStorage(std::error_code why)
{
    m_core.reset();
    m_formation.reset();
    m_stopped = true;
    failWaiters();
    m_listener.onStopped(why);
}

} // namespace hornbeampick
