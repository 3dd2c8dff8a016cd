#include "replica/replica_node.h"

#include <utility>

namespace hornbeampick
{

namespace
{

constexpr milliseconds formationRetry{ 300 };
constexpr milliseconds joinPatience{ 5000 };
constexpr milliseconds idleWait{ 1000 };

template <typename... Handlers> struct overloaded : Handlers... {
    using Handlers::operator()...;
};

} // namespace

replica_node::replica_node(replica_node_options options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
                           random_source &random)
    : m_options(std::move(options))
    , m_store(store)
    , m_transport(transport)
    , m_listener(listener)
    , m_clock(clock)
    , m_random(random)
    , m_repair(m_options.bootstrap.size(), joinPatience)
{
}

replica_node::~replica_node()
{
    stop();
}

void replica_node::start()
{
    m_thread = std::thread([this] { run(); });
}

void replica_node::stop()
{
    {
        const std::lock_guard guard(m_lock);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void replica_node::receive(replica_message message)
{
    push(std::move(message));
}

void replica_node::receiveForm(form_request request, std::function<void(const form_reply &)> done)
{
    push(form_call{ .request = std::move(request), .done = std::move(done) });
}

void replica_node::submit(entry_body body, submit_done done)
{
    push(submit_call{ .body = std::move(body), .done = std::move(done) });
}

replica_view replica_node::view() const
{
    const std::lock_guard guard(m_lock);
    return m_view;
}

void replica_node::push(work item)
{
    {
        const std::lock_guard guard(m_lock);
        m_inbox.push_back(std::move(item));
    }
    m_wake.notify_all();
}

void replica_node::run()
{
    bool running = load();
    while (running) {
        std::deque<work> items;
        {
            std::unique_lock guard(m_lock);
            const auto deadline = wakeTime();
            m_wake.wait_until(guard, deadline, [this] { return m_stopping || !m_inbox.empty(); });
            items.swap(m_inbox);
            running = !m_stopping;
        }
        for (auto &item : items) {
            handle(item);
        }
        tick();
        carryOut();
        publishView();
    }
    if (m_core) {
        m_core->handOver(m_clock.now());
        carryOut();
    }
    failWaiters();
}

bool replica_node::load()
{
    auto image = m_store.load();
    if (!image) {
        failStorage(image.error());
        return true;
    }
    m_self = { .host = m_options.host, .disk = image.value().disk, .address = m_options.address };
    m_hard = image.value().hard;
    if (m_self.disk == 0) {
        m_self.disk = m_random.next() | 1U;
        if (const auto saved = m_store.saveIdentity(m_self.disk, m_hard); !saved) {
            failStorage(saved.error());
            return true;
        }
    }
    if (image.value().formed()) {
        startCore(std::move(image.value()));
    } else {
        m_formation = std::make_unique<formation>(m_self, m_options.bootstrap, formationRetry);
    }
    publishView();
    return true;
}

void replica_node::startCore(replica_image image)
{
    m_ledger = rule_ledger(image.snapshot.state);
    const replica_options options{
        .self = m_self,
        .electionTimeout = m_options.electionTimeout,
        .heartbeat = m_options.heartbeat,
    };
    m_core = std::make_unique<replica_core>(options, std::move(image), m_random, m_clock.now());
    m_formation.reset();
    m_listener.onLedger(m_ledger.state());
}

void replica_node::handle(work &item)
{
    std::visit(overloaded{
                   [this](replica_message &message) {
                       // A learner that was added before it knew takes its first configuration from the leader's snapshot.
                       const bool invited = !m_core && m_formation && message.kind == replica_message_kind::snapshotRequest;
                       if (invited && message.to.disk == m_self.disk) {
                           startCore({ .disk = m_self.disk, .hard = m_hard, .snapshot = {}, .entries = {} });
                       }
                       if (m_core) {
                           m_core->step(message, m_clock.now());
                       }
                   },
                   [this](form_call &call) { handleForm(call); },
                   [this](submit_call &call) { handleSubmit(call); },
                   [this](form_reply &reply) {
                       if (m_formation) {
                           m_formation->onReply(reply);
                       }
                   },
               },
               item);
}

void replica_node::handleForm(form_call &call)
{
    if (m_formation) {
        call.done(m_formation->onRequest(call.request));
        return;
    }
    if (!m_core) {
        return;
    }
    if (call.request.join && m_core->role() == replica_role::leader) {
        m_repair.onJoin(call.request.sender, m_clock.now());
    }
    call.done({ .formed = true, .self = m_self, .config = m_core->config() });
}

void replica_node::handleSubmit(submit_call &call)
{
    if (!m_core) {
        call.done({ .error = errc::notAVoter, .version = 0, .winner = {}, .winnerOperator = {} });
        return;
    }
    const auto index = m_core->propose(std::move(call.body), m_clock.now());
    if (!index) {
        call.done({ .error = static_cast<errc>(index.error().value()), .version = 0, .winner = {}, .winnerOperator = {} });
        return;
    }
    m_waiters.emplace(index.value(), waiter{ .term = m_core->term(), .done = std::move(call.done) });
}

void replica_node::tick()
{
    const auto now = m_clock.now();
    if (m_formation) {
        for (const auto &[address, request] : m_formation->tick(now)) {
            m_transport.form(address, request, [this](const form_reply &reply) { push(reply); });
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
}

void replica_node::adoptIfFormed()
{
    if (!m_formation->adopted()) {
        return;
    }
    replica_snapshot first{ .index = 1, .term = 1, .config = *m_formation->adopted(), .state = {} };
    m_hard = { .term = 1, .votedFor = 0 };
    if (const auto saved = m_store.saveSnapshot(first, {}); !saved) {
        failStorage(saved.error());
        return;
    }
    if (const auto saved = m_store.saveIdentity(m_self.disk, m_hard); !saved) {
        failStorage(saved.error());
        return;
    }
    startCore({ .disk = m_self.disk, .hard = m_hard, .snapshot = std::move(first), .entries = {} });
}

void replica_node::carryOut()
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
        if (m_lastRole == replica_role::leader && m_core->role() != replica_role::leader) {
            failWaiters();
        }
        m_lastRole = m_core->role();
    }
}

bool replica_node::persist(const replica_output &output)
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

void replica_node::apply(const replica_output &output)
{
    if (output.snapshot) {
        m_ledger = rule_ledger(output.snapshot->state);
        m_listener.onLedger(m_ledger.state());
    }
    for (const auto &entry : output.committed) {
        const submit_result verdict = m_ledger.apply(entry);
        const auto [first, last] = m_waiters.equal_range(entry.index);
        std::vector<waiter> reached;
        for (auto it = first; it != last; ++it) {
            reached.push_back(std::move(it->second));
        }
        m_waiters.erase(first, last);
        for (auto &each : reached) {
            each.done(each.term == entry.term ? verdict : submit_result{ .error = errc::noQuorum, .version = 0, .winner = {}, .winnerOperator = {} });
        }
    }
    if (!output.committed.empty()) {
        m_listener.onLedger(m_ledger.state());
    }
}

void replica_node::compactIfLong()
{
    const log_index applied = m_ledger.state().appliedIndex;
    if (applied < m_core->firstIndex() + m_options.snapshotEntries) {
        return;
    }
    m_core->compact(applied, m_ledger.state());
    const replica_snapshot snapshot{
        .index = applied,
        .term = m_core->snapshotTerm(),
        .config = m_core->snapshotConfig(),
        .state = m_ledger.state(),
    };
    if (const auto saved = m_store.saveSnapshot(snapshot, m_core->entries()); !saved) {
        failStorage(saved.error());
    }
}

void replica_node::failWaiters()
{
    auto waiters = std::exchange(m_waiters, {});
    for (auto &[index, each] : waiters) {
        each.done({ .error = errc::noQuorum, .version = 0, .winner = {}, .winnerOperator = {} });
    }
}

void replica_node::failStorage(std::error_code why)
{
    m_core.reset();
    m_formation.reset();
    failWaiters();
    {
        const std::lock_guard guard(m_lock);
        m_view = { .role = replica_role::stopped, .term = m_hard.term, .leader = {}, .config = {}, .commit = 0 };
    }
    m_listener.onStopped(why);
}

void replica_node::publishView()
{
    if (!m_core) {
        return;
    }
    const std::lock_guard guard(m_lock);
    m_view = {
        .role = m_core->role(),
        .term = m_core->term(),
        .leader = m_core->leader(),
        .config = m_core->config(),
        .commit = m_core->commitIndex(),
    };
}

steady_time replica_node::wakeTime() const
{
    if (m_core) {
        return m_core->nextDeadline();
    }
    return m_clock.now() + (m_formation ? formationRetry : idleWait);
}

} // namespace hornbeampick
