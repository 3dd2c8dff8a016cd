#pragma once

#include "core/published.h"
#include "fleet/announcement_log.h"
#include "fleet/entry_host_list.h"
#include "rpc/control_client.h"

#include <functional>
#include <list>
#include <mutex>
#include <optional>

namespace hornbeampick
{

/// Answers the questions of entry hosts as soon as something they lack is there, or their wait is over.
///
/// Also tells when all entry hosts know a position of the announcements. Thread-safe.
class watch_desk
{
public:
    using answer_done = std::function<void(const watch_answer &)>;
    using confirm_done = std::function<void(bool)>;

    /// `source` is this control host's incarnation. All passed by reference outlive the desk.
    watch_desk(std::uint64_t source, announcement_log &announcements, entry_host_list &hosts, clock_source &clock);

    void ask(watch_query query, answer_done done);
    /// Calls `done(true)` once all required entry hosts know the announcements up to `position`, or `done(false)` after `wait`.
    void confirm(std::uint64_t position, required_hosts required, milliseconds wait, confirm_done done);

    /// A newer state of the log, and the peer addresses of its members.
    void setState(const ledger_state &state);
    void setControlHosts(std::vector<std::string> addresses);
    /// Answers what can be answered now. Called after a change, and every few milliseconds.
    void serve();
    /// Answers everything at once, and what still comes as it comes, for the end of the process.
    void close();

private:
    struct waiting_query {
        watch_query query;
        answer_done done;
        steady_time until {};
    };
    struct waiting_confirm {
        std::uint64_t position = 0;
        required_hosts required = required_hosts::present;
        confirm_done done;
        steady_time until {};
    };

    [[nodiscard]] bool hasNews(const watch_query &query) const;
    [[nodiscard]] watch_answer answerTo(const watch_query &query) const;

    std::uint64_t m_source;
    announcement_log &m_announcements;
    entry_host_list &m_hosts;
    clock_source &m_clock;
    published<ledger_state> m_state;
    published<std::vector<std::string>> m_controlHosts;

    std::mutex m_lock;
    // Guarded by m_lock.
    bool m_closed = false;
    std::list<waiting_query> m_queries;
    std::list<waiting_confirm> m_confirms;
};

} // namespace hornbeampick
