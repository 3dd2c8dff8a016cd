#pragma once

#include "core/clock.h"
#include "fleet/entry_host.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hornbeampick
{

struct entry_host_list_options {
    // An entry host that has not asked for this long counts as away. It asks at least twice as often.
    milliseconds awayAfter {1500};
    // It is forgotten after this long: it no longer counts for the shares of limits.
    milliseconds forgottenAfter {15000};
};

/// Which entry hosts must know a change before it counts as known.
enum class required_hosts {
    // Those that have asked lately.
    present,
    // Those as well that are away and not forgotten: they may be cut off from this control host only.
    remembered,
};

/// The entry hosts that watch one control host, and how far each has followed its announcements. Thread-safe.
class entry_host_list
{
public:
    explicit entry_host_list(const entry_host_list_options &options = {});

    /// `host` asked, and knows the announcements up to `position`.
    void note(const entry_host &host, std::uint64_t position, steady_time now);

    /// Addresses for a caller in `region`: serving hosts there; when there are none, all serving hosts.
    [[nodiscard]] std::vector<std::string> addressesFor(const region_name &region, steady_time now) const;
    /// True when every required host knows the announcements up to `position`, and there is one.
    [[nodiscard]] bool allKnow(std::uint64_t position, required_hosts required, steady_time now) const;
    /// Hosts not forgotten yet.
    [[nodiscard]] std::uint32_t count() const;
    [[nodiscard]] std::uint32_t countIn(const region_name &region) const;

    void expire(steady_time now);

private:
    struct record {
        entry_host host;
        std::uint64_t position = 0;
        steady_time askedAt {};
    };

    entry_host_list_options m_options;
    mutable std::mutex m_lock;
    // Guarded by m_lock.
    std::map<host_name, record> m_records;
};

} // namespace hornbeampick
