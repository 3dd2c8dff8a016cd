#include "fleet/entry_host_list.h"

#include <algorithm>

namespace hornbeampick
{

entry_host_list::entry_host_list(const entry_host_list_options &options)
    : m_options(options)
{
}

void entry_host_list::recordProgress(const entry_host &host, std::uint64_t position, steady_time now)
{
    const std::lock_guard guard(m_lock);
    auto &known = m_records[host.host];
    if (host.incarnation != known.host.incarnation) {
        known.position = 0;
    }
    known.host = host;
    known.position = std::max(known.position, position);
    known.lastQueryAt = now;
}

std::vector<std::string> entry_host_list::addressesFor(const region_name &region, steady_time now) const
{
    std::vector<std::string> inRegion;
    std::vector<std::string> all;
    const std::lock_guard guard(m_lock);
    for (const auto &[name, known] : m_records) {
        if (!known.host.serving || now >= known.lastQueryAt + m_options.absentAfter) {
            continue;
        }
        all.push_back(known.host.address);
        if (known.host.region == region) {
            inRegion.push_back(known.host.address);
        }
    }
    return inRegion.empty() ? all : inRegion;
}

bool entry_host_list::allCaughtUp(std::uint64_t position, required_hosts required, steady_time now) const
{
    const std::lock_guard guard(m_lock);
    std::size_t present = 0;
    for (const auto &[name, known] : m_records) {
        if (now >= known.lastQueryAt + m_options.absentAfter) {
            if (required == required_hosts::includingAbsent) {
                return false;
            }
            continue;
        }
        ++present;
        if (known.position < position) {
            return false;
        }
    }
    return present > 0;
}

std::uint32_t entry_host_list::count() const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::uint32_t>(m_records.size());
}

std::uint32_t entry_host_list::countIn(const region_name &region) const
{
    const std::lock_guard guard(m_lock);
    return static_cast<std::uint32_t>(std::ranges::count_if(m_records, [&](const auto &item) { return item.second.host.region == region; }));
}

void entry_host_list::expire(steady_time now)
{
    const std::lock_guard guard(m_lock);
    std::erase_if(m_records, [&](const auto &item) { return now >= item.second.lastQueryAt + m_options.removedAfter; });
}

} // namespace hornbeampick
