#include "fleet/announcement_log.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Announced cold times that differ by less are the same: reports are some milliseconds old.
constexpr milliseconds coldTolerance {300};
// Deaths are few; entry hosts that watch all along learn each of them.
constexpr std::size_t deathsKept = 64;

} // namespace

announcement_log::announcement_log(const announcement_log_options &options)
    : m_options(options)
{
}

std::uint64_t announcement_log::report(const upstream_report &heard, steady_time now)
{
    const std::lock_guard guard(m_lock);
    if (heard.leftAt != 0) {
        return takeFarewell(heard, now);
    }
    if (addressIsTaken(heard)) {
        return m_position;
    }
    auto &known = m_records[heard.instance];
    const bool isNew = known.position == 0;
    if (!isNew && !supersedes(heard, known.report)) {
        return known.position;
    }
    retireFormerHolders(heard);
    const bool news = isNew || tellsNews(known, heard, now);
    const auto leftAt = known.report.leftAt;
    if (heard.address.empty() && heard.incarnation == known.report.incarnation) {
        // A farewell says no more than the life that ends.
        known.report.state = heard.state;
    } else {
        known.report = heard;
    }
    known.report.silent = false;
    // A life that began before the farewell may be the one that left; entry hosts know which they had.
    known.report.leftAt = heard.incarnation <= static_cast<std::uint64_t>(leftAt) ? leftAt : 0;
    known.heardAt = now;
    if (news) {
        known.coldUntil = now + heard.warmupLeft;
        known.position = ++m_position;
    }
    return known.position;
}

void announcement_log::restore(std::span<const upstream_report> known, steady_time now)
{
    const std::lock_guard guard(m_lock);
    for (const auto &report : known) {
        m_records[report.instance] = {.report = report, .heardAt = now, .coldUntil = now + report.warmupLeft, .position = ++m_position};
    }
}

// Some upstreams leave without naming their life, and to a host that never heard of them.
std::uint64_t announcement_log::takeFarewell(const upstream_report &heard, steady_time now)
{
    auto &known = m_records[heard.instance];
    known.heardAt = now;
    if (known.report.leftAt != 0) {
        return known.position;
    }
    if (known.position == 0) {
        known.report = heard;
    }
    known.report.state = upstream_state::gone;
    known.report.leftAt = heard.leftAt;
    known.position = ++m_position;
    return known.position;
}

bool announcement_log::expire(steady_time now)
{
    const std::lock_guard guard(m_lock);
    const auto before = m_position;
    for (auto &[instance, known] : m_records) {
        const bool lost = known.report.state != upstream_state::gone && !known.report.silent && now >= known.heardAt + m_options.silentAfter;
        if (lost) {
            known.report.silent = true;
            known.position = ++m_position;
        }
    }
    std::erase_if(m_records, [&](const auto &item) {
        const bool over = item.second.report.state == upstream_state::gone || item.second.report.silent;
        return over && now >= item.second.heardAt + m_options.tombstoneFor;
    });
    return m_position != before;
}

bool announcement_log::reportDeath(const upstream_death &death)
{
    const std::lock_guard guard(m_lock);
    if (std::ranges::find(m_deaths, death, &numbered_death::death) != m_deaths.end()) {
        return false;
    }
    if (m_deaths.size() >= deathsKept) {
        m_deaths.erase(m_deaths.begin());
    }
    m_deaths.push_back({.death = death, .position = ++m_position});
    return true;
}

std::vector<upstream_death> announcement_log::deathsAfter(std::uint64_t position) const
{
    std::vector<upstream_death> deaths;
    const std::lock_guard guard(m_lock);
    for (const auto &each : m_deaths) {
        if (each.position > position) {
            deaths.push_back(each.death);
        }
    }
    return deaths;
}

std::uint64_t announcement_log::position() const
{
    const std::lock_guard guard(m_lock);
    return m_position;
}

std::vector<upstream_report> announcement_log::changedAfter(std::uint64_t position, steady_time now) const
{
    std::vector<upstream_report> changed;
    const std::lock_guard guard(m_lock);
    for (const auto &[instance, known] : m_records) {
        if (known.position > position) {
            changed.push_back(known.report);
            changed.back().warmupLeft = std::max(milliseconds(0), std::chrono::ceil<milliseconds>(known.coldUntil - now));
        }
    }
    return changed;
}

// A report of an earlier life at an address that a later one has taken over.
bool announcement_log::addressIsTaken(const upstream_report &heard) const
{
    return !heard.address.empty() && std::ranges::any_of(m_records, [&](const auto &item) {
        const auto &known = item.second.report;
        return known.address == heard.address && known.instance != heard.instance && known.incarnation > heard.incarnation;
    });
}

void announcement_log::retireFormerHolders(const upstream_report &heard)
{
    for (auto &[instance, known] : m_records) {
        const bool former
            = !heard.address.empty() && known.report.address == heard.address && instance != heard.instance && known.report.incarnation < heard.incarnation;
        if (former && known.report.state != upstream_state::gone) {
            known.report.state = upstream_state::gone;
            known.position = ++m_position;
        }
    }
}

bool announcement_log::tellsNews(const record &known, const upstream_report &heard, steady_time now)
{
    auto before = known.report;
    auto after = heard;
    before.reportedAt = after.reportedAt = 0;
    before.inFlight = after.inFlight = 0;
    before.warmupLeft = after.warmupLeft = milliseconds(0);
    const auto coldUntil = now + heard.warmupLeft;
    const bool coldAgain = heard.warmupLeft > milliseconds(0) && coldUntil > known.coldUntil + coldTolerance;
    return coldAgain || before != after;
}

} // namespace hornbeampick
