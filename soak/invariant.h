#pragma once

#include "record.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick::soak
{

/// Time bounds and thresholds of the invariants, as required by the users.
struct invariant_bounds {
    // Time after a disturbance during which a host, or any host after one of a control host, may still lag behind.
    milliseconds settlingTime {4000};
    milliseconds drain {2500};
    milliseconds routesInForce {2500};
    milliseconds evacuation {5000};
    // Allowed delay of an answer beyond its deadline, for the return path and scheduling on a busy test machine.
    milliseconds answerSlack {1500};
    // Time from SIGTERM until a host is killed, and the time after it in which the end of its connections is still put down to the stop.
    milliseconds stopGrace {6000};
    milliseconds stopSlack {1000};
    // A host may give up what an upstream still works on this long after SIGTERM, if the request was sent early enough after it.
    milliseconds stopWorkLimit {5000};
    milliseconds stopSendLimit {3000};
    // Time after an unplanned fault in which hosts may still act on what was true before it.
    milliseconds contact {3000};
    // Timeout of the routes that the soak submits.
    milliseconds routeTimeout {3000};
    // Minimum fraction of the requests that an entry host without a path to upstreams serves through others, and the number of requests
    // from which on it is checked.
    double servedWithoutUpstreams = 0.6;
    std::size_t minRequestsToJudge = 10;
    // Minimum fraction of the final requests that must be served.
    double servedAtEnd = 0.25;
};

/// A violation of an invariant, with the evidence for it.
struct finding {
    std::string invariant;
    std::string what;
    // Id of the request concerned; empty if there is none.
    std::string request {};
};

/// An invariant of the system, checked against the observations of clients, upstreams and operators.
class invariant
{
public:
    virtual ~invariant() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// Returns all violations in the record.
    [[nodiscard]] virtual std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const = 0;
};

/// Creates all invariants that the soak test checks.
std::vector<std::unique_ptr<invariant>> allInvariants();

/// Returns the findings of all invariants.
std::vector<finding> checkAll(const soak_record &seen, const invariant_bounds &bounds = {});

/// Returns true if neither `host` nor any control host was disturbed at `at` or within invariant_bounds::settlingTime before it.
bool wasUndisturbed(const soak_record &seen, std::string_view host, steady_time at, const invariant_bounds &bounds);

} // namespace hornbeampick::soak
