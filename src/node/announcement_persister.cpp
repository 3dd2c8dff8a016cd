#include "node/announcement_persister.h"

#include "node_common.h"
#include "observe/log.h"

namespace hornbeampick
{

namespace
{

// Changes within this time are saved in one write, so that a start of all upstreams costs only a few writes.
constexpr milliseconds batchDelay {250};
// Delay before retrying a failed save. A waiter may learn this late that its deadline has passed.
constexpr milliseconds retryDelay {200};

} // namespace

announcement_persister::announcement_persister(announcement_log &log, announcement_store &store, clock_source &clock)
    : m_log(log)
    , m_store(store)
    , m_clock(clock)
{
}

announcement_persister::~announcement_persister()
{
    {
        const std::lock_guard guard(m_lock);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    for (const auto &each : m_waiters) {
        each.done(false);
    }
}

void announcement_persister::start()
{
    const auto loaded = m_store.load();
    if (loaded) {
        const auto usable = usableReports(loaded.value(), "file", m_clock.wallNow());
        m_log.restore(usable, m_clock.now());
        m_saved = m_log.position();
        logEvent(log_level::info, "announcements-restored", {{"upstreams", static_cast<std::int64_t>(usable.size())}});
    } else {
        logEvent(log_level::error, "announcements-unreadable", {errorField(loaded.error())});
    }
    m_thread = std::thread([this] { run(); });
}

void announcement_persister::notifyChanged()
{
    // Without the lock, the thread could miss the notification between its check of the position and its wait.
    const std::lock_guard guard(m_lock);
    m_changed.notify_all();
}

void announcement_persister::awaitSaved(std::uint64_t position, steady_time deadline, std::function<void(bool)> done)
{
    bool isSaved = false;
    {
        const std::lock_guard guard(m_lock);
        isSaved = position <= m_saved;
        if (!isSaved && !m_stopping) {
            m_waiters.push_back({.position = position, .deadline = deadline, .done = std::move(done)});
            m_changed.notify_all();
            return;
        }
    }
    done(isSaved);
}

std::vector<std::pair<announcement_persister::waiter, bool>> announcement_persister::takeCompleted(std::uint64_t saved)
{
    std::vector<std::pair<waiter, bool>> completed;
    const auto now = m_clock.now();
    const std::lock_guard guard(m_lock);
    m_saved = std::max(m_saved, saved);
    std::erase_if(m_waiters, [&](waiter &each) {
        const bool isSaved = each.position <= m_saved;
        if (!isSaved && now < each.deadline) {
            return false;
        }
        completed.emplace_back(std::move(each), isSaved);
        return true;
    });
    return completed;
}

void announcement_persister::run()
{
    std::uint64_t saved = m_saved;
    bool failed = false;
    while (true) {
        {
            std::unique_lock guard(m_lock);
            const auto hasWork = [&] { return m_stopping || !m_waiters.empty() || m_log.position() != saved; };
            m_changed.wait(guard, hasWork);
            if (!m_stopping && m_waiters.empty()) {
                m_changed.wait_for(guard, batchDelay, [this] { return m_stopping || !m_waiters.empty(); });
            }
            if (failed) {
                m_changed.wait_for(guard, retryDelay, [this] { return m_stopping; });
            }
            if (m_stopping) {
                return;
            }
        }
        const auto position = m_log.position();
        const auto written = m_store.save(m_log.changedAfter(0, m_clock.now()));
        if (!written) {
            logRateLimited(log_level::error, "announcements-not-saved", {errorField(written.error())});
        }
        failed = !written;
        saved = written ? position : saved;
        for (const auto &[each, isSaved] : takeCompleted(saved)) {
            each.done(isSaved);
        }
    }
}

} // namespace hornbeampick
