#pragma once

#include "replica/replica_engine.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <variant>

namespace hornbeampick
{

/// Runs a replica engine on its own thread; other threads pass it work through a queue under a lock. Thread-safe.
class replica_node
{
public:
    using submit_done = replica_engine::submit_done;

    /// Arguments passed by reference must outlive the node.
    replica_node(const replica_node_options &options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
                 random_source &random);
    ~replica_node();
    replica_node(const replica_node &) = delete;
    replica_node &operator=(const replica_node &) = delete;

    void start();
    /// Transfers leadership when this replica leads, completes pending submits with noQuorum and joins the thread.
    void stop();

    void receive(replica_message message);
    /// `done` is called once, from the replica's thread; after the node has stopped, from the caller's thread with an empty reply.
    void receiveForm(form_request request, std::function<void(const form_reply &)> done);
    /// `done` is called once, from the replica's thread: with ok, versionConflict, notLeader (certainly not accepted) or noQuorum (acceptance not confirmed).
    /// After the node has stopped, it is called from the caller's thread with notLeader.
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
    using work_item = std::variant<replica_message, form_call, submit_call, form_reply>;

    void run();
    void handle(work_item &item);
    // Completes a call that the engine has not seen.
    static void refuse(work_item &item);
    // Refuses what the inbox holds and everything that arrives later.
    void closeInbox();
    void push(work_item item);
    void publishView();

    // Used by the replica's thread only.
    replica_engine m_engine;

    // Guarded by m_lock.
    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    std::deque<work_item> m_inbox;
    bool m_stopping = false;
    bool m_inboxClosed = false;
    replica_view m_view;

    std::thread m_thread;
};

} // namespace hornbeampick
