#include "steering/dispatcher.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace hornbeampick
{

namespace
{

// Weight of a new sample in smoothed times and failure rates.
constexpr double smoothing = 0.15;
// The load that others cause at an upstream is forgotten over this time: an upstream answers several times in it.
constexpr milliseconds foreignLifetime {1500};
// Part of attempts that fail from which an upstream is set aside.
constexpr double failingLimit = 0.5;
constexpr milliseconds firstEjection {1000};
constexpr std::uint32_t mostDoublings = 3;
// At most this part of a service's slots is set aside: with more, the fault is not the upstreams'.
constexpr double mostEjected = 0.5;
// An upstream this many times slower than its service has its slots counted in proportion.
constexpr double slowFactor = 2;
// Requests that may leave the region beside the smooth share, as a part of all: far below the bound on shifts.
constexpr double overflowPart = 0.03;
constexpr double overflowMost = 3;
// Part of a cold upstream's rate that is used: its own count and ours differ by requests on their way.
constexpr double coldPart = 0.8;
// A request may wait for this part of the usual work even when its answer will then be late.
constexpr double patience = 0.35;
constexpr std::array rankPatience {1.6, 1.25, 1.0};
// The wait at an object's first upstream must be longer by this part of the work before the second takes it.
constexpr double secondPenalty = 0.3;
// Upstreams filled further than this have no slots to spare for objects that are cold there.
constexpr double spareBelow = 0.7;
// Work that is assumed before any answer, in milliseconds.
constexpr double defaultWorkMs = 300;
// Work that is assumed for objects that no upstream has handled yet, as a part of the time that callers expect: about
// three times that of warm ones, which is half of it.
constexpr double workGuess = 1.35;
constexpr double retryShortestMs = 100;
constexpr double retryLongestMs = 1500;

double smooth(double former, double sample)
{
    return former == 0 ? sample : former + smoothing * (sample - former);
}

double milliCount(steady_time::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

double patienceOf(std::uint32_t rank)
{
    return rankPatience.at(std::min<std::size_t>(rank, rankPatience.size() - 1));
}

} // namespace

std::string_view textOf(dispatch_end end)
{
    constexpr std::array names {"answered", "failed", "shed", "misdirected", "unreachable", "broke", "timed-out", "abandoned"};
    return names.at(static_cast<std::size_t>(end));
}

// A lane that may take the request, and what speaks for it.
struct dispatcher::candidate {
    lane *where = nullptr;
    bool home = false;
    bool cold = false;
    double load = 0;
    double slots = 1;
    std::uint64_t score = 0;

    [[nodiscard]] bool hasRoom() const
    {
        return load + 1 <= slots;
    }
    [[nodiscard]] double fill() const
    {
        return load / slots;
    }
    // Until a slot is free for one more request.
    [[nodiscard]] double waitMs(double workMs) const
    {
        return std::max(0.0, (load + 1 - slots) / slots * workMs);
    }
};

dispatcher::dispatcher(const dispatcher_options &options, const topology &fleet, clock_source &clock, random_source &random)
    : m_options(options)
    , m_fleet(fleet)
    , m_clock(clock)
    , m_random(random)
{
    m_evacuated.set(std::make_shared<const std::vector<domain_name>>());
}

void dispatcher::setUpstreams(std::span<const known_upstream> upstreams)
{
    const auto now = m_clock.now();
    for (const auto &known : upstreams) {
        place(known, now);
    }
}

void dispatcher::place(const known_upstream &known, steady_time now)
{
    const auto &report = known.report;
    m_boards.with(stableHash(report.service.view()), [&](boards &all) {
        auto &lanes = boardOf(all, report.service).lanes;
        if (report.state == upstream_state::gone) {
            const auto found = lanes.find(report.instance);
            if (found != lanes.end() && found->second.report.incarnation <= report.incarnation) {
                lanes.erase(found);
            }
            return;
        }
        auto &each = lanes[report.instance];
        if (report.incarnation < each.report.incarnation) {
            return;
        }
        if (report.incarnation > each.report.incarnation) {
            each = lane();
        }
        if (report.reportedAt > each.report.reportedAt || report.address != each.report.address) {
            each.misdirected = false;
        }
        each.report = report;
        each.region = m_fleet.regionOf(report.domain).value_or(region_name());
        each.coldUntil = std::max(each.coldUntil, known.coldUntil);
        if (each.coldUntil <= now) {
            each.coldLimit.setLimit(0);
        }
    });
}

void dispatcher::setServices(std::span<const routed_service> services)
{
    for (const auto &service : services) {
        m_boards.with(stableHash(service.name.view()), [&](boards &all) {
            auto &board = boardOf(all, service.name);
            board.coldPerSecond = service.warmupPerSecond;
            board.warmup = service.warmup;
        });
    }
}

void dispatcher::setEvacuated(std::span<const domain_name> domains)
{
    const auto former = m_evacuated.get();
    m_evacuated.set(std::make_shared<const std::vector<domain_name>>(domains.begin(), domains.end()));
    // Upstreams that had no work for a while may have become cold.
    const auto now = m_clock.now();
    m_boards.each([&](boards &all) {
        for (auto &[service, board] : all) {
            for (auto &[instance, each] : board.lanes) {
                const bool was = std::ranges::find(*former, each.report.domain) != former->end();
                const bool is = std::ranges::find(domains, each.report.domain) != domains.end();
                if (was && !is) {
                    each.coldUntil = std::max(each.coldUntil, now + board.warmup);
                }
            }
        }
    });
}

dispatcher::service_board &dispatcher::boardOf(boards &all, const service_name &service) const
{
    return all.try_emplace(service, service_board {.spill = spill_share(m_options.spill)}).first->second;
}

void dispatcher::setHostsInRegion(std::uint32_t hosts)
{
    m_hostsInRegion = std::max(hosts, 1U);
}

dispatch_verdict dispatcher::take(const dispatch_request &request)
{
    const auto now = m_clock.now();
    return m_boards.with(stableHash(request.service.view()), [&](boards &all) { return choose(boardOf(all, request.service), request, now); });
}

double dispatcher::estimate(const lane &each, steady_time now) const
{
    const double age = milliCount(now - each.foreignAt) / static_cast<double>(foreignLifetime.count());
    return each.inFlight + each.foreign * std::max(0.0, 1 - age);
}

double dispatcher::usableSlots(const service_board &board, const lane &each) const
{
    const double slots = std::max(each.report.slots, 1U);
    if (each.workMs == 0 || board.workMs == 0 || each.workMs < slowFactor * board.workMs) {
        return slots;
    }
    return std::max(1.0, slots * board.workMs / each.workMs);
}

std::vector<dispatcher::candidate> dispatcher::candidatesFor(service_board &board, const dispatch_request &request, steady_time now) const
{
    const auto evacuated = m_evacuated.get();
    std::vector<candidate> usable;
    std::vector<candidate> ejected;
    double allSlots = 0;
    double ejectedSlots = 0;
    usable.reserve(board.lanes.size());
    for (auto &[instance, each] : board.lanes) {
        const auto &report = each.report;
        const bool closed = report.state == upstream_state::draining || report.silent || each.misdirected
            || std::ranges::find(*evacuated, report.domain) != evacuated->end() || std::ranges::find(request.tried, instance) != request.tried.end();
        const bool allowed = request.allowedRegions.empty() || std::ranges::find(request.allowedRegions, each.region) != request.allowedRegions.end();
        if (closed || !allowed) {
            continue;
        }
        candidate made {
            .where = &each,
            .home = each.region == m_options.region,
            .cold = now < each.coldUntil,
            .load = estimate(each, now),
            .slots = usableSlots(board, each),
            .score = stableHash(instance.view(), request.object.value_or(0)),
        };
        // Its few requests a second are shared by the entry hosts of its own region.
        if (made.cold && !made.home) {
            continue;
        }
        allSlots += made.slots;
        // Once the time is over, one request at a time tries it again.
        const bool onTrial = each.ejections > 0 && each.failing > failingLimit && each.inFlight > 0;
        if (now < each.ejectedUntil || onTrial) {
            ejectedSlots += made.slots;
            ejected.push_back(made);
        } else {
            usable.push_back(made);
        }
    }
    if (ejectedSlots > mostEjected * allSlots) {
        usable.insert(usable.end(), ejected.begin(), ejected.end());
    }
    return usable;
}

dispatcher::region_loads dispatcher::loadsOf(std::span<const candidate> candidates)
{
    region_loads loads;
    std::vector<region_name> regions;
    for (const auto &each : candidates) {
        (each.home ? loads.home : loads.far) += each.load;
        (each.home ? loads.homeSlots : loads.farSlots) += each.slots;
        if (std::ranges::find(regions, each.where->region) == regions.end()) {
            regions.push_back(each.where->region);
        }
    }
    loads.regions = static_cast<std::uint32_t>(regions.size());
    return loads;
}

dispatch_verdict dispatcher::choose(service_board &board, const dispatch_request &request, steady_time now)
{
    auto candidates = candidatesFor(board, request, now);
    const auto loads = loadsOf(candidates);
    board.spill.observe(
        {
            .homeLoad = loads.home,
            .homeSlots = loads.homeSlots,
            .othersLoad = loads.far,
            .othersSlots = loads.farSlots,
            .regions = loads.regions,
            .hosts = m_hostsInRegion,
            .workMs = board.workMs > 0 ? board.workMs : workGuess * static_cast<double>(request.targetLatency.count()),
        },
        now);
    board.overflowTokens = std::min(board.overflowTokens + overflowPart, overflowMost);

    const std::uint64_t object = request.object.value_or(m_random.next());
    const bool spills = loads.homeSlots == 0 || board.spill.spills(stableHash("spill", object));
    // Objects keep to their upstreams in the order of their scores; others go to the least loaded.
    std::ranges::sort(candidates, [&](const candidate &a, const candidate &b) {
        if (a.home != b.home) {
            return a.home != spills;
        }
        return request.object ? a.score > b.score : a.fill() < b.fill();
    });
    std::erase_if(candidates, [&](const candidate &each) { return each.cold && !mayTakeCold(board, *each.where, now); });

    const double work = board.workMs > 0 ? board.workMs : defaultWorkMs;
    const double allowed = allowedWaitMs(request, work);
    const candidate *chosen = chooseKept(candidates, spills, work);
    const double wait = chosen != nullptr ? chosen->waitMs(work) : 0;
    if (chosen == nullptr || wait > allowed) {
        chosen = chooseSpare(candidates, spills, board.overflowTokens >= 1);
    }
    if (chosen != nullptr) {
        board.overflowTokens -= chosen->home == spills ? 1 : 0;
        return grantAt(*chosen, request.service, now);
    }
    auto refused = refusal(board);
    refused.error = candidates.empty() ? errc::noUpstream : errc::overloaded;
    refused.load = loads.home + loads.far;
    refused.slots = loads.homeSlots + loads.farSlots;
    refused.wait = milliseconds(static_cast<std::int64_t>(wait));
    refused.allowedWait = milliseconds(static_cast<std::int64_t>(allowed));
    return refused;
}

dispatch_grant dispatcher::grantAt(const candidate &chosen, const service_name &service, steady_time now)
{
    const bool slotFree = chosen.hasRoom();
    if (chosen.cold) {
        chosen.where->coldLimit.take(1, now);
    }
    ++chosen.where->inFlight;
    const auto &report = chosen.where->report;
    return {
        .service = service,
        .instance = report.instance,
        .incarnation = report.incarnation,
        .address = report.address,
        .grantedAt = now,
        .slotFree = slotFree && !chosen.cold,
    };
}

// Each object has two upstreams where it is warm, or soon will be; the second takes it when the wait at the first is
// longer by a part of the work. Spreading it further would make it cold everywhere just when slots are scarce.
const dispatcher::candidate *dispatcher::chooseKept(std::span<const candidate> candidates, bool spills, double workMs)
{
    const candidate *first = nullptr;
    const candidate *second = nullptr;
    for (const auto &each : candidates) {
        if (each.home == spills) {
            continue;
        }
        if (first == nullptr) {
            first = &each;
        } else {
            second = &each;
            break;
        }
    }
    if (second != nullptr && second->waitMs(workMs) + secondPenalty * workMs < first->waitMs(workMs)) {
        return second;
    }
    return first;
}

// Any upstream with slots to spare, though the object is cold there: first on the side that the object belongs to.
const dispatcher::candidate *dispatcher::chooseSpare(std::span<const candidate> candidates, bool spills, bool mayLeave)
{
    const candidate *best = nullptr;
    for (const auto &each : candidates) {
        const bool kept = each.home != spills;
        const bool spare = each.hasRoom() && each.fill() < spareBelow;
        if (!spare || (!kept && !mayLeave)) {
            continue;
        }
        const bool better = best == nullptr || (kept && best->home == spills) || (kept == (best->home != spills) && each.fill() < best->fill());
        if (better) {
            best = &each;
        }
    }
    return best;
}

// As long as the answer can still be in time, or at least a part of the usual work; longer for more urgent requests.
double dispatcher::allowedWaitMs(const dispatch_request &request, double workMs)
{
    const double spare = static_cast<double>((request.targetLatency - request.elapsed).count()) - workMs;
    const double most = static_cast<double>(request.remaining.count()) - workMs;
    return std::min(std::max(spare, patience * workMs) * patienceOf(request.rank), most);
}

// A cold upstream's few requests a second are shared by the entry hosts of its region.
bool dispatcher::mayTakeCold(const service_board &board, lane &cold, steady_time now) const
{
    const double rate = std::floor(coldPart * board.coldPerSecond / m_hostsInRegion.load());
    cold.coldLimit.setLimit(static_cast<std::uint64_t>(std::max(1.0, rate)));
    return cold.coldLimit.used(now) < cold.coldLimit.limit();
}

// Callers that are turned away together come back spread over the time that a slot takes to become free.
dispatch_refusal dispatcher::refusal(const service_board &board) const
{
    const double work = board.workMs > 0 ? board.workMs : defaultWorkMs;
    const double spread = static_cast<double>(m_random.below(1000)) / 1000;
    const double after = std::clamp(work * (0.5 + spread), retryShortestMs, retryLongestMs);
    return {.error = errc::overloaded, .retryAfter = milliseconds(static_cast<std::int64_t>(after))};
}

std::optional<milliseconds> dispatcher::finish(const dispatch_grant &grant, dispatch_end end, const std::optional<load_report> &load)
{
    const auto now = m_clock.now();
    return m_boards.with(stableHash(grant.service.view()), [&](boards &all) -> std::optional<milliseconds> {
        auto &board = boardOf(all, grant.service);
        const auto found = board.lanes.find(grant.instance);
        if (found == board.lanes.end() || found->second.report.incarnation != grant.incarnation) {
            return std::nullopt;
        }
        auto &used = found->second;
        used.inFlight -= std::min(used.inFlight, 1U);
        if (load) {
            const double others = static_cast<double>(load->running + load->waiting) - used.inFlight;
            used.foreign = std::max(0.0, others);
            used.foreignAt = now;
        }
        if (end == dispatch_end::answered && grant.slotFree) {
            const double took = milliCount(now - grant.grantedAt);
            used.workMs = smooth(used.workMs, took);
            board.workMs = smooth(board.workMs, took);
        }
        return judge(used, end, estimate(used, now), now);
    });
}

std::optional<milliseconds> dispatcher::judge(lane &used, dispatch_end end, double load, steady_time now)
{
    bool failed = false;
    switch (end) {
    case dispatch_end::answered:
        break;
    case dispatch_end::abandoned:
        return std::nullopt;
    case dispatch_end::misdirected:
        used.misdirected = true;
        return std::nullopt;
    case dispatch_end::shed:
        // Full, unless it has just said that slots are free.
        if (load >= used.report.slots) {
            return std::nullopt;
        }
        failed = true;
        break;
    case dispatch_end::failed:
    case dispatch_end::unreachable:
    case dispatch_end::broke:
    case dispatch_end::timedOut:
        failed = true;
        break;
    }
    used.failing += smoothing * ((failed ? 1.0 : 0.0) - used.failing);
    if (end == dispatch_end::unreachable) {
        used.failing = std::max(used.failing, failingLimit + smoothing);
    }
    if (!failed) {
        if (used.failing < failingLimit) {
            used.ejections = 0;
        }
        return std::nullopt;
    }
    if (used.failing > failingLimit && now >= used.ejectedUntil) {
        const milliseconds span = firstEjection * (1U << std::min(used.ejections, mostDoublings));
        used.ejectedUntil = now + span;
        ++used.ejections;
        return span;
    }
    return std::nullopt;
}

void dispatcher::noteCold(const service_name &service, const instance_name &instance, milliseconds left)
{
    const auto now = m_clock.now();
    m_boards.with(stableHash(service.view()), [&](boards &all) {
        auto &lanes = boardOf(all, service).lanes;
        const auto found = lanes.find(instance);
        if (found != lanes.end()) {
            found->second.coldUntil = std::max(found->second.coldUntil, now + left);
        }
    });
}

std::vector<dispatcher::service_view> dispatcher::views() const
{
    const auto now = m_clock.now();
    std::vector<service_view> views;
    m_boards.each([&](const boards &all) {
        for (const auto &[service, board] : all) {
            service_view view {.service = service, .spilled = board.spill.share()};
            for (const auto &[instance, each] : board.lanes) {
                if (each.region != m_options.region) {
                    continue;
                }
                view.slots += each.report.slots;
                view.inUse += estimate(each, now);
                view.ejected += now < each.ejectedUntil ? 1 : 0;
            }
            views.push_back(view);
        }
    });
    return views;
}

} // namespace hornbeampick
