#include "fault.h"

#include <algorithm>
#include <array>
#include <functional>
#include <random>

namespace hornbeampick::soak
{

namespace
{

using action = std::function<void(fault_scene &)>;

// Most faults differ in what is done at their begin and end only.
class simple_fault final : public fault
{
public:
    struct parts {
        std::string_view name;
        std::vector<std::string> hosts;
        action begin;
        action heal;
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
    void begin(fault_scene &scene) override
    {
        m_parts.begin(scene);
    }
    void heal(fault_scene &scene) override
    {
        m_parts.heal(scene);
    }

private:
    parts m_parts;
};

// Strikes several hosts within one instant, as a loss of power does.
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
    void begin(fault_scene &scene) override
    {
        for (const auto &host : m_hosts) {
            scene.kill(host);
        }
    }
    void heal(fault_scene &scene) override
    {
        for (const auto &host : m_hosts) {
            scene.start(host);
        }
    }

private:
    std::vector<std::string> m_hosts;
};

struct drawing {
    std::mt19937_64 engine;

    std::size_t below(std::size_t limit)
    {
        return static_cast<std::size_t>(engine() % limit);
    }
    milliseconds between(milliseconds least, milliseconds most)
    {
        return least + milliseconds(static_cast<std::int64_t>(below(static_cast<std::size_t>((most - least).count()) + 1)));
    }
    const std::string &one(std::span<const std::string> names)
    {
        return names[below(names.size())];
    }
};

using maker = std::function<std::shared_ptr<fault>(drawing &, const fault_targets &)>;

std::shared_ptr<fault> simple(simple_fault::parts parts)
{
    return std::make_shared<simple_fault>(std::move(parts));
}

const std::string &anyHost(drawing &draw, const fault_targets &targets)
{
    const auto all = targets.controlHosts.size() + targets.entryHosts.size();
    const auto chosen = draw.below(all);
    return chosen < targets.controlHosts.size() ? targets.controlHosts[chosen] : targets.entryHosts[chosen - targets.controlHosts.size()];
}

// A control host or an upstream, whose links pass a proxy.
std::string linkEnd(drawing &draw, const fault_targets &targets)
{
    return draw.below(2) == 0 ? draw.one(targets.controlHosts) : draw.one(targets.upstreams);
}

std::shared_ptr<fault> killed(drawing &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    return simple({"kill", {host}, [host](fault_scene &scene) { scene.kill(host); }, [host](fault_scene &scene) { scene.start(host); }});
}

std::shared_ptr<fault> paused(drawing &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    return simple({"pause", {host}, [host](fault_scene &scene) { scene.pause(host); }, [host](fault_scene &scene) { scene.resume(host); }});
}

std::shared_ptr<fault> stopped(drawing &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    return simple({"stop", {host}, [host](fault_scene &scene) { scene.stop(host); }, [host](fault_scene &scene) { scene.start(host); }});
}

std::shared_ptr<fault> reloaded(drawing &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    const auto reload = [host](fault_scene &scene) { scene.reload(host); };
    return simple({"reload", {}, reload, reload});
}

std::shared_ptr<fault> slowDisk(drawing &draw, const fault_targets &targets)
{
    const auto host = draw.one(targets.controlHosts);
    const auto delay = draw.between(milliseconds(50), milliseconds(600));
    return simple({"slow-disk",
                   {host},
                   [host, delay](fault_scene &scene) { scene.slowDisk(host, delay); },
                   [host](fault_scene &scene) { scene.slowDisk(host, milliseconds(0)); }});
}

// A process whose disk is full may end; an operator starts it again.
std::shared_ptr<fault> fullDisk(drawing &draw, const fault_targets &targets)
{
    const auto host = draw.one(targets.controlHosts);
    return simple({"full-disk",
                   {host},
                   [host](fault_scene &scene) { scene.fillDisk(host, true); },
                   [host](fault_scene &scene) {
                       scene.fillDisk(host, false);
                       scene.kill(host);
                       scene.start(host);
                   }});
}

std::shared_ptr<fault> clockStep(drawing &draw, const fault_targets &targets)
{
    const auto host = anyHost(draw, targets);
    const auto ahead = draw.between(milliseconds(-6000), milliseconds(6000));
    return simple({"clock-step",
                   {host},
                   [host, ahead](fault_scene &scene) { scene.stepClock(host, ahead); },
                   [host](fault_scene &scene) { scene.stepClock(host, milliseconds(0)); }});
}

std::vector<std::string> hostsBehind(const std::string &link)
{
    return link.starts_with("control-") ? std::vector {link} : std::vector<std::string> {};
}

std::shared_ptr<fault> cut(drawing &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    const auto ways = draw.below(3);
    return simple({"cut", hostsBehind(to), [to, ways](fault_scene &scene) { scene.cutLink(to, ways != 1, ways != 0); },
                   [to](fault_scene &scene) {
                       scene.cutLink(to, false, false);
                       scene.resetLink(to);
                   }});
}

std::shared_ptr<fault> silence(drawing &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    return simple(
        {"silence", hostsBehind(to), [to](fault_scene &scene) { scene.silenceLink(to, true); }, [to](fault_scene &scene) { scene.silenceLink(to, false); }});
}

std::shared_ptr<fault> delayed(drawing &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    const auto time = draw.between(milliseconds(20), milliseconds(300));
    return simple({"delay", hostsBehind(to), [to, time](fault_scene &scene) { scene.delayLink(to, time); },
                   [to](fault_scene &scene) { scene.delayLink(to, milliseconds(0)); }});
}

std::shared_ptr<fault> resets(drawing &draw, const fault_targets &targets)
{
    const auto to = linkEnd(draw, targets);
    const auto reset = [to](fault_scene &scene) { scene.resetLink(to); };
    return simple({"reset", hostsBehind(to), reset, reset});
}

std::shared_ptr<fault> upstreamCrash(drawing &draw, const fault_targets &targets)
{
    const auto struck = draw.one(targets.upstreams);
    return simple(
        {"upstream-crash", {}, [struck](fault_scene &scene) { scene.crashUpstream(struck); }, [struck](fault_scene &scene) { scene.restartUpstream(struck); }});
}

std::shared_ptr<fault> upstreamLeaves(drawing &draw, const fault_targets &targets)
{
    const auto chosen = draw.one(targets.upstreams);
    return simple(
        {"upstream-leaves", {}, [chosen](fault_scene &scene) { scene.retireUpstream(chosen); }, [chosen](fault_scene &scene) { scene.admitUpstream(chosen); }});
}

std::shared_ptr<fault> addressReuse(drawing &draw, const fault_targets &targets)
{
    const auto first = draw.below(targets.upstreams.size());
    const auto second = (first + 1) % targets.upstreams.size();
    const auto swap = [a = targets.upstreams[first], b = targets.upstreams[second]](fault_scene &scene) { scene.swapAddresses(a, b); };
    return simple({"address-reuse", {}, swap, swap});
}

std::shared_ptr<fault> massKill(drawing &draw, const fault_targets &targets)
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

std::shared_ptr<fault> emptiedDisk(drawing &draw, const fault_targets &targets)
{
    const auto host = draw.one(targets.controlHosts);
    return simple({"emptied-disk",
                   {host},
                   [host](fault_scene &scene) {
                       scene.kill(host);
                       scene.emptyDisk(host);
                   },
                   [host](fault_scene &scene) { scene.start(host); }});
}

// Names that a fault needs to itself.
bool overlaps(const planned_fault &a, std::span<const std::string> aNames, const planned_fault &b, std::span<const std::string> bNames)
{
    const bool sameTime = a.at < b.at + b.span && b.at < a.at + a.span;
    return sameTime && std::ranges::any_of(aNames, [&](const std::string &name) { return std::ranges::find(bNames, name) != bNames.end(); });
}

} // namespace

std::vector<planned_fault> drawFaults(const fault_targets &targets, const fault_plan_options &options)
{
    // More common ones stand more than once.
    const std::array<maker, 19> makers {killed, killed, paused,  paused,  stopped, stopped,       reloaded,       slowDisk,     fullDisk, clockStep,
                                        cut,    cut,    silence, delayed, resets,  upstreamCrash, upstreamLeaves, addressReuse, massKill};
    drawing draw {std::mt19937_64(options.seed)};
    std::vector<planned_fault> plan;
    std::size_t emptied = 0;
    milliseconds at {0};
    while (true) {
        at += draw.between(options.gap / 4, options.gap * 7 / 4);
        if (at >= options.length) {
            break;
        }
        const bool empties = emptied < options.emptiedDisks && draw.below(12) == 0;
        planned_fault next {.at = at, .span = draw.between(milliseconds(200), milliseconds(6000))};
        next.what = empties ? emptiedDisk(draw, targets) : makers.at(draw.below(makers.size()))(draw, targets);
        next.span = std::min(next.span, options.length - next.at);
        const auto names = next.what->hosts();
        const bool taken = std::ranges::any_of(plan, [&](const planned_fault &other) {
            // A lost disk must not come with the loss of others.
            const bool both = (empties || other.what->name() == "emptied-disk") && (next.at < other.at + other.span + milliseconds(6000));
            const auto otherNames = other.what->hosts();
            return overlaps(next, names, other, otherNames) || (both && !names.empty() && !otherNames.empty() && otherNames.front().starts_with("control-"));
        });
        if (taken) {
            continue;
        }
        emptied += empties ? 1 : 0;
        plan.push_back(std::move(next));
    }
    return plan;
}

} // namespace hornbeampick::soak
