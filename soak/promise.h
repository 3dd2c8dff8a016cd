#pragma once

#include "record.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick::soak
{

/// Times within which the system promises something; the users' bounds.
struct promise_bounds {
    milliseconds contact {4000};
    milliseconds drain {2500};
    milliseconds routesInForce {2500};
    // Beyond a caller's deadline: the way back, and a busy test machine's scheduling.
    milliseconds answerSlack {1500};
    // Part of the last requests that must be served.
    double servedAtEnd = 0.25;
};

/// A promise that was not kept, with what shows it.
struct finding {
    std::string promise;
    std::string what;
};

/// Something that the system promises, judged from what callers, upstreams and operators saw.
class promise
{
public:
    virtual ~promise() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    [[nodiscard]] virtual std::vector<finding> judge(const soak_record &seen, const promise_bounds &bounds) const = 0;
};

/// Every promise that the soak checks.
std::vector<std::unique_ptr<promise>> allPromises();

/// The findings of all promises.
std::vector<finding> judgeAll(const soak_record &seen, const promise_bounds &bounds = {});

/// True when the host, and the control hosts, were left alone for the time of contact before `at`.
bool wasInTouch(const soak_record &seen, std::string_view host, steady_time at, const promise_bounds &bounds);

} // namespace hornbeampick::soak
