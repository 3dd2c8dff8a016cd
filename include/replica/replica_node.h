#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "replica/formation.h"
#include "replica/replica_core.h"
#include "replica/replica_store.h"
#include "replica/rule_ledger.h"
#include "replica/voter_repair.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <variant>

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
    /// The disk failed or is damaged; the replica has stopped for good.
    virtual void onStopped(std::error_code why) = 0;
};

struct replica_node_options {
    host_name host;
    std::string address;
    std::vector<bootstrap_voter> bootstrap;
    milliseconds electionTimeout{ 600 };
    milliseconds heartbeat{ 100 };
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

/// Runs one replica: a thread of its own owns the core, the ledger and the store;
/// other threads hand it work through an inbox under a lock.
class replica_node
{
public:
    using submit_done = std::function<void(const submit_result &)>;

    replica_node(replica_node_options options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
                 random_source &random);
    ~replica_node();
    replica_node(const replica_node &) = delete;
    replica_node &operator=(const replica_node &) = delete;

    void start();
    /// Hands leadership over when it has it, then ends the thread.
    void stop();

    void receive(replica_message message);
    void receiveForm(form_request request, std::function<void(const form_reply &)> done);
    /// `done` is called once: accepted, conflict, notLeader (surely not accepted), or noQuorum (not confirmed).
    void submit(entry_body body, submit_done done);
    [[nodiscard]] replica_view view() const;

private:
    struct form_call {
        form_request request;
        std::function<void(const form_reply &)> done;
    };
    struct submit_call {
        entry_body body;
        submit_done done;
    };
    struct waiter {
        log_term term = 0;
        submit_done done;
    };
    using work = std::variant<replica_message, form_call, submit_call, form_reply>;

    void run();
    bool load();
    void handle(work &item);
    void handleForm(form_call &call);
    void handleSubmit(submit_call &call);
    void tick();
    void adoptIfFormed();
    void startCore(replica_image image);
    void carryOut();
    bool persist(const replica_output &output);
    void apply(const replica_output &output);
    void compactIfLong();
    void failWaiters();
    void failStorage(std::error_code why);
    void publishView();
    [[nodiscard]] steady_time wakeTime() const;
    void push(work item);

    replica_node_options m_options;
    replica_store &m_store;
    replica_transport &m_transport;
    ledger_listener &m_listener;
    clock_source &m_clock;
    random_source &m_random;

    // Owned by the thread.
    replica_id m_self;
    hard_state m_hard;
    std::unique_ptr<replica_core> m_core;
    std::unique_ptr<formation> m_formation;
    voter_repair m_repair;
    rule_ledger m_ledger;
    std::multimap<log_index, waiter> m_waiters;
    replica_role m_lastRole = replica_role::absent;

    // Guarded by m_lock.
    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    std::deque<work> m_inbox;
    bool m_stopping = false;
    replica_view m_view;

    std::thread m_thread;
};

} // namespace hornbeampick
