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

/// Sends messages to other replicas. Calls do not block; messages may be lost, duplicated, delayed or reordered.
class replica_transport
{
public:
    virtual ~replica_transport() = default;
    virtual void send(const replica_message &message) = 0;
    /// Sends `request` to the peer endpoint at `address`. `done` is called at most once, from any thread; not at all when no reply arrives.
    virtual void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) = 0;
};

/// State of the replica for status requests and metrics.
struct replica_view {
    replica_role role = replica_role::absent;
    log_term term = 0;
    std::optional<replica_id> leader;
    replica_config config;
    log_index commit = 0;
    // A time up to which the applied state is known to be the newest; see `replica_core::confirmedAt`.
    steady_time confirmedAt {};
};

/// Receives the applied states of the log, in order, on the replica's thread.
class ledger_listener
{
public:
    virtual ~ledger_listener() = default;
    virtual void onLedger(const ledger_state &state) = 0;
    /// Stored records are damaged and are being set aside; the disk joins the log under a new identity.
    virtual void onRecordsDamaged(std::error_code why) = 0;
    /// The disk failed, and the replica takes part in nothing until it can write to the disk again; or the records have the format of a newer
    /// release (unsupportedFormat), and the replica stays stopped until the process restarts.
    virtual void onStopped(std::error_code why) = 0;
    /// The replica has recovered its records after `onStopped`, and takes part in the log again.
    virtual void onRecovered() = 0;
    /// The role, the term or the known leader of the replica changed.
    virtual void onRoleChanged(const replica_view &view) = 0;
    /// The disk took `time` to store what a reply to other replicas waits for, long enough to delay elections.
    virtual void onSlowDisk(milliseconds time) = 0;
};

struct replica_node_options {
    host_name host;
    std::string address;
    std::vector<bootstrap_voter> bootstrap;
    // Target number of voters; 0: the number of hosts in `bootstrap`.
    std::size_t targetVoters = 0;
    // False when the log has been formed before: an empty disk then only joins it and never forms a new one.
    bool mayBootstrap = true;
    milliseconds electionTimeout {600};
    milliseconds heartbeat {100};
    // The log is compacted once it holds this many applied entries.
    std::size_t snapshotEntries = 1024;
    // The log is compacted too once its entries take this much memory or disk, in bytes.
    std::size_t maxLogBytes = std::size_t {16} * 1024 * 1024;
};

/// One replica without its thread. Connects core, ledger, store and formation, and carries out the core's output in the order
/// that durability requires: persist and fsync, then send, then apply. Single-threaded.
class replica_engine
{
public:
    using submit_done = std::function<void(const submit_result &)>;
    /// Passes replies to formation requests back to the engine's thread, where `onFormReply` must be called. Called from any thread.
    using form_reply_handler = std::function<void(const form_reply &)>;

    replica_engine(replica_node_options options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
                   random_source &random, form_reply_handler formReplyHandler);

    /// Recovers the replica from disk. Sets damaged records aside. When the disk fails, here or later, the replica drops what it has in memory,
    /// and `tick` recovers it from disk again, as after a crash.
    void load();
    void tick();
    void receive(const replica_message &message);
    void onFormReply(const form_reply &reply);
    /// Returns the reply to a formation request; empty when the replica has stopped.
    [[nodiscard]] std::optional<form_reply> onFormRequest(const form_request &request);
    /// Proposes an entry. `done` is called once: with the result of applying the entry, notLeader, configBusy, or notAVoter when there is no
    /// core; noQuorum means that the entry may or may not be accepted.
    void submit(entry_body body, submit_done done);
    /// Asks another voter to take over leadership; no effect on other roles.
    void transferLeadership();
    /// Persists, sends and applies the core's output since the last call, and compacts the log when it has grown long.
    void processOutput();
    /// Completes every pending submit with noQuorum: its acceptance is not confirmed.
    void failPendingSubmits();

    [[nodiscard]] replica_view view() const;
    /// Returns the time at which `tick` must be called next.
    [[nodiscard]] steady_time wakeTime() const;
    [[nodiscard]] const rule_ledger &ledger() const
    {
        return m_ledger;
    }
    /// Returns null before the replica has a configuration and after it has stopped.
    [[nodiscard]] const replica_core *core() const
    {
        return m_core.get();
    }

private:
    // A submit whose entry is not applied yet.
    struct pending_submit {
        log_term term = 0;
        submit_done done;
    };

    result<replica_image> recoverDisk();
    result<replica_image> readDisk();
    void publishCommitted(const replica_image &image);
    void startCoreIfFormed();
    void startCore(replica_image image);
    bool persist(const replica_output &output);
    bool persistTimed(const replica_output &output);
    void reportRole();
    bool apply(const replica_output &output);
    void compactIfNeeded();
    void stopOnStorageError(std::error_code why);
    void rejoinIfRemoved(steady_time now);

    replica_node_options m_options;
    replica_store &m_store;
    replica_transport &m_transport;
    ledger_listener &m_listener;
    clock_source &m_clock;
    random_source &m_random;
    form_reply_handler m_formReplyHandler;
    replica_id m_self;
    hard_state m_hardState;
    std::unique_ptr<replica_core> m_core;
    std::unique_ptr<formation> m_formation;
    voter_repair m_repair;
    rule_ledger m_ledger;
    // Bytes of the entries on disk, replaced ones included.
    std::size_t m_logBytes = 0;
    std::multimap<log_index, pending_submit> m_pendingSubmits;
    replica_role m_lastRole = replica_role::absent;
    // When a leader was last known, and when the next request to rejoin the log is due.
    steady_time m_leaderLastKnown {};
    steady_time m_nextRejoin {};
    // True when the disk was empty at some time since the start of the process.
    bool m_wasNewDisk = false;
    bool m_stopped = false;
    // When the next recovery of a stopped replica is due; empty when it stays stopped.
    std::optional<steady_time> m_nextRecovery;
    // The configuration that was last known, also while the replica is stopped.
    replica_config m_lastConfig;
    // What the listener was last told.
    replica_view m_reported;
};

} // namespace hornbeampick
