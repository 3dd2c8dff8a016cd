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
    // Allowed delay of an answer beyond its deadline, for the return path and scheduling on a busy test machine.
    milliseconds answerSlack {1500};
    // Minimum fraction of the final requests that must be served.
    double servedAtEnd = 0.25;
};

/// A violation of an invariant, with the evidence for it.
struct finding {
    std::string invariant;
    std::string what;
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
