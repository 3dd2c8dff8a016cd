// Implements the fault injection of the soak test.

#include "fault_block.h"
#include "soak_environment.h"

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <fstream>

namespace hornbeampick::soak
{

namespace
{

// The users' stop grace period of 6 s, plus time to observe the exit.
constexpr milliseconds stopTimeout {7000};
constexpr steady_time never = steady_time::max();

steady_time now()
{
    return std::chrono::steady_clock::now();
}

void writeFault(const std::filesystem::path &file, std::size_t offset, std::int64_t value)
{
    std::fstream out(file, std::ios::binary | std::ios::in | std::ios::out);
    out.seekp(static_cast<std::streamoff>(offset));
    out.write(reinterpret_cast<const char *>(&value), sizeof value);
}

} // namespace

testing::fault_proxy &soak_environment::linkTo(const std::string &name)
{
    const auto found = m_upstreamLinks.find(name);
    return found != m_upstreamLinks.end() ? *found->second : m_fleet.proxyOf(std::stoul(name.substr(name.find('-') + 1)));
}

void soak_environment::kill(const std::string &host)
{
    if (m_fleet.isRunning(host)) {
        m_fleet.kill(host);
    }
    m_stops.erase(host);
}

void soak_environment::start(const std::string &host)
{
    if (const auto stop = m_stops.find(host); stop != m_stops.end()) {
        --stop->second.open;
        return;
    }
    m_fleet.start(host);
}

void soak_environment::restartStopped()
{
    std::erase_if(m_stops, [this](const auto &entry) {
        const auto &[host, stop] = entry;
        const bool running = m_fleet.isRunning(host);
        if (stop.open > 0 || (running && now() < stop.exitUntil)) {
            return false;
        }
        if (running) {
            // A control host of the former build may hang when a call arrives while it stops.
            if (!runsFormer(host)) {
                m_notStopped.push_back(host);
            }
            m_fleet.kill(host);
        }
        m_fleet.start(host);
        m_recorder.recordFaultInterval({.host = host, .from = stop.requestedAt, .to = now(), .planned = true});
        return true;
    });
}

void soak_environment::pause(const std::string &host)
{
    m_fleet.signal(host, SIGSTOP);
    if (const auto stop = m_stops.find(host); stop != m_stops.end()) {
        stop->second.exitUntil = never;
    }
}

void soak_environment::resume(const std::string &host)
{
    m_fleet.signal(host, SIGCONT);
    if (const auto stop = m_stops.find(host); stop != m_stops.end()) {
        stop->second.exitUntil = now() + stopTimeout;
    }
}

void soak_environment::stop(const std::string &host)
{
    const auto at = now();
    // A second request during a stop changes nothing for the host.
    const auto [stop, isFirst] = m_stops.try_emplace(host, stop_in_progress {.requestedAt = at, .exitUntil = at + stopTimeout});
    ++stop->second.open;
    if (isFirst) {
        m_recorder.recordSignal({.host = host, .at = at, .stops = true, .toFormer = runsFormer(host)});
    }
    m_fleet.signal(host, SIGTERM);
}

void soak_environment::reload(const std::string &host)
{
    m_recorder.recordSignal({.host = host, .at = now(), .toFormer = runsFormer(host)});
    m_fleet.signal(host, SIGHUP);
}

void soak_environment::setBuild(const std::string &host, build next)
{
    const bool isFormer = next == build::former || m_options.keepsFormer;
    m_fleet.setProgram(host, isFormer ? m_options.formerProgram : std::string {});
}

bool soak_environment::runsFormer(const std::string &host) const
{
    return !m_options.formerProgram.empty() && m_fleet.programOf(host) == m_options.formerProgram;
}

bool soak_environment::anyRunsFormer() const
{
    const auto names = targets();
    const auto isFormer = [this](const std::string &host) { return runsFormer(host); };
    return std::ranges::any_of(names.controlHosts, isFormer) || std::ranges::any_of(names.entryHosts, isFormer);
}

void soak_environment::changeRoutes()
{
    ++m_changesRequested;
}

void soak_environment::emptyDisk(const std::string &host)
{
    m_fleet.removeData(host);
}

void soak_environment::slowDisk(const std::string &host, milliseconds delay)
{
    writeFault(m_fleet.faultFileOf(host), offsetof(fault_block, syncDelayMs), delay.count());
}

void soak_environment::fillDisk(const std::string &host, bool full)
{
    writeFault(m_fleet.faultFileOf(host), offsetof(fault_block, diskFull), full ? 1 : 0);
}

void soak_environment::stepClock(const std::string &host, milliseconds ahead)
{
    writeFault(m_fleet.faultFileOf(host), offsetof(fault_block, clockAheadMs), ahead.count());
}

void soak_environment::loseUpstreams(const std::string &host, bool lost)
{
    writeFault(m_fleet.faultFileOf(host), offsetof(fault_block, upstreamsUnreachable), lost ? 1 : 0);
    if (lost) {
        m_losses[host] = {.entry = std::stoul(host.substr(host.find('-') + 1)), .from = now(), .besideFormer = anyRunsFormer()};
    } else {
        auto &loss = m_losses.at(host);
        loss.to = now();
        loss.besideFormer = loss.besideFormer || anyRunsFormer();
        m_recorder.recordLoss(loss);
    }
}

void soak_environment::cutLink(const std::string &to, bool fromClient, bool toClient)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).cut(fromClient, toClient);
}

void soak_environment::silenceLink(const std::string &to, bool silent)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).freeze(silent);
}

void soak_environment::delayLink(const std::string &to, milliseconds time)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).delay(time);
}

void soak_environment::resetLink(const std::string &to)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).resetAll();
}

void soak_environment::crashUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    auto &each = *m_upstreams.at(upstream);
    each.crashed = true;
    ++each.life;
    each.server->close();
    each.link->resetAll();
}

void soak_environment::restartUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    auto &each = *m_upstreams.at(upstream);
    if (each.leaving) {
        // A deregistered upstream restarts in admitUpstream().
        return;
    }
    each.crashed = false;
    ++each.incarnation;
    startServer(each);
}

void soak_environment::retireUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    m_upstreams.at(upstream)->leaving = true;
}

void soak_environment::admitUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    auto &each = *m_upstreams.at(upstream);
    if (each.deregisteredAt != never) {
        m_recorder.recordDeregistration({.instance = upstream, .acknowledgedAt = each.deregisteredAt, .until = now()});
    }
    each.leaving = false;
    each.deregisteredAt = never;
    each.crashed = false;
    ++each.incarnation;
    startServer(each);
}

void soak_environment::swapAddresses(const std::string &first, const std::string &second)
{
    const std::lock_guard guard(m_lock);
    auto &a = *m_upstreams.at(first);
    auto &b = *m_upstreams.at(second);
    std::swap(a.link, b.link);
    for (auto *each : {&a, &b}) {
        each->link->resetAll();
        // A crashed upstream takes the address when it is restarted.
        if (!each->crashed) {
            ++each->incarnation;
            each->link->setTarget(each->server->address());
        }
    }
}

} // namespace hornbeampick::soak
