#pragma once

#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "core/published.h"
#include "core/random_source.h"
#include "core/shards.h"
#include "core/topology.h"
#include "fleet/upstream_directory.h"
#include "rules/routing_table.h"
#include "steering/spill_share.h"
#include "steering/window_limiter.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeampick
{

/// What the choice of an upstream depends on, for one attempt of a request.
struct dispatch_request {
    service_name service;
    // Hash of the object that the request is about; empty when it names none.
    std::optional<std::uint64_t> object;
    // 0 is the most urgent.
    std::uint32_t rank = 0;
    milliseconds targetLatency {0};
    // Since the request arrived.
    milliseconds elapsed {0};
    // Until the caller, or the operator, no longer wants it.
    milliseconds remaining {0};
    // Empty: all.
    std::span<const region_name> allowedRegions;
    // Upstreams that did not run it.
    std::span<const instance_name> tried;
};

/// An upstream that a request may be sent to now. Handed back by `finish`.
struct dispatch_grant {
    service_name service;
    instance_name instance;
    std::uint64_t incarnation = 0;
    std::string address;
    steady_time grantedAt {};
    // A slot was free, as far as known: the time that the answer takes is work.
    bool slotFree = false;
};

/// The request was not sent anywhere. `retryAfter`: when room is expected.
struct dispatch_refusal {
    errc error = errc::overloaded;
    milliseconds retryAfter {0};
    // What decided: requests and slots at the upstreams that could have taken it, the shortest wait, and the longest that
    // would still have been in time.
    double load = 0;
    double slots = 0;
    milliseconds wait {0};
    milliseconds allowedWait {0};
};

using dispatch_verdict = std::variant<dispatch_grant, dispatch_refusal>;

/// What an upstream says of its load in an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

enum class dispatch_end {
    // The upstream's own answer, complete.
    answered,
    // An answer of its own that says it failed.
    failed,
    // It said that it has not run the request.
    shed,
    // Another instance holds the address.
    misdirected,
    // No connection came about; nothing was sent.
    unreachable,
    // The connection ended before a whole answer, or carried something else.
    broke,
    // No answer in time.
    timedOut,
    // The caller left, or the request ended for a reason that says nothing of the upstream.
    abandoned,
};

std::string_view textOf(dispatch_end end);

struct dispatcher_options {
    // Where this host stands.
    region_name region;
    spill_options spill {};
};

/// Chooses the upstream of each request and turns away what cannot be served in time.
///
/// Load patterns it answers: objects that are served faster where they were served before (rendezvous hashing,
/// bounded by free slots); a region whose callers need more than its slots for long (`spill_share`); short
/// bursts (a bounded wait at the upstream, as long as the answer can still be in time, longer for more urgent
/// requests); cold, slow, failing and silent upstreams. Thread-safe, a lock a shard of services.
class dispatcher
{
public:
    dispatcher(const dispatcher_options &options, const topology &fleet, clock_source &clock, random_source &random);

    /// What is known of all upstreams now.
    void setUpstreams(std::span<const known_upstream> upstreams);
    void setServices(std::span<const routed_service> services);
    /// Failure domains whose upstreams get no work.
    void setEvacuated(std::span<const domain_name> domains);
    /// Entry hosts that share the limits of a region's cold upstreams.
    void setHostsInRegion(std::uint32_t hosts);

    dispatch_verdict take(const dispatch_request &request);
    /// Returns for how long the upstream is set aside when this end decided that.
    std::optional<milliseconds> finish(const dispatch_grant &grant, dispatch_end end, const std::optional<load_report> &load);

    /// An upstream said how long it stays cold.
    void noteCold(const service_name &service, const instance_name &instance, milliseconds left);

    struct service_view {
        service_name service;
        std::uint32_t slots = 0;
        double inUse = 0;
        double spilled = 0;
        std::uint32_t ejected = 0;
    };
    /// For metrics: the home region of each service.
    [[nodiscard]] std::vector<service_view> views() const;

private:
    struct lane {
        upstream_report report;
        region_name region;
        steady_time coldUntil {};
        // Own requests there.
        std::uint32_t inFlight = 0;
        // Requests of other hosts, by the upstream's last answer.
        double foreign = 0;
        steady_time foreignAt {};
        // Smoothed; 0: none yet.
        double workMs = 0;
        // Smoothed part of attempts that failed.
        double failing = 0;
        std::uint32_t ejections = 0;
        steady_time ejectedUntil {};
        // Another instance answered at its address.
        bool misdirected = false;
        window_limiter coldLimit;
    };
    struct service_board {
        spill_share spill;
        std::map<instance_name, lane> lanes {};
        double workMs = 0;
        double coldPerSecond = 0;
        milliseconds warmup {0};
        // Requests that may leave the region beside the smooth share, since a slot is free elsewhere only.
        double overflowTokens = 0;
    };
    using boards = std::map<service_name, service_board>;
    struct candidate;
    // Requests at usable upstreams of the home region and of the others, and their slots.
    struct region_loads {
        double home = 0;
        double homeSlots = 0;
        double far = 0;
        double farSlots = 0;
        std::uint32_t regions = 0;
    };

    [[nodiscard]] service_board &boardOf(boards &all, const service_name &service) const;
    [[nodiscard]] std::vector<candidate> candidatesFor(service_board &board, const dispatch_request &request, steady_time now) const;
    [[nodiscard]] double estimate(const lane &each, steady_time now) const;
    [[nodiscard]] double usableSlots(const service_board &board, const lane &each) const;
    [[nodiscard]] static region_loads loadsOf(std::span<const candidate> candidates);
    [[nodiscard]] static dispatch_grant grantAt(const candidate &chosen, const service_name &service, steady_time now);
    dispatch_verdict choose(service_board &board, const dispatch_request &request, steady_time now);
    [[nodiscard]] static const candidate *chooseKept(std::span<const candidate> candidates, bool spills, double workMs);
    [[nodiscard]] static const candidate *chooseSpare(std::span<const candidate> candidates, bool spills, bool mayLeave);
    [[nodiscard]] static double allowedWaitMs(const dispatch_request &request, double workMs);
    [[nodiscard]] bool mayTakeCold(const service_board &board, lane &cold, steady_time now) const;
    dispatch_refusal refusal(const service_board &board) const;
    static std::optional<milliseconds> judge(lane &used, dispatch_end end, double load, steady_time now);
    void place(const known_upstream &known, steady_time now);

    dispatcher_options m_options;
    const topology &m_fleet;
    clock_source &m_clock;
    random_source &m_random;
    shards<boards> m_boards;
    std::atomic<std::uint32_t> m_hostsInRegion {4};
    published<std::vector<domain_name>> m_evacuated;
};

} // namespace hornbeampick
