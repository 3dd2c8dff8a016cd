#include "fault.h"

#include <algorithm>
#include <array>
#include <functional>
#include <random>

namespace hornbeampick::soak
{

namespace
{

using action = std::function<void(fault_injector &)>;

// A fault defined by one action at its start and one at its end.
class simple_fault final : public fault
{
public:
    struct parts {
        std::string_view name;
        std::vector<std::string> hosts;
        action begin;
        action heal;
        std::vector<std::string> upstreams {};
        bool planned = false;
    };

    explicit simple_fault(parts given)
        : m_parts(std::move(given))
    {
    }

    [[nodiscard]] std::string_view name() const override
    {
        return m_parts.name;
    }
    [[nodiscard]] std::vector<std::string> hosts() const override
    {
        return m_parts.hosts;
    }
    [[nodiscard]] std::vector<std::string> upstreams() const override
    {
        return m_parts.upstreams;
    }
    [[nodiscard]] bool isPlanned() const override
    {
        return m_parts.planned;
    }
    void begin(fault_injector &injector) override
    {
        m_parts.begin(injector);
    }
    void heal(fault_injector &injector) override
    {
        m_parts.heal(injector);
    }

private:
    parts m_parts;
};

// Kills several hosts at once, as a power loss does.
class mass_kill final : public fault
{
public:
    explicit mass_kill(std::vector<std::string> hosts)
        : m_hosts(std::move(hosts))
    {
    }

    [[nodiscard]] std::string_view name() const override
    {
        return "mass-kill";
    }
    [[nodiscard]] std::vector<std::string> hosts() const override
    {
        return m_hosts;
    }
    [[nodiscard]] std::vector<std::string> upstreams() const override
    {
        return {};
    }
    [[nodiscard]] bool isPlanned() const override
    {
        return false;
    }
    void begin(fault_injector &injector) override
    {
        for (const auto &host : m_hosts) {
            injector.kill(host);
        }
    }
    void heal(fault_injector &injector) override
    {
        for (const auto &host : m_hosts) {
            injector.start(host);
        }
    }

private:
    std::vector<std::string> m_hosts;
};

struct random_draw {
    std::mt19937_64 engine;

    std::size_t below(std::size_t limit)
    {
        return static_cast<std::size_t>(engine() % limit);
    }
    milliseconds between(milliseconds least, milliseconds most)
    {
        return least + milliseconds(static_cast<std::int64_t>(below(static_cast<std::size_t>((most - least).count()) + 1)));
    }
    const std::string &pick(std::span<const std::string> names)
    {
        return names[below(names.size())];
    }
};

using fault_factory = std::function<std::shared_ptr<fault>(random_draw &, const fault_targets &)>;

std::shared_ptr<fault> makeFault(simple_fault::parts parts)
{
    return std::make_shared<simple_fault>(std::move(parts));
}

const std::string &anyHost(random_draw &draw, const fault_targets &targets)
{
    const auto all = targets.controlHosts.size() + targets.entryHosts.size();
    const auto chosen = draw.below(all);
    return chosen < targets.controlHosts.size() ? targets.controlHosts[chosen] : targets.entryHosts[chosen - targets.controlHosts.size()];
}

// Draws a control host or an upstream; only links to these pass a proxy.
std::string linkEnd(random_draw &draw, const fault_targets &targets)
{
    return draw.below(2) == 0 ? draw.pick(targets.controlHosts) : draw.pick(targets.upstreams);
}

std::shared_ptr<fault> killed(random_draw &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    return makeFault({"kill", {host}, [host](fault_injector &injector) { injector.kill(host); }, [host](fault_injector &injector) { injector.start(host); }});
}

std::shared_ptr<fault> paused(random_draw &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    return makeFault(
        {"pause", {host}, [host](fault_injector &injector) { injector.pause(host); }, [host](fault_injector &injector) { injector.resume(host); }});
}

std::shared_ptr<fault> stopped(random_draw &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    return makeFault({.name = "stop",
                      .hosts = {host},
                      .begin = [host](fault_injector &injector) { injector.stop(host); },
                      .heal = [host](fault_injector &injector) { injector.start(host); },
                      .planned = true});
}

std::shared_ptr<fault> replaced(const std::string &host, build next)
{
    return makeFault({.name = next == build::present ? "replace" : "go-back",
                      .hosts = {host},
                      .begin =
                          [host, next](fault_injector &injector) {
                              injector.setBuild(host, next);
                              injector.stop(host);
                          },
                      .heal = [host](fault_injector &injector) { injector.start(host); },
                      .planned = true});
}

std::shared_ptr<fault> reloaded(random_draw &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    const auto reload = [host](fault_injector &injector) { injector.reload(host); };
    return makeFault({.name = "reload", .begin = reload, .heal = reload, .planned = true});
}

std::shared_ptr<fault> routesChanged(random_draw & /*draw*/, const fault_targets & /*targets*/)
{
    const auto change = [](fault_injector &injector) { injector.changeRoutes(); };
    return makeFault({.name = "routes-changed", .begin = change, .heal = change, .planned = true});
}

std::shared_ptr<fault> slowDisk(random_draw &draw, const fault_targets &targets)
{
    const auto host = draw.pick(targets.controlHosts);
    const auto delay = draw.between(milliseconds(50), milliseconds(600));
    return makeFault({"slow-disk",
                      {host},
                      [host, delay](fault_injector &injector) { injector.slowDisk(host, delay); },
                      [host](fault_injector &injector) { injector.slowDisk(host, milliseconds(0)); }});
}

// Healing only makes room: the host must take part again without a restart.
std::shared_ptr<fault> fullDisk(random_draw &draw, const fault_targets &targets)
{
    const auto host = draw.pick(targets.controlHosts);
    return makeFault({"full-disk",
                      {host},
                      [host](fault_injector &injector) { injector.fillDisk(host, true); },
                      [host](fault_injector &injector) { injector.fillDisk(host, false); }});
}

std::shared_ptr<fault> clockStep(random_draw &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    const auto ahead = draw.between(milliseconds(-6000), milliseconds(6000));
    return makeFault({"clock-step",
                      {host},
                      [host, ahead](fault_injector &injector) { injector.stepClock(host, ahead); },
                      [host](fault_injector &injector) { injector.stepClock(host, milliseconds(0)); }});
}

std::vector<std::string> upstreamsBehind(const std::string &link)
{
    return link.starts_with("control-") ? std::vector<std::string> {} : std::vector {link};
}

std::vector<std::string> hostsBehind(const std::string &link)
{
    return link.starts_with("control-") ? std::vector {link} : std::vector<std::string> {};
}

std::shared_ptr<fault> cut(random_draw &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    const auto ways = draw.below(3);
    return makeFault({"cut", hostsBehind(to), [to, ways](fault_injector &injector) { injector.cutLink(to, ways != 1, ways != 0); },
                      [to](fault_injector &injector) {
                          injector.cutLink(to, false, false);
                          injector.resetLink(to);
                      },
                      upstreamsBehind(to)});
}

std::shared_ptr<fault> silence(random_draw &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    return makeFault({"silence", hostsBehind(to), [to](fault_injector &injector) { injector.silenceLink(to, true); },
                      [to](fault_injector &injector) { injector.silenceLink(to, false); }, upstreamsBehind(to)});
}

std::shared_ptr<fault> delayed(random_draw &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    const auto time = draw.between(milliseconds(20), milliseconds(300));
    return makeFault({"delay", hostsBehind(to), [to, time](fault_injector &injector) { injector.delayLink(to, time); },
                      [to](fault_injector &injector) { injector.delayLink(to, milliseconds(0)); }, upstreamsBehind(to)});
}

std::shared_ptr<fault> resets(random_draw &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    const auto reset = [to](fault_injector &injector) { injector.resetLink(to); };
    return makeFault({"reset", hostsBehind(to), reset, reset, upstreamsBehind(to)});
}

std::shared_ptr<fault> upstreamCrash(random_draw &draw, const fault_targets &targets)
{
    const auto upstream = draw.pick(targets.upstreams);
    return makeFault({"upstream-crash",
                      {},
                      [upstream](fault_injector &injector) { injector.crashUpstream(upstream); },
                      [upstream](fault_injector &injector) { injector.restartUpstream(upstream); },
                      {upstream}});
}

std::shared_ptr<fault> upstreamLeaves(random_draw &draw, const fault_targets &targets)
{
    const auto chosen = draw.pick(targets.upstreams);
    return makeFault({"upstream-leaves",
                      {},
                      [chosen](fault_injector &injector) { injector.retireUpstream(chosen); },
                      [chosen](fault_injector &injector) { injector.admitUpstream(chosen); },
                      {chosen}});
}

std::shared_ptr<fault> addressReuse(random_draw &draw, const fault_targets &targets)
{
    const auto first = draw.below(targets.upstreams.size());
    const auto second = (first + 1) % targets.upstreams.size();
    const auto swap = [a = targets.upstreams[first], b = targets.upstreams[second]](fault_injector &injector) { injector.swapAddresses(a, b); };
    return makeFault({"address-reuse", {}, swap, swap, {targets.upstreams[first], targets.upstreams[second]}});
}

std::shared_ptr<fault> upstreamsLost(random_draw &draw, const fault_targets &targets)
{
    const auto host = draw.pick(targets.entryHosts);
    return makeFault({"upstreams-lost",
                      {host},
                      [host](fault_injector &injector) { injector.loseUpstreams(host, true); },
                      [host](fault_injector &injector) { injector.loseUpstreams(host, false); }});
}

std::shared_ptr<fault> massKill(random_draw &draw, const fault_targets &targets)
{
    switch (draw.below(3)) {
    case 0:
        return std::make_shared<mass_kill>(targets.controlHosts);
    case 1:
        return std::make_shared<mass_kill>(targets.entryHosts);
    default:
        auto all = targets.controlHosts;
        all.insert(all.end(), targets.entryHosts.begin(), targets.entryHosts.end());
        return std::make_shared<mass_kill>(std::move(all));
    }
}

std::shared_ptr<fault> emptiedDisk(random_draw &draw, const fault_targets &targets)
{
    const auto host = draw.pick(targets.controlHosts);
    return makeFault({"emptied-disk",
                      {host},
                      [host](fault_injector &injector) {
                          injector.kill(host);
                          injector.emptyDisk(host);
                      },
                      [host](fault_injector &injector) { injector.start(host); }});
}

// Salts of the seeds from which series of planned work and losses of all upstreams are drawn, so that they leave the other faults of a
// seed as they are.
constexpr std::uint64_t seriesSalt = 0x5e71e5;
constexpr std::uint64_t lostUpstreamsSalt = 0x105705;
constexpr std::uint64_t replacementSalt = 0x4e94ade;
// Time around the loss of a disk in which no other control host may be disturbed, so that no further copies are lost with it.
constexpr milliseconds diskLossMargin {6000};

// Returns true if both faults overlap in time and share a name.
bool overlaps(const planned_fault &a, std::span<const std::string> aNames, const planned_fault &b, std::span<const std::string> bNames)
{
    const bool sameTime = a.at < b.at + b.span && b.at < a.at + a.span;
    return sameTime && std::ranges::any_of(aNames, [&](const std::string &name) { return std::ranges::find(bNames, name) != bNames.end(); });
}

// Returns true if a step of a series must not be added to the plan: it stops a host that another fault affects then, or a control host
// around the loss of a disk.
bool conflictsWith(std::span<const planned_fault> plan, const planned_fault &step)
{
    const auto names = step.what->hosts();
    const bool isControl = !names.empty() && names.front().starts_with("control-");
    return std::ranges::any_of(plan, [&](const planned_fault &other) {
        const bool nearInTime = step.at < other.at + other.span + diskLossMargin && other.at < step.at + step.span + diskLossMargin;
        return overlaps(step, names, other, other.what->hosts()) || (isControl && nearInTime && other.what->name() == "emptied-disk");
    });
}

// Adds times at which an entry host reaches no upstream on new connections.
void addLostUpstreams(std::vector<planned_fault> &plan, const fault_targets &targets, const fault_plan_options &options)
{
    random_draw draw {std::mt19937_64(options.seed ^ lostUpstreamsSalt)};
    milliseconds at {0};
    while (true) {
        at += draw.between(options.lostUpstreamsGap / 4, options.lostUpstreamsGap * 7 / 4);
        if (at >= options.length) {
            return;
        }
        planned_fault next {.at = at, .span = draw.between(milliseconds(2000), milliseconds(6000))};
        next.what = upstreamsLost(draw, targets);
        next.span = std::min(next.span, options.length - next.at);
        if (!conflictsWith(plan, next)) {
            plan.push_back(std::move(next));
        }
    }
}

// Adds series of planned work whose steps overlap.
void addSeries(std::vector<planned_fault> &plan, const fault_targets &targets, const fault_plan_options &options)
{
    const std::array<fault_factory, 5> factories {stopped, stopped, stopped, reloaded, routesChanged};
    constexpr std::size_t minSteps = 2;
    constexpr std::size_t maxFurtherSteps = 4;
    random_draw draw {std::mt19937_64(options.seed ^ seriesSalt)};
    milliseconds seriesAt {0};
    while (true) {
        seriesAt += draw.between(options.seriesGap / 4, options.seriesGap * 7 / 4);
        if (seriesAt >= options.length) {
            return;
        }
        auto at = seriesAt;
        for (auto steps = minSteps + draw.below(maxFurtherSteps + 1); steps > 0 && at < options.length; --steps) {
            planned_fault step {.at = at, .span = draw.between(milliseconds(200), milliseconds(4000))};
            step.what = factories.at(draw.below(factories.size()))(draw, targets);
            step.span = std::min(step.span, options.length - step.at);
            at += draw.between(options.stepGap / 4, options.stepGap * 7 / 4);
            if (!conflictsWith(plan, step)) {
                plan.push_back(std::move(step));
            }
        }
    }
}

// Adds the replacement of every host by the present build, in random order, and takes some hosts back to the former one.
void addReplacements(std::vector<planned_fault> &plan, const fault_targets &targets, const fault_plan_options &options)
{
    constexpr milliseconds postponement {300};
    constexpr std::size_t replacementsPerReturn = 4;
    random_draw draw {std::mt19937_64(options.seed ^ replacementSalt)};
    auto hosts = targets.controlHosts;
    hosts.insert(hosts.end(), targets.entryHosts.begin(), targets.entryHosts.end());
    std::ranges::shuffle(hosts, draw.engine);
    const auto gap = options.length / static_cast<std::int64_t>(hosts.size() + hosts.size() / replacementsPerReturn + 2);
    milliseconds at {0};
    const auto add = [&](const std::string &host, build next) {
        at += draw.between(gap / 2, gap * 3 / 2);
        planned_fault step {.at = at, .span = draw.between(milliseconds(200), milliseconds(1500))};
        step.what = replaced(host, next);
        while (conflictsWith(plan, step)) {
            step.at += postponement;
        }
        // What is postponed beyond the end is left out.
        if (step.at + step.span <= options.length) {
            plan.push_back(std::move(step));
        }
    };
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        add(hosts[i], build::present);
        if (draw.below(replacementsPerReturn) == 0) {
            add(hosts[draw.below(i + 1)], build::former);
        }
    }
}

} // namespace

std::vector<planned_fault> planFaults(const fault_targets &targets, const fault_plan_options &options)
{
    // Entries that occur twice are drawn with twice the probability.
    const std::array<fault_factory, 19> factories {killed, killed, paused,  paused,  stopped, stopped,       reloaded,       slowDisk,     fullDisk, clockStep,
                                                   cut,    cut,    silence, delayed, resets,  upstreamCrash, upstreamLeaves, addressReuse, massKill};
    random_draw draw {std::mt19937_64(options.seed)};
    std::vector<planned_fault> plan;
    std::size_t emptiedCount = 0;
    milliseconds at {0};
    while (true) {
        at += draw.between(options.gap / 4, options.gap * 7 / 4);
        if (at >= options.length) {
            break;
        }
        const bool emptiesDisk = emptiedCount < options.emptiedDisks && draw.below(12) == 0;
        planned_fault next {.at = at, .span = draw.between(milliseconds(200), milliseconds(6000))};
        next.what = emptiesDisk ? emptiedDisk(draw, targets) : factories.at(draw.below(factories.size()))(draw, targets);
        next.span = std::min(next.span, options.length - next.at);
        const auto names = next.what->hosts();
        const bool conflicts = std::ranges::any_of(plan, [&](const planned_fault &other) {
            const bool nearDiskLoss = (emptiesDisk || other.what->name() == "emptied-disk") && (next.at < other.at + other.span + diskLossMargin);
            const auto otherNames = other.what->hosts();
            return overlaps(next, names, other, otherNames)
                || (nearDiskLoss && !names.empty() && !otherNames.empty() && otherNames.front().starts_with("control-"));
        });
        if (conflicts) {
            continue;
        }
        emptiedCount += emptiesDisk ? 1 : 0;
        plan.push_back(std::move(next));
    }
    addSeries(plan, targets, options);
    addLostUpstreams(plan, targets, options);
    if (options.replacesHosts) {
        addReplacements(plan, targets, options);
    }
    return plan;
}

} // namespace hornbeampick::soak
