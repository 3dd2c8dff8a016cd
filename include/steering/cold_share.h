#pragma once

#include "core/clock.h"
#include "steering/window_limiter.h"

#include <cstdint>
#include <optional>

namespace hornbeampick
{

/// The position of this host among the hosts that share a rate.
struct share_of_hosts {
    std::uint32_t hosts = 1;
    // 0 to `hosts` - 1; different on each host.
    std::uint32_t index = 0;
};

/// The share of one host in the rate that a cold upstream bears, which all hosts of its region keep together.
///
/// A share of at least one request a second is a rate of its own. Below that, hosts take turns: time is divided into turns that are counted from
/// the end of the warm-up, which all hosts know, and in each turn one host may send one request. Not thread-safe.
class cold_share
{
public:
    /// Requests a second that a cold upstream gets at least from all hosts together, when there is demand. Up to this number of hosts, each may send
    /// one a second.
    static constexpr std::uint32_t minRate = 7;

    /// Returns true when a request may be sent now. `rate` is that of all hosts together, in requests a second.
    [[nodiscard]] bool allows(double rate, const share_of_hosts &share, steady_time warmupEnd, steady_time now);
    /// Counts a request that is sent after `allows` has returned true for the same time.
    void take(steady_time now);

private:
    window_limiter m_limiter;
    // The turn that `allows` has found last, and the last one that was used.
    std::optional<std::int64_t> m_turn;
    std::optional<std::int64_t> m_usedTurn;
};

} // namespace hornbeampick
