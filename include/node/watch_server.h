#pragma once

#include "core/published.h"
#include "fleet/announcement_log.h"
#include "fleet/entry_host_list.h"
#include "rpc/control_client.h"

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <optional>

namespace hornbeampick
{

/// Answers the long polls of entry hosts as soon as there is a change they lack, or when their wait is over.
///
/// Also reports when all entry hosts that may serve callers have acknowledged a position of the announcement log. Thread-safe.
class watch_server
{
public:
    using answer_done = std::function<void(const watch_answer &)>;
    using acknowledgement_done = std::function<void(bool)>;

    /// `incarnation` is that of this control host. All references must outlive the server.
    watch_server(std::uint64_t incarnation, announcement_log &announcements, entry_host_list &hosts, clock_source &clock);

    /// Calls `done` when the query has an answer, at the latest after `query.wait`.
    void handle(watch_query query, answer_done done);
    /// Calls `done(true)` once all entry hosts that may serve callers know the announcements up to `position`, or `done(false)` at `deadline`.
    /// See `entry_host_list::allCaughtUp`.
    void awaitAcknowledgement(std::uint64_t position, steady_time deadline, acknowledgement_done done);

    /// Set the latest state of the log and the peer addresses of its members.
    void setState(const ledger_state &state);
    /// Sets the time up to which the state of the log is known to be the newest.
    void setConfirmedAt(steady_time confirmedAt);
    void setControlHosts(std::vector<std::string> addresses);
    /// Sets the peer address of the control host that grants quotas; empty when none is known.
    void setGrantor(const std::string &address);
    /// Completes the queries and acknowledgements that are ready or past their deadline. To be called after a change and every few
    /// milliseconds.
    void completeReady();
    /// Completes everything that is pending, and from then on each new call immediately. Called at shutdown.
    void close();

private:
    struct pending_query {
        watch_query query;
        answer_done done;
        steady_time arrivedAt {};
        steady_time deadline {};
    };
    struct pending_acknowledgement {
        std::uint64_t position = 0;
        acknowledgement_done done;
        steady_time deadline {};
    };

    [[nodiscard]] bool hasChangesFor(const watch_query &query) const;
    [[nodiscard]] watch_answer makeAnswer(const pending_query &pending) const;

    std::uint64_t m_incarnation;
    announcement_log &m_announcements;
    entry_host_list &m_hosts;
    clock_source &m_clock;
    published<ledger_state> m_state;
    published<std::vector<std::string>> m_controlHosts;
    published<std::string> m_grantor;
    std::atomic<steady_time> m_confirmedAt {steady_time {}};

    std::mutex m_lock;
    // Guarded by m_lock.
    bool m_closed = false;
    std::list<pending_query> m_pendingQueries;
    std::list<pending_acknowledgement> m_pendingAcknowledgements;
};

} // namespace hornbeampick
