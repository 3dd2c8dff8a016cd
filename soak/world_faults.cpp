// What the soak does to its world.

#include "fault_block.h"
#include "world.h"

#include <csignal>
#include <cstddef>
#include <fstream>

namespace hornbeampick::soak
{

namespace
{

// The users' grace of 6 s, and a moment to see the end.
constexpr milliseconds stopGrace {7000};
constexpr milliseconds endStep {20};
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

testing::fault_proxy &world::linkTo(const std::string &name)
{
    const auto found = m_upstreams.find(name);
    return found != m_upstreams.end() ? *found->second->link : m_fleet.proxyOf(std::stoul(name.substr(name.find('-') + 1)));
}

void world::kill(const std::string &host)
{
    if (m_fleet.runs(host)) {
        m_fleet.kill(host);
    }
    m_askedToStop.erase(host);
}

void world::start(const std::string &host)
{
    if (const auto asked = m_askedToStop.find(host); asked != m_askedToStop.end()) {
        const auto latest = asked->second + stopGrace;
        while (m_fleet.runs(host) && now() < latest) {
            std::this_thread::sleep_for(endStep);
        }
        if (m_fleet.runs(host)) {
            m_stuck.push_back(host);
        }
        m_askedToStop.erase(asked);
    }
    m_fleet.start(host);
}

void world::pause(const std::string &host)
{
    m_fleet.signal(host, SIGSTOP);
}

void world::resume(const std::string &host)
{
    m_fleet.signal(host, SIGCONT);
}

void world::stop(const std::string &host)
{
    m_askedToStop[host] = now();
    m_fleet.signal(host, SIGTERM);
}

void world::reload(const std::string &host)
{
    m_fleet.signal(host, SIGHUP);
}

void world::emptyDisk(const std::string &host)
{
    m_fleet.removeData(host);
}

void world::slowDisk(const std::string &host, milliseconds delay)
{
    writeFault(m_fleet.faultFileOf(host), offsetof(fault_block, syncDelayMs), delay.count());
}

void world::fillDisk(const std::string &host, bool full)
{
    writeFault(m_fleet.faultFileOf(host), offsetof(fault_block, diskFull), full ? 1 : 0);
}

void world::stepClock(const std::string &host, milliseconds ahead)
{
    writeFault(m_fleet.faultFileOf(host), offsetof(fault_block, clockAheadMs), ahead.count());
}

void world::cutLink(const std::string &to, bool fromClient, bool toClient)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).cut(fromClient, toClient);
}

void world::silenceLink(const std::string &to, bool silent)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).freeze(silent);
}

void world::delayLink(const std::string &to, milliseconds time)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).delay(time);
}

void world::resetLink(const std::string &to)
{
    const std::lock_guard guard(m_lock);
    linkTo(to).resetAll();
}

void world::crashUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    auto &each = *m_upstreams.at(upstream);
    each.crashed = true;
    each.server->close();
    each.link->resetAll();
}

void world::restartUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    auto &each = *m_upstreams.at(upstream);
    if (each.leaving) {
        // It comes back when it is admitted.
        return;
    }
    each.crashed = false;
    ++each.incarnation;
    startServer(each);
}

void world::retireUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    m_upstreams.at(upstream)->leaving = true;
}

void world::admitUpstream(const std::string &upstream)
{
    const std::lock_guard guard(m_lock);
    auto &each = *m_upstreams.at(upstream);
    if (each.leftAt != never) {
        m_recorder.noteLeaving({.instance = upstream, .acknowledgedAt = each.leftAt, .until = now()});
    }
    each.leaving = false;
    each.leftAt = never;
    each.crashed = false;
    ++each.incarnation;
    startServer(each);
}

void world::swapAddresses(const std::string &first, const std::string &second)
{
    const std::lock_guard guard(m_lock);
    auto &a = *m_upstreams.at(first);
    auto &b = *m_upstreams.at(second);
    std::swap(a.link, b.link);
    for (auto *each : {&a, &b}) {
        each->link->resetAll();
        // One that has crashed takes its address when it is started again.
        if (!each->crashed) {
            ++each->incarnation;
            each->link->setTarget(each->server->address());
        }
    }
}

} // namespace hornbeampick::soak
