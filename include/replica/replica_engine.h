#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "replica/formation.h"
#include "replica/replica_core.h"
#include "replica/replica_store.h"
#include "replica/rule_ledger.h"
#include "replica/voter_repair.h"

#include <functional>
#include <map>
#include <memory>

namespace hornbeampick
{

/// Carries messages to other replicas. Calls return at once; lost messages are allowed.
class replica_transport
{
public:
    virtual ~replica_transport() = default;
    virtual void send(const replica_message &message) = 0;
    /// `done` is called at most once, from any thread.
    virtual void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) = 0;
};

/// Told of every state the log reaches, in order, from the replica's thread.
class ledger_listener
{
public:
    virtual ~ledger_listener() = default;
    virtual void onLedger(const ledger_state &state) = 0;
    /// Records were damaged and set aside: the disk joins as a new one.
    virtual void onDamaged(std::error_code why) = 0;
    /// The disk failed, or was written by a newer release; the replica has stopped for good.
    virtual void onStopped(std::error_code why) = 0;
};

struct replica_node_options {
    host_name host;
    std::string address;
    std::vector<bootstrap_voter> bootstrap;
    // Voters wanted in all; 0: as many as are listed in `bootstrap`.
    std::size_t targetVoters = 0;
    // False when the fleet has been started before: an empty disk then joins, and never forms a log.
    bool mayForm = true;
    milliseconds electionTimeout {600};
    milliseconds heartbeat {100};
    // Applied entries kept before a snapshot replaces them.
    std::size_t snapshotEntries = 1024;
};

/// A view of the replica for status and metrics.
struct replica_view {
    replica_role role = replica_role::absent;
    log_term term = 0;
    std::optional<replica_id> leader;
    replica_config config;
    log_index commit = 0;
};

/// One replica without a thread: core, ledger, store and formation, in the order that durability asks for:
/// persist and sync, then send, then apply. Single-threaded.
class replica_engine
{
public:
    using submit_done = std::function<void(const submit_result &)>;
    /// Takes the replies to formation requests back into the engine's thread.
    using form_sink = std::function<void(const form_reply &)>;

    replica_engine(replica_node_options options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
                   random_source &random, form_sink formSink);

    /// Reads the disk. Damaged records are set aside; a failing disk stops the replica.
    void load();
    void tick();
    void receive(const replica_message &message);
    void onFormReply(const form_reply &reply);
    /// Empty while the replica has stopped.
    [[nodiscard]] std::optional<form_reply> onFormRequest(const form_request &request);
    void submit(entry_body body, submit_done done);
    /// Asks another voter to lead, when this one does.
    void handOver();
    /// Persists, sends and applies what the calls since the last one decided.
    void carryOut();
    /// Tells every waiting submit that its acceptance is not confirmed.
    void failWaiters();

    [[nodiscard]] replica_view view() const;
    [[nodiscard]] steady_time wakeTime() const;
    [[nodiscard]] const rule_ledger &ledger() const
    {
        return m_ledger;
    }
    /// Null before the replica is formed and after it has stopped.
    [[nodiscard]] const replica_core *core() const
    {
        return m_core.get();
    }

private:
    struct waiter {
        log_term term = 0;
        submit_done done;
    };

    result<replica_image> readDisk();
    void adoptIfFormed();
    void startCore(replica_image image);
    bool persist(const replica_output &output);
    void apply(const replica_output &output);
    void compactIfLong();
    void failStorage(std::error_code why);
    void rejoinIfForgotten(steady_time now);

    replica_node_options m_options;
    replica_store &m_store;
    replica_transport &m_transport;
    ledger_listener &m_listener;
    clock_source &m_clock;
    random_source &m_random;
    form_sink m_formSink;
    replica_id m_self;
    hard_state m_hard;
    std::unique_ptr<replica_core> m_core;
    std::unique_ptr<formation> m_formation;
    voter_repair m_repair;
    rule_ledger m_ledger;
    std::multimap<log_index, waiter> m_waiters;
    replica_role m_lastRole = replica_role::absent;
    // When a leader was last known, and when to ask again for a place in the log.
    steady_time m_ledAt {};
    steady_time m_nextRejoin {};
    bool m_stopped = false;
};

} // namespace hornbeampick
