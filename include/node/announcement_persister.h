#pragma once

#include "core/clock.h"
#include "fleet/announcement_log.h"
#include "storage/announcement_store.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hornbeampick
{

/// Tells when announcements are durable.
class announcement_saver
{
public:
    announcement_saver() = default;
    virtual ~announcement_saver() = default;
    announcement_saver(const announcement_saver &) = delete;
    announcement_saver &operator=(const announcement_saver &) = delete;

    /// Calls `done(true)` once all changes up to `position` are saved, or `done(false)` when they are not saved by `deadline`, for example
    /// because saving fails, or at destruction.
    virtual void awaitSaved(std::uint64_t position, steady_time deadline, std::function<void(bool)> done) = 0;
};

/// Saves the announcements that a control host has received. Runs on a thread of its own, so that a slow disk delays nothing else.
///
/// Thanks to the saved list, entry hosts send requests to the same upstreams as before immediately after a power failure. Without
/// it the list would fill over a whole announcement interval, and objects would go to upstreams where they are cold.
class announcement_persister final : public announcement_saver
{
public:
    announcement_persister(announcement_log &log, announcement_store &store, clock_source &clock);
    ~announcement_persister() override;
    announcement_persister(const announcement_persister &) = delete;
    announcement_persister &operator=(const announcement_persister &) = delete;

    /// Restores the saved announcements into the log and starts the thread. Logs an error and starts without them when they cannot be read.
    void start();
    /// Wakes the thread after a change of the log.
    void notifyChanged();
    void awaitSaved(std::uint64_t position, steady_time deadline, std::function<void(bool)> done) override;

private:
    struct waiter {
        std::uint64_t position = 0;
        steady_time deadline {};
        std::function<void(bool)> done;
    };

    void run();
    // Removes and returns the waiters whose position is saved, with true, and those whose deadline has passed, with false.
    std::vector<std::pair<waiter, bool>> takeCompleted(std::uint64_t saved);

    announcement_log &m_log;
    announcement_store &m_store;
    clock_source &m_clock;
    std::mutex m_lock;
    std::condition_variable m_changed;
    // Guarded by m_lock.
    std::vector<waiter> m_waiters;
    std::uint64_t m_saved = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace hornbeampick
