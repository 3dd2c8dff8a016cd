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

/// Saves the announcements that a control host heard, by a thread of its own: a slow disk holds up nothing else.
///
/// After a loss of power, entry hosts then place work on the same upstreams as before at once; by announcements alone the
/// list fills over a whole interval, and objects go where they are cold.
class announcement_keeper
{
public:
    announcement_keeper(announcement_log &log, announcement_store &store, clock_source &clock);
    ~announcement_keeper();
    announcement_keeper(const announcement_keeper &) = delete;
    announcement_keeper &operator=(const announcement_keeper &) = delete;

    /// Takes in what was saved, and starts to save. Announcements that cannot be read are logged and done without.
    void start();
    /// Something changed.
    void wake();
    /// Calls `done` once all up to `position` is saved, or with false when that failed or is not so in time.
    void confirm(std::uint64_t position, steady_time latest, std::function<void(bool)> done);

private:
    struct waiter {
        std::uint64_t position = 0;
        steady_time latest {};
        std::function<void(bool)> done;
    };

    void run();
    // Takes the waiters that a save up to `saved` answers, and those that are too late.
    std::vector<std::pair<waiter, bool>> takeAnswered(std::uint64_t saved);

    announcement_log &m_log;
    announcement_store &m_store;
    clock_source &m_clock;
    std::mutex m_lock;
    std::condition_variable m_wake;
    // Guarded by m_lock.
    std::vector<waiter> m_waiters;
    std::uint64_t m_saved = 0;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace hornbeampick
