#include "steering/dispatcher.h"

#include "core/digest.h"
#include "steering/region_utilisation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace hornbeampick
{

namespace
{

// Weight of a new sample in the exponentially weighted averages of service times and failure rates.
constexpr double smoothingFactor = 0.15;
// The reported load of other hosts at an upstream decays to zero over this time. An upstream sends several responses, each with
// a newer load, within it.
constexpr milliseconds otherHostsLoadLifetime {1500};
// An upstream with a higher failure rate is ejected.
constexpr double ejectionFailureRate = 0.5;
// The first ejection lasts this long; each further one lasts twice as long as the one before, up to the number of doublings below.
constexpr milliseconds initialEjection {1000};
constexpr std::uint32_t maxEjectionDoublings = 3;
// Largest fraction of a service's slots that stays ejected. Beyond it the cause is assumed not to be the upstreams, and ejections
// are ignored.
constexpr double maxEjectedFraction = 0.5;
// An upstream at least this many times slower than its service has its slots reduced in proportion.
constexpr double slowFactor = 2;
// Fraction of all requests that may leave the region beyond the spill share: far below the bound on shifts.
constexpr double overflowTokensPerRequest = 0.03;
constexpr double maxOverflowTokens = 3;
// Fraction of a cold upstream's rate limit that is used, because its count and ours differ by the requests in transit.
constexpr double coldRateFraction = 0.8;
// A request may wait for this fraction of the usual service time even when its response is then late.
constexpr double minWaitFraction = 0.35;
// Factors on the allowed wait, by priority; 0 is the most urgent.
constexpr std::array priorityWaitFactors {1.6, 1.25, 1.0};
// The second upstream of an object is used only when the wait at the first is longer by this fraction of the service time.
constexpr double secondChoicePenalty = 0.3;
// A report of more requests per slot counts as this many in the mean over upstreams, so that one false report does not make all look full.
constexpr double maxReportedUtilisation = 5;
// Upstreams with a higher utilisation do not accept objects that are cold there.
constexpr double spareUtilisation = 0.7;
// Effect of the utilisation on the cost of an upstream with learned speed, relative to its service time. It spreads requests over upstreams
// of similar speed before they are full.
constexpr double utilisationCost = 0.25;
// Costs that differ by less count as equal: the learned slowness is not more precise.
constexpr double costStep = 0.1;
// Durations are not learned from an upstream with more waiting requests per slot, because they may contain queueing. With objects the bound is
// lower: requests that queue are often the cold ones, which would be taken for growth of durations with utilisation.
constexpr double maxWaitingWithObject = 0.3;
constexpr double maxWaitingWithoutObject = 3;
// A limit at or below the first fraction of the slots is reported, and its recovery to the second one.
constexpr double limitedFraction = 0.5;
constexpr double recoveredFraction = 0.75;
constexpr std::size_t maxLimitChanges = 16;
// Smallest fraction of successful attempts that the expected time is divided by.
constexpr double minSuccessRate = 0.1;
// Service time that is assumed before the first response.
constexpr double defaultServiceTimeMs = 300;
// Service time that is assumed for objects that no upstream has served yet, as a factor on the target latency. A warm object
// takes about half of the target latency and a cold one about three times as long as a warm one.
constexpr double initialServiceTimeFactor = 1.35;
constexpr double minRetryAfterMs = 100;
constexpr double maxRetryAfterMs = 1500;

double smooth(double previous, double sample)
{
    return previous == 0 ? sample : previous + smoothingFactor * (sample - previous);
}

double toMilliseconds(steady_time::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

void include(std::optional<dispatcher::value_range> &range, double value)
{
    range = range ? dispatcher::value_range {.smallest = std::min(range->smallest, value), .largest = std::max(range->largest, value)}
                  : dispatcher::value_range {.smallest = value, .largest = value};
}

double waitFactorOf(std::uint32_t priority)
{
    return priorityWaitFactors.at(std::min<std::size_t>(priority, priorityWaitFactors.size() - 1));
}

} // namespace

std::string_view textOf(dispatch_outcome end)
{
    constexpr std::array names {"answered", "failed", "shed", "misdirected", "unreachable", "broke", "timed-out", "abandoned"};
    return names.at(static_cast<std::size_t>(end));
}

// An upstream that is eligible for the request, with the criteria for choosing it.
struct dispatcher::candidate {
    tracked_upstream *upstream = nullptr;
    bool home = false;
    bool cold = false;
    double load = 0;
    double slots = 1;
    // Expected time of a request relative to the usual one of the service.
    double slowness = 1;
    // Candidates with a lower cost are preferred when no object decides: the utilisation, or with learned speed a measure of the expected time.
    double cost = 0;
    // Rendezvous hash of the instance and the object.
    std::uint64_t score = 0;

    [[nodiscard]] bool hasFreeSlot() const
    {
        return load + 1 <= slots;
    }
    [[nodiscard]] double utilisation() const
    {
        return load / slots;
    }
    // Expected time until a slot is free for one more request.
    [[nodiscard]] double expectedWaitMs(double serviceTimeMs) const
    {
        return std::max(0.0, (load + 1 - slots) / slots * serviceTimeMs);
    }
    // Expected wait and the time that the upstream takes beyond the usual one of the service.
    [[nodiscard]] double expectedDelayMs(double serviceTimeMs) const
    {
        return expectedWaitMs(serviceTimeMs) + std::max(0.0, slowness - 1) * serviceTimeMs;
    }
};

// The upstreams that could serve a request.
struct dispatcher::candidate_set {
    std::vector<candidate> usable;
    // These want no requests yet. They count as full, so that a short deferral moves the spill share no more than a full region does.
    std::vector<candidate> deferred;
    // Some upstream that the request has tried is not deferred.
    bool triedAccepts = false;
};

dispatcher::dispatcher(const dispatcher_options &options, const topology &fleet, clock_source &clock, random_source &random)
    : m_options(options)
    , m_fleet(fleet)
    , m_clock(clock)
    , m_random(random)
{
    m_options.spill.fromReports = m_options.overflowFromReports;
    m_evacuated.set(std::make_shared<const std::vector<domain_name>>());
}

void dispatcher::setUpstreams(std::span<const known_upstream> upstreams)
{
    const auto now = m_clock.now();
    for (const auto &known : upstreams) {
        updateUpstream(known, now);
    }
}

void dispatcher::updateUpstream(const known_upstream &known, steady_time now)
{
    const auto &report = known.report;
    m_records.with(stableHash(report.service.view()), [&](service_records &all) {
        auto &trackedUpstreams = recordOf(all, report.service).trackedUpstreams;
        if (report.state == upstream_state::gone) {
            const auto found = trackedUpstreams.find(report.instance);
            if (found != trackedUpstreams.end() && found->second.report.incarnation <= report.incarnation) {
                trackedUpstreams.erase(found);
            }
            return;
        }
        auto &each = trackedUpstreams[report.instance];
        if (report.incarnation < each.report.incarnation) {
            return;
        }
        if (report.incarnation > each.report.incarnation) {
            each = tracked_upstream();
        }
        if (report.reportedAt > each.report.reportedAt || report.address != each.report.address) {
            each.misdirected = false;
        }
        each.report = report;
        each.region = m_fleet.regionOf(report.domain).value_or(region_name());
        each.warmupEnd = std::max(each.warmupEnd, known.warmupEnd);
    });
}

void dispatcher::setServices(std::span<const routed_service> services)
{
    for (const auto &service : services) {
        m_records.with(stableHash(service.name.view()), [&](service_records &all) {
            auto &serviceRecord = recordOf(all, service.name);
            serviceRecord.coldPerSecond = service.warmupPerSecond;
            serviceRecord.warmup = service.warmup;
        });
    }
}

void dispatcher::setEvacuated(std::span<const domain_name> domains)
{
    const auto previous = m_evacuated.get();
    m_evacuated.set(std::make_shared<const std::vector<domain_name>>(domains.begin(), domains.end()));
    // Upstreams that received no requests during the evacuation may have become cold.
    const auto now = m_clock.now();
    m_records.forEach([&](service_records &all) {
        for (auto &[service, serviceRecord] : all) {
            for (auto &[instance, each] : serviceRecord.trackedUpstreams) {
                const bool wasEvacuated = std::ranges::find(*previous, each.report.domain) != previous->end();
                const bool isEvacuated = std::ranges::find(domains, each.report.domain) != domains.end();
                if (wasEvacuated && !isEvacuated) {
                    each.warmupEnd = std::max(each.warmupEnd, now + serviceRecord.warmup);
                }
            }
        }
    });
}

dispatcher::service_record &dispatcher::recordOf(service_records &all, const service_name &service) const
{
    return all.try_emplace(service, service_record {.spill = spill_share(m_options.spill)}).first->second;
}

dispatcher::tracked_upstream *dispatcher::trackedUpstreamOf(service_record &serviceRecord, const dispatch_grant &grant)
{
    const auto found = serviceRecord.trackedUpstreams.find(grant.instance);
    const bool isKnown = found != serviceRecord.trackedUpstreams.end() && found->second.report.incarnation == grant.incarnation;
    return isKnown ? &found->second : nullptr;
}

void dispatcher::setRegionShare(const share_of_hosts &share)
{
    m_regionShare = {.hosts = std::max(share.hosts, 1U), .index = share.index};
}

void dispatcher::setFleetHosts(std::uint32_t hosts)
{
    m_fleetHosts = hosts;
}

dispatch_result dispatcher::selectUpstream(const dispatch_request &request)
{
    const auto now = m_clock.now();
    return m_records.with(stableHash(request.service.view()), [&](service_records &all) { return choose(recordOf(all, request.service), request, now); });
}

double dispatcher::estimatedLoad(const tracked_upstream &each, steady_time now) const
{
    const double age = toMilliseconds(now - each.otherHostsLoadAt) / static_cast<double>(otherHostsLoadLifetime.count());
    return each.inFlight + each.otherHostsLoad * std::max(0.0, 1 - age);
}

// Without a recent report, the other hosts are assumed to use the upstream as much as they used those that reported recently. An object stays at its
// upstream unless that is known to have a queue, because it is cold elsewhere.
double dispatcher::expectedLoad(const service_record &serviceRecord, const tracked_upstream &each, bool hasObject, steady_time now) const
{
    const double known = estimatedLoad(each, now);
    if (!m_options.learnUpstreamSpeed) {
        return known;
    }
    const auto fractionOfLifetime = [&](steady_time since) { return toMilliseconds(now - since) / static_cast<double>(otherHostsLoadLifetime.count()); };
    const double unknownPart = std::min(1.0, fractionOfLifetime(each.otherHostsLoadAt));
    // Without responses from any upstream the mean decays too; otherwise a host that refuses all requests would never learn of free slots.
    const double meanBelief = std::clamp(2 - fractionOfLifetime(serviceRecord.meanUtilisationAt), 0.0, 1.0);
    const double mean = hasObject ? std::min(1.0, serviceRecord.meanUtilisation) : serviceRecord.meanUtilisation;
    return known + unknownPart * meanBelief * mean * each.report.slots;
}

double dispatcher::effectiveSlots(const service_record &serviceRecord, const tracked_upstream &each, steady_time now) const
{
    const double slots = std::max(each.report.slots, 1U);
    if (m_options.learnUpstreamSpeed) {
        // An upstream that fails fast has free slots all the time.
        return std::max(1.0, each.learned.limit(each.report.slots, serviceRecord.pace, now) * (1 - each.failureRate));
    }
    if (each.serviceTimeMs == 0 || serviceRecord.serviceTimeMs == 0 || each.serviceTimeMs < slowFactor * serviceRecord.serviceTimeMs) {
        return slots;
    }
    return std::max(1.0, slots * serviceRecord.serviceTimeMs / each.serviceTimeMs);
}

// The slowness with one more request than `load`. Failed requests have to be repeated, which counts as time.
double dispatcher::learnedSlowness(const service_record &serviceRecord, const tracked_upstream &each, double load, steady_time now)
{
    const double utilisation = (load + 1) / std::max(each.report.slots, 1U);
    return each.learned.slowness(utilisation, serviceRecord.pace, now) / std::max(1 - each.failureRate, minSuccessRate);
}

dispatcher::candidate_set dispatcher::candidatesFor(service_record &serviceRecord, const dispatch_request &request, std::uint64_t object, steady_time now) const
{
    const auto evacuated = m_evacuated.get();
    candidate_set set;
    auto &usable = set.usable;
    std::vector<candidate> ejected;
    double allSlots = 0;
    double ejectedSlots = 0;
    usable.reserve(serviceRecord.trackedUpstreams.size());
    for (auto &[instance, each] : serviceRecord.trackedUpstreams) {
        const auto &report = each.report;
        const bool excluded = report.state == upstream_state::draining || report.silent || each.misdirected || each.leaving
            || std::ranges::find(*evacuated, report.domain) != evacuated->end();
        if (excluded || !isRegionAllowed(request.allowedRegions, each.region)) {
            continue;
        }
        const bool isDeferred = now < each.deferredUntil;
        if (!isDeferred && std::ranges::find(request.tried, instance) != request.tried.end()) {
            set.triedAccepts = true;
            continue;
        }
        candidate entry {
            .upstream = &each,
            .home = each.region == m_options.region,
            .cold = now < each.warmupEnd,
            .load = expectedLoad(serviceRecord, each, request.object.has_value(), now),
            .slots = effectiveSlots(serviceRecord, each, now),
            .score = stableHash(instance.view(), request.object.value_or(0)),
        };
        if (m_options.learnUpstreamSpeed) {
            entry.slowness = learnedSlowness(serviceRecord, each, entry.load, now);
            // Without an object, the random score decides among upstreams of about the same cost, so that hosts that know equally little do not all
            // choose the same one.
            entry.score = stableHash(instance.view(), object);
            const double cost = entry.expectedWaitMs(1) + entry.slowness * (1 + utilisationCost * entry.utilisation());
            entry.cost = std::floor(cost / costStep);
        } else {
            entry.cost = entry.utilisation();
        }
        // The rate limit of a cold upstream is divided among the entry hosts of its own region only.
        if (entry.cold && !entry.home) {
            continue;
        }
        allSlots += entry.slots;
        if (isDeferred) {
            entry.load = std::max(entry.load, entry.slots);
            set.deferred.push_back(entry);
            continue;
        }
        // After the ejection time, one request at a time probes the upstream.
        const bool probeInFlight = each.ejections > 0 && each.failureRate > ejectionFailureRate && each.inFlight > 0;
        if (now < each.ejectedUntil || probeInFlight) {
            ejectedSlots += entry.slots;
            ejected.push_back(entry);
        } else {
            usable.push_back(entry);
        }
    }
    if (ejectedSlots > maxEjectedFraction * allSlots) {
        usable.insert(usable.end(), ejected.begin(), ejected.end());
    }
    return set;
}

dispatcher::region_loads dispatcher::loadsOf(const candidate_set &set, steady_time now) const
{
    region_loads loads;
    region_utilisation home(m_options.spill.reportLifetime);
    region_utilisation remote(m_options.spill.reportLifetime);
    std::vector<region_name> regions;
    for (const auto *candidates : {&set.usable, &set.deferred}) {
        for (const auto &each : *candidates) {
            (each.home ? loads.home : loads.remote) += each.load;
            (each.home ? loads.homeSlots : loads.remoteSlots) += each.slots;
            auto &utilisation = each.home ? home : remote;
            const auto &tracked = *each.upstream;
            if (tracked.otherHostsLoadAt == steady_time {}) {
                utilisation.add(each.load, each.slots);
            } else {
                const double reported = std::max(each.load, tracked.inFlight + tracked.otherHostsLoad);
                utilisation.add(each.load, each.slots, reported, now - tracked.otherHostsLoadAt);
            }
            if (std::ranges::find(regions, each.upstream->region) == regions.end()) {
                regions.push_back(each.upstream->region);
            }
        }
    }
    loads.regions = static_cast<std::uint32_t>(regions.size());
    loads.homeUtilisation = home.value();
    loads.remoteUtilisation = remote.value();
    return loads;
}

dispatch_result dispatcher::choose(service_record &serviceRecord, const dispatch_request &request, steady_time now)
{
    const std::uint64_t object = request.object.value_or(m_random.next());
    auto set = candidatesFor(serviceRecord, request, object, now);
    auto &candidates = set.usable;
    const auto loads = loadsOf(set, now);
    serviceRecord.spill.observe(
        {
            .homeLoad = m_options.overflowFromReports ? loads.homeUtilisation * loads.homeSlots : loads.home,
            .homeSlots = loads.homeSlots,
            .othersLoad = m_options.overflowFromReports ? loads.remoteUtilisation * loads.remoteSlots : loads.remote,
            .othersSlots = loads.remoteSlots,
            .regions = loads.regions,
            .hosts = m_regionShare.load().hosts,
            .fleetHosts = m_fleetHosts.load(),
            .serviceTimeMs
            = serviceRecord.serviceTimeMs > 0 ? serviceRecord.serviceTimeMs : initialServiceTimeFactor * static_cast<double>(request.targetLatency.count()),
        },
        now);
    serviceRecord.overflowTokens = std::min(serviceRecord.overflowTokens + overflowTokensPerRequest, maxOverflowTokens);

    const bool spills = loads.homeSlots == 0 || serviceRecord.spill.spills(stableHash("spill", object));
    // Requests with an object prefer upstreams by rendezvous score; others prefer the least utilised.
    std::ranges::sort(candidates, [&](const candidate &a, const candidate &b) {
        if (a.home != b.home) {
            return a.home != spills;
        }
        return request.object || (m_options.learnUpstreamSpeed && a.cost == b.cost) ? a.score > b.score : a.cost < b.cost;
    });
    std::erase_if(candidates, [&](const candidate &each) { return each.cold && !coldRateAllows(serviceRecord, *each.upstream, now); });

    const double usualServiceTimeMs = serviceRecord.serviceTimeMs > 0 ? serviceRecord.serviceTimeMs : defaultServiceTimeMs;
    const double allowedMs = allowedWaitMs(request, usualServiceTimeMs);
    const candidate *chosen = choosePreferred(candidates, spills, usualServiceTimeMs);
    const double waitMs = chosen != nullptr ? chosen->expectedWaitMs(usualServiceTimeMs) : 0;
    auto placement = request.object ? placementOf(chosen, candidates, spills) : object_placement::none;
    if (chosen == nullptr || waitMs > allowedMs) {
        chosen = chooseWithSpareSlots(candidates, spills, serviceRecord.overflowTokens >= 1);
        placement = request.object ? object_placement::spare : object_placement::none;
    }
    if (chosen != nullptr) {
        serviceRecord.overflowTokens -= chosen->home == spills ? 1 : 0;
        return makeGrant(*chosen, request.service, placement, now);
    }
    auto refused = makeErrorAnswer(serviceRecord, request, deferralOf(set, spills, now));
    refused.error = candidates.empty() && set.deferred.empty() ? errc::noUpstream : errc::overloaded;
    refused.load = loads.home + loads.remote;
    refused.slots = loads.homeSlots + loads.remoteSlots;
    refused.wait = milliseconds(static_cast<std::int64_t>(waitMs));
    refused.allowedWait = milliseconds(static_cast<std::int64_t>(allowedMs));
    return refused;
}

object_placement dispatcher::placementOf(const candidate *preferred, std::span<const candidate> candidates, bool spills)
{
    const auto first = std::ranges::find_if(candidates, [spills](const candidate &each) { return each.home != spills; });
    return first == candidates.end() || preferred == &*first ? object_placement::first : object_placement::second;
}

dispatch_grant dispatcher::makeGrant(const candidate &chosen, const service_name &service, object_placement placement, steady_time now) const
{
    bool hadFreeSlot = chosen.hasFreeSlot();
    if (m_options.learnUpstreamSpeed) {
        // The learned limit may be lower than the number of requests that run without queueing.
        hadFreeSlot = chosen.load + 1 <= std::max(chosen.upstream->report.slots, 1U);
        if (hadFreeSlot && !chosen.cold) {
            chosen.upstream->learned.onStarted(now);
        }
    }
    if (chosen.cold) {
        chosen.upstream->coldShare.take(now);
    }
    ++chosen.upstream->inFlight;
    const auto &report = chosen.upstream->report;
    return {
        .service = service,
        .instance = report.instance,
        .incarnation = report.incarnation,
        .address = report.address,
        .region = chosen.upstream->region,
        .grantedAt = now,
        .hadFreeSlot = hadFreeSlot && !chosen.cold,
        .placement = placement,
    };
}

// Each object has two preferred upstreams, where it is warm or soon will be. The second serves it when the wait at the first is
// longer by a fraction of the service time. Spreading it over more upstreams would make it cold everywhere just when slots are
// scarce.
const dispatcher::candidate *dispatcher::choosePreferred(std::span<const candidate> candidates, bool spills, double serviceTimeMs)
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
    if (second != nullptr && second->expectedDelayMs(serviceTimeMs) + secondChoicePenalty * serviceTimeMs < first->expectedDelayMs(serviceTimeMs)) {
        return second;
    }
    return first;
}

// Chooses any upstream with spare slots although the object is cold there. Upstreams on the side, home or remote, to which the
// object is assigned come first.
const dispatcher::candidate *dispatcher::chooseWithSpareSlots(std::span<const candidate> candidates, bool spills, bool mayLeave)
{
    const candidate *best = nullptr;
    for (const auto &each : candidates) {
        const bool onAssignedSide = each.home != spills;
        const bool hasSpareSlots = each.hasFreeSlot() && each.utilisation() < spareUtilisation;
        if (!hasSpareSlots || (!onAssignedSide && !mayLeave)) {
            continue;
        }
        const bool better = best == nullptr || (onAssignedSide && best->home == spills) || (onAssignedSide == (best->home != spills) && each.cost < best->cost);
        if (better) {
            best = &each;
        }
    }
    return best;
}

// The wait after which the response can still be in time, but at least a fraction of the usual service time. More urgent requests
// may wait longer.
double dispatcher::allowedWaitMs(const dispatch_request &request, double serviceTimeMs)
{
    const double slackMs = static_cast<double>((request.targetLatency - request.elapsed).count()) - serviceTimeMs;
    const double limitMs = static_cast<double>(request.remaining.count()) - serviceTimeMs;
    return std::min(std::max(slackMs, minWaitFraction * serviceTimeMs) * waitFactorOf(request.priority), limitMs);
}

bool dispatcher::coldRateAllows(const service_record &serviceRecord, tracked_upstream &cold, steady_time now) const
{
    return cold.coldShare.allows(coldRateFraction * serviceRecord.coldPerSecond, m_regionShare, cold.warmupEnd, now);
}

// Returns the time until the first upstream accepts requests again when all upstreams for the request, or all on the side to which it is
// assigned, are deferred; 0 otherwise.
milliseconds dispatcher::deferralOf(const candidate_set &set, bool spills, steady_time now)
{
    const auto isAssigned = [spills](const candidate &each) { return each.home != spills; };
    if (set.triedAccepts || std::ranges::any_of(set.usable, isAssigned)) {
        return milliseconds(0);
    }
    steady_time end = steady_time::max();
    for (const auto &each : set.deferred) {
        if (set.usable.empty() || isAssigned(each)) {
            end = std::min(end, each.upstream->deferredUntil);
        }
    }
    return end == steady_time::max() ? milliseconds(0) : std::chrono::ceil<milliseconds>(end - now);
}

// Jitter spreads the retries of callers that are rejected together over the time that a slot takes to become free. A deferral that lasts
// longer than the caller waits is not told in full: another host may serve the retry.
dispatch_refusal dispatcher::makeErrorAnswer(const service_record &serviceRecord, const dispatch_request &request, milliseconds deferral) const
{
    const double usualServiceTimeMs = serviceRecord.serviceTimeMs > 0 ? serviceRecord.serviceTimeMs : defaultServiceTimeMs;
    const double jitter = static_cast<double>(m_random.below(1000)) / 1000;
    double delayMs = std::clamp(usualServiceTimeMs * (0.5 + jitter), minRetryAfterMs, maxRetryAfterMs);
    if (deferral > milliseconds(0)) {
        const auto wantedMs = static_cast<double>(deferral.count()) + usualServiceTimeMs * jitter;
        const auto limitMs = deferral < request.remaining ? static_cast<double>(request.remaining.count()) : maxRetryAfterMs;
        delayMs = std::max(minRetryAfterMs, std::min(wantedMs, limitMs));
    }
    return {.error = errc::overloaded, .retryAfter = milliseconds(static_cast<std::int64_t>(delayMs))};
}

std::optional<milliseconds> dispatcher::finish(const dispatch_grant &grant, dispatch_outcome end, const std::optional<load_report> &load)
{
    const auto now = m_clock.now();
    return m_records.with(stableHash(grant.service.view()), [&](service_records &all) -> std::optional<milliseconds> {
        auto &serviceRecord = recordOf(all, grant.service);
        auto *found = trackedUpstreamOf(serviceRecord, grant);
        if (found == nullptr) {
            return std::nullopt;
        }
        auto &tracked = *found;
        tracked.inFlight -= std::min(tracked.inFlight, 1U);
        if (load) {
            const double others = static_cast<double>(load->running + load->waiting) - tracked.inFlight;
            tracked.otherHostsLoad = std::max(0.0, others);
            tracked.otherHostsLoadAt = now;
            serviceRecord.meanUtilisation
                = smooth(serviceRecord.meanUtilisation, std::min(tracked.otherHostsLoad / std::max(tracked.report.slots, 1U), maxReportedUtilisation));
            serviceRecord.meanUtilisationAt = now;
        }
        if (m_options.learnUpstreamSpeed) {
            learn(serviceRecord, tracked, grant, end, load, estimatedLoad(tracked, now), now);
        }
        // With objects, requests that queue are often the cold ones. Without them, the longer durations rightly shorten the allowed wait.
        const bool mayHaveWaited = m_options.learnUpstreamSpeed && grant.placement != object_placement::none && load && load->waiting > 0;
        if (end == dispatch_outcome::answered && grant.hadFreeSlot && !mayHaveWaited) {
            const double durationMs = toMilliseconds(now - grant.grantedAt);
            tracked.serviceTimeMs = smooth(tracked.serviceTimeMs, durationMs);
            serviceRecord.serviceTimeMs = smooth(serviceRecord.serviceTimeMs, durationMs);
        }
        return updateEjection(tracked, end, estimatedLoad(tracked, now), now);
    });
}

void dispatcher::learn(service_record &serviceRecord, tracked_upstream &tracked, const dispatch_grant &grant, dispatch_outcome end,
                       const std::optional<load_report> &load, double upstreamLoad, steady_time now)
{
    const auto slowness = load ? plausibleSlowness(load->slowness) : std::nullopt;
    if (slowness) {
        tracked.learned.report(*slowness, now);
    }
    if (!grant.hadFreeSlot) {
        return;
    }
    tracked.learned.onEnded(grant.grantedAt);
    const double maxWaitingPerSlot = grant.placement == object_placement::none ? maxWaitingWithoutObject : maxWaitingWithObject;
    const bool isLowerBound = end == dispatch_outcome::timedOut;
    if ((end != dispatch_outcome::answered && !isLowerBound) || (load && load->waiting > maxWaitingPerSlot * tracked.report.slots)) {
        return;
    }
    tracked.learned.record({.placement = grant.placement,
                            .durationMs = toMilliseconds(now - grant.grantedAt),
                            .utilisation = (upstreamLoad + 1) / std::max(tracked.report.slots, 1U),
                            .slowness = slowness,
                            .isLowerBound = isLowerBound},
                           serviceRecord.pace, now);
    recordLimit(serviceRecord, tracked, now);
}

void dispatcher::recordLimit(service_record &serviceRecord, tracked_upstream &tracked, steady_time now)
{
    const auto slots = std::max(tracked.report.slots, 1U);
    const double limit = tracked.learned.limit(slots, serviceRecord.pace, now);
    const bool isLimited = tracked.isLimited ? limit < recoveredFraction * slots : limit <= limitedFraction * slots;
    if (std::exchange(tracked.isLimited, isLimited) != isLimited && serviceRecord.limitChanges.size() < maxLimitChanges) {
        serviceRecord.limitChanges.push_back(
            {.service = tracked.report.service, .instance = tracked.report.instance, .limit = limit, .slots = slots, .isLimited = isLimited});
    }
}

std::optional<milliseconds> dispatcher::updateEjection(tracked_upstream &tracked, dispatch_outcome end, double load, steady_time now)
{
    bool failed = false;
    switch (end) {
    case dispatch_outcome::answered:
        break;
    case dispatch_outcome::abandoned:
        return std::nullopt;
    case dispatch_outcome::misdirected:
        tracked.misdirected = true;
        return std::nullopt;
    case dispatch_outcome::shed:
        // A full upstream sheds load legitimately. Shedding while its last report shows free slots counts as a failure.
        if (load >= tracked.report.slots) {
            return std::nullopt;
        }
        failed = true;
        break;
    case dispatch_outcome::failed:
    case dispatch_outcome::unreachable:
    case dispatch_outcome::broke:
    case dispatch_outcome::timedOut:
        failed = true;
        break;
    }
    tracked.failureRate += smoothingFactor * ((failed ? 1.0 : 0.0) - tracked.failureRate);
    if (end == dispatch_outcome::unreachable) {
        tracked.failureRate = std::max(tracked.failureRate, ejectionFailureRate + smoothingFactor);
    }
    if (!failed) {
        if (tracked.failureRate < ejectionFailureRate) {
            tracked.ejections = 0;
        }
        return std::nullopt;
    }
    if (tracked.failureRate > ejectionFailureRate && now >= tracked.ejectedUntil) {
        const milliseconds ejectionTime = initialEjection * (1U << std::min(tracked.ejections, maxEjectionDoublings));
        tracked.ejectedUntil = now + ejectionTime;
        ++tracked.ejections;
        return ejectionTime;
    }
    return std::nullopt;
}

bool dispatcher::markLeaving(const dispatch_grant &grant)
{
    return m_records.with(stableHash(grant.service.view()), [&](service_records &all) {
        auto *tracked = trackedUpstreamOf(recordOf(all, grant.service), grant);
        return tracked != nullptr && !std::exchange(tracked->leaving, true);
    });
}

bool dispatcher::defer(const dispatch_grant &grant, milliseconds retryAfter)
{
    const auto now = m_clock.now();
    const auto until = now + retryAfter;
    return m_records.with(stableHash(grant.service.view()), [&](service_records &all) {
        auto *tracked = trackedUpstreamOf(recordOf(all, grant.service), grant);
        if (tracked == nullptr || until <= std::max(now, tracked->deferredUntil)) {
            return false;
        }
        tracked->deferredUntil = until;
        return true;
    });
}

void dispatcher::markCold(const service_name &service, const instance_name &instance, milliseconds left)
{
    const auto now = m_clock.now();
    m_records.with(stableHash(service.view()), [&](service_records &all) {
        auto &trackedUpstreams = recordOf(all, service).trackedUpstreams;
        const auto found = trackedUpstreams.find(instance);
        if (found != trackedUpstreams.end()) {
            found->second.warmupEnd = std::max(found->second.warmupEnd, now + left);
        }
    });
}

std::vector<std::string> dispatcher::probeTargets() const
{
    constexpr std::size_t maxTargetsPerDomain = 2;
    std::map<domain_name, std::vector<std::string>> byDomain;
    m_records.forEach([&](const service_records &all) {
        for (const auto &[service, serviceRecord] : all) {
            for (const auto &[instance, each] : serviceRecord.trackedUpstreams) {
                if (!each.report.silent && !each.misdirected && !each.leaving && each.report.state != upstream_state::draining) {
                    byDomain[each.report.domain].push_back(each.report.address);
                }
            }
        }
    });
    std::vector<std::string> addresses;
    for (auto &[domain, candidates] : byDomain) {
        for (std::size_t i = 0; i < std::min(candidates.size(), maxTargetsPerDomain); ++i) {
            std::swap(candidates[i], candidates[i + m_random.below(candidates.size() - i)]);
            addresses.push_back(candidates[i]);
        }
    }
    return addresses;
}

milliseconds dispatcher::usualServiceTime(const service_name &service) const
{
    return m_records.with(stableHash(service.view()), [&](const service_records &all) {
        const auto found = all.find(service);
        return milliseconds(found == all.end() ? 0 : static_cast<std::int64_t>(std::lround(found->second.serviceTimeMs)));
    });
}

std::vector<dispatcher::limit_change> dispatcher::takeLimitChanges()
{
    std::vector<limit_change> changes;
    m_records.forEach([&](service_records &all) {
        for (auto &[service, serviceRecord] : all) {
            std::ranges::move(serviceRecord.limitChanges, std::back_inserter(changes));
            serviceRecord.limitChanges.clear();
        }
    });
    return changes;
}

std::vector<dispatcher::service_stats> dispatcher::serviceStats() const
{
    const auto now = m_clock.now();
    std::vector<service_stats> serviceStats;
    m_records.forEach([&](const service_records &all) {
        for (const auto &[service, serviceRecord] : all) {
            const auto &spill = serviceRecord.spill;
            service_stats stats {
                .service = service, .spilled = spill.share(), .homeUtilisation = spill.homeUtilisation(), .othersUtilisation = spill.othersUtilisation()};
            for (const auto &[instance, each] : serviceRecord.trackedUpstreams) {
                if (each.region != m_options.region) {
                    continue;
                }
                stats.slots += each.report.slots;
                stats.inUse += estimatedLoad(each, now);
                stats.ejected += now < each.ejectedUntil ? 1 : 0;
                if (m_options.learnUpstreamSpeed) {
                    const auto slots = std::max(each.report.slots, 1U);
                    include(stats.limits, each.learned.limit(slots, serviceRecord.pace, now) / slots);
                    include(stats.slowness, each.learned.slowness(0, serviceRecord.pace, now));
                }
            }
            serviceStats.push_back(stats);
        }
    });
    return serviceStats;
}

} // namespace hornbeampick
