#pragma once

#include "replica/replica_engine.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <variant>

namespace hornbeampick
{

/// Runs a replica engine on a thread of its own; other threads hand it work through an inbox under a lock.
class replica_node
{
public:
    using submit_done = replica_engine::submit_done;

    /// What is passed by reference must outlive the node.
    replica_node(const replica_node_options &options, replica_store &store, replica_transport &transport, ledger_listener &listener, clock_source &clock,
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
    using work = std::variant<replica_message, form_call, submit_call, form_reply>;

    void run();
    void handle(work &item);
    void push(work item);
    void publishView();

    // Owned by the thread.
    replica_engine m_engine;

    // Guarded by m_lock.
    mutable std::mutex m_lock;
    std::condition_variable m_wake;
    std::deque<work> m_inbox;
    bool m_stopping = false;
    replica_view m_view;

    std::thread m_thread;
};

} // namespace hornbeampick
