#pragma once

#include "core/clock.h"
#include "core/names.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace hornbeampick
{

/// The limit of one organisation, summed over all entry hosts.
struct quota_rule {
    organisation_name organisation;
    // Requests per second; 0: no limit.
    double perSecond = 0;
    // Requests that may exceed the rate at once.
    double burst = 0;
};

/// Bounds of the requests that may run in any window, and the parts into which the excess over the window's refill is divided.
///
/// A window may run (rate x window + burst) x (1 + overage) + tolerance. The excess over rate x window + burst is divided between
/// tokens that were granted before the window and are spent in it (`heldTime`), refill that waits for the next draw
/// (`accumulation`), and requests that were admitted before they were reported (`totalDebt`).
struct quota_options {
    milliseconds window {5000};
    double overage = 0.1;
    // Requests.
    double tolerance = 20;

    /// Longest time from the sending of a draw to the expiry of its tokens. A longer one would break the bound of a window: tokens
    /// of one whole second, unspent at its start, add rate x 1 s to it, twice the overage of a window of 5 s.
    [[nodiscard]] milliseconds heldTime() const
    {
        return excessTime(heldShare);
    }

    /// Capacity of the central bucket in requests. Exceeds the burst by the refill that accumulates between two draws, and is at least 1.
    [[nodiscard]] double capacityOf(const quota_rule &rule) const
    {
        return std::max(1.0, rule.burst + rule.perSecond * secondsOf(excessTime(accumulationShare)));
    }

    /// Requests that all hosts together may admit without a token before they report them. A new grantor does not know the debts that were
    /// reported to its predecessor, so that twice the constant part stays under the tolerance.
    [[nodiscard]] double totalDebt(const quota_rule &rule) const
    {
        return tolerance * debtToleranceShare + (rule.perSecond * secondsOf(window) + rule.burst) * overage * debtOverageShare;
    }

    [[nodiscard]] static double secondsOf(std::chrono::nanoseconds time)
    {
        return std::chrono::duration<double>(time).count();
    }

private:
    static constexpr double heldShare = 0.7;
    static constexpr double accumulationShare = 0.2;
    static constexpr double debtOverageShare = 0.08;
    static constexpr double debtToleranceShare = 0.4;

    [[nodiscard]] milliseconds excessTime(double share) const
    {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(window.count()) * overage * share));
    }
};

/// Share of its equal part of a limit that a host uses when it hears no grantor, and that the grantor withholds for it.
constexpr double quotaFloorShare = 0.8;

/// What a host reports and wants for one organisation.
struct quota_claim {
    organisation_name organisation;
    // Requests admitted without a token since the last draw whose answer was received.
    std::uint32_t spent = 0;
    // Tokens that expired unspent or were refunded, since the same draw.
    std::uint32_t returned = 0;
    // Tokens to draw.
    std::uint32_t wanted = 0;
};

/// A request for tokens of one host.
struct quota_draw {
    host_name host;
    // Identifies a start of the host.
    std::uint64_t incarnation = 0;
    // Increases with each draw of an incarnation; starts at 1.
    std::uint64_t number = 0;
    // Number of the last draw whose answer was received; 0: none.
    std::uint64_t lastAnswered = 0;
    std::vector<quota_claim> claims;
};

struct quota_grant {
    organisation_name organisation;
    std::uint32_t tokens = 0;
    // Time until the bucket is expected to have a token again; 0 when it has one.
    milliseconds retryAfter {0};
};

struct quota_answer {
    // Number of the draw that is answered.
    std::uint64_t number = 0;
    // False when the answering host is not the grantor, or the draw was superseded.
    bool isGranting = false;
    std::vector<quota_grant> grants;
};

} // namespace hornbeampick
