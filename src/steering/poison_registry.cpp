#include "steering/poison_registry.h"

#include <algorithm>

namespace hornbeampick
{

poison_registry::poison_registry(const poison_options &options)
    : m_options(options)
{
}

bool poison_registry::report(const upstream_death &death, steady_time now)
{
    return m_suspects.with(death.request.low, [&](suspects &all) {
        auto &known = all[death.request];
        const bool seen = std::ranges::any_of(
            known.deaths, [&](const upstream_death &each) { return each.instance == death.instance && each.incarnation == death.incarnation; });
        if (seen) {
            return false;
        }
        known.deaths.push_back(death);
        known.lastDeath = now;
        return true;
    });
}

bool poison_registry::isQuarantined(const digest &request, steady_time now) const
{
    return m_suspects.with(request.low, [&](const suspects &all) {
        const auto found = all.find(request);
        return found != all.end() && inQuarantine(found->second, now);
    });
}

bool poison_registry::begin(const digest &request, steady_time now)
{
    return m_suspects.with(request.low, [&](suspects &all) {
        const auto found = all.find(request);
        if (found == all.end()) {
            return true;
        }
        auto &known = found->second;
        if (known.running || inQuarantine(known, now)) {
            return false;
        }
        known.running = true;
        return true;
    });
}

void poison_registry::end(const digest &request)
{
    m_suspects.with(request.low, [&](suspects &all) {
        const auto found = all.find(request);
        if (found != all.end()) {
            found->second.running = false;
        }
    });
}

void poison_registry::tick(steady_time now)
{
    m_suspects.forEach([&](suspects &all) {
        std::erase_if(all, [&](const auto &item) { return !item.second.running && now >= item.second.lastDeath + m_options.quarantine; });
    });
}

std::size_t poison_registry::size() const
{
    std::size_t total = 0;
    m_suspects.forEach([&](const suspects &all) { total += all.size(); });
    return total;
}

bool poison_registry::inQuarantine(const suspect &known, steady_time now) const
{
    return known.deaths.size() >= m_options.deathsToQuarantine && now < known.lastDeath + m_options.quarantine;
}

} // namespace hornbeampick
