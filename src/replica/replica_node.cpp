#include "replica/replica_node.h"

#include "core/overloaded.h"

#include <utility>

namespace hornbeampick
{

replica_node::replica_node(const replica_node_options &options, replica_store &store, replica_transport &transport, ledger_listener &listener,
                           clock_source &clock, random_source &random)
    : m_engine(options, store, transport, listener, clock, random, [this](const form_reply &reply) { push(reply); })
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
    // The thread closes the inbox itself, unless it was never started.
    closeInbox();
}

void replica_node::receive(replica_message message)
{
    push(std::move(message));
}

void replica_node::receiveForm(form_request request, std::function<void(const form_reply &)> done)
{
    push(form_call {.request = std::move(request), .done = std::move(done)});
}

void replica_node::submit(entry_body body, submit_done done)
{
    push(submit_call {.body = std::move(body), .done = std::move(done)});
}

replica_view replica_node::view() const
{
    const std::lock_guard guard(m_lock);
    return m_view;
}

void replica_node::run()
{
    m_engine.load();
    publishView();
    bool running = true;
    while (running) {
        std::deque<work_item> items;
        {
            std::unique_lock guard(m_lock);
            m_wake.wait_until(guard, m_engine.wakeTime(), [this] { return m_stopping || !m_inbox.empty(); });
            items.swap(m_inbox);
            running = !m_stopping;
        }
        for (auto &item : items) {
            handle(item);
        }
        m_engine.tick();
        m_engine.processOutput();
        publishView();
    }
    m_engine.transferLeadership();
    m_engine.processOutput();
    m_engine.failPendingSubmits();
    closeInbox();
}

void replica_node::handle(work_item &item)
{
    std::visit(overloaded {
                   [this](const replica_message &message) { m_engine.receive(message); },
                   [this](form_call &call) {
                       if (const auto reply = m_engine.onFormRequest(call.request)) {
                           call.done(*reply);
                       } else {
                           call.done({});
                       }
                   },
                   [this](submit_call &call) { m_engine.submit(std::move(call.body), std::move(call.done)); },
                   [this](const form_reply &reply) { m_engine.onFormReply(reply); },
               },
               item);
}

void replica_node::refuse(work_item &item)
{
    if (auto *formCall = std::get_if<form_call>(&item)) {
        formCall->done({});
    } else if (auto *submitCall = std::get_if<submit_call>(&item)) {
        submitCall->done({.error = errc::notLeader, .version = 0, .winner = {}, .winnerOperator = {}});
    }
}

void replica_node::closeInbox()
{
    std::deque<work_item> left;
    {
        const std::lock_guard guard(m_lock);
        m_inboxClosed = true;
        left.swap(m_inbox);
    }
    for (auto &item : left) {
        refuse(item);
    }
}

void replica_node::push(work_item item)
{
    {
        const std::lock_guard guard(m_lock);
        if (!m_inboxClosed) {
            m_inbox.push_back(std::move(item));
            m_wake.notify_all();
            return;
        }
    }
    refuse(item);
}

void replica_node::publishView()
{
    const std::lock_guard guard(m_lock);
    m_view = m_engine.view();
}

} // namespace hornbeampick
