#include "node/announcement_keeper.h"

#include "observe/log.h"

namespace hornbeampick
{

namespace
{

// Changes of this time are saved together: a start of all upstreams costs a few writes.
constexpr milliseconds gatherTime {250};
// After a failure, and how late a waiter may learn that it waited in vain.
constexpr milliseconds retryPause {200};

} // namespace

announcement_keeper::announcement_keeper(announcement_log &log, announcement_store &store, clock_source &clock)
    : m_log(log)
    , m_store(store)
    , m_clock(clock)
{
}

announcement_keeper::~announcement_keeper()
{
    {
        const std::lock_guard guard(m_lock);
        m_stopped = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    for (const auto &each : m_waiters) {
        each.done(false);
    }
}

void announcement_keeper::start()
{
    const auto known = m_store.load();
    if (known) {
        m_log.restore(known.value(), m_clock.now());
        m_saved = m_log.position();
        logEvent(log_level::info, "announcements-restored", {{"upstreams", static_cast<std::int64_t>(known.value().size())}});
    } else {
        logEvent(log_level::error, "announcements-unreadable", {errorField(known.error())});
    }
    m_thread = std::thread([this] { run(); });
}

void announcement_keeper::wake()
{
    // The thread may be between its look at the position and its wait.
    const std::lock_guard guard(m_lock);
    m_wake.notify_all();
}

void announcement_keeper::confirm(std::uint64_t position, steady_time latest, std::function<void(bool)> done)
{
    {
        const std::lock_guard guard(m_lock);
        if (m_saved < position && !m_stopped) {
            m_waiters.push_back({.position = position, .latest = latest, .done = std::move(done)});
            m_wake.notify_all();
            return;
        }
    }
    done(true);
}

std::vector<std::pair<announcement_keeper::waiter, bool>> announcement_keeper::takeAnswered(std::uint64_t saved)
{
    std::vector<std::pair<waiter, bool>> answered;
    const auto now = m_clock.now();
    const std::lock_guard guard(m_lock);
    m_saved = std::max(m_saved, saved);
    std::erase_if(m_waiters, [&](waiter &each) {
        const bool kept = each.position <= m_saved;
        if (!kept && now < each.latest) {
            return false;
        }
        answered.emplace_back(std::move(each), kept);
        return true;
    });
    return answered;
}

void announcement_keeper::run()
{
    std::uint64_t saved = m_saved;
    bool failed = false;
    while (true) {
        {
            std::unique_lock guard(m_lock);
            const auto due = [&] { return m_stopped || !m_waiters.empty() || m_log.position() != saved; };
            m_wake.wait(guard, due);
            if (!m_stopped && m_waiters.empty()) {
                m_wake.wait_for(guard, gatherTime, [this] { return m_stopped || !m_waiters.empty(); });
            }
            if (failed) {
                m_wake.wait_for(guard, retryPause, [this] { return m_stopped; });
            }
            if (m_stopped) {
                return;
            }
        }
        const auto position = m_log.position();
        const auto written = m_store.save(m_log.changedAfter(0, m_clock.now()));
        if (!written) {
            logBounded(log_level::error, "announcements-not-saved", {errorField(written.error())});
        }
        failed = !written;
        saved = written ? position : saved;
        for (const auto &[each, kept] : takeAnswered(saved)) {
            each.done(kept);
        }
    }
}

} // namespace hornbeampick
