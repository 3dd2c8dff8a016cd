#pragma once

#include "core/shards.h"
#include "limits/quota_types.h"

#include <array>
#include <atomic>
#include <deque>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>

namespace hornbeampick
{

struct account_options {
    quota_options quota {};
    // Time from the sending of a draw to the expiry of its tokens; at most `quota_options::heldTime`.
    milliseconds tokenLifetime {350};
    // Time without an answer of a grantor after which the host uses its floor.
    milliseconds floorAfter {600};
    // Demand for this time is drawn ahead; at most the lifetime of tokens.
    milliseconds prefetch {300};
};

enum class quota_verdict {
    admitted,
    // A draw may still bring a token soon; ask again, for at most 600 ms.
    pending,
    refused,
};

struct quota_decision {
    quota_verdict verdict = quota_verdict::admitted;
    // For refused requests: time after which a token is expected, with jitter.
    milliseconds retryAfter {0};
};

/// An entry host's side of quotas: holds the tokens drawn from the grantor and decides about each request.
///
/// Thread-safe; one lock per shard of organisations. All time points are from the clock that includes suspended time.
class quota_account
{
public:
    explicit quota_account(const account_options &options);

    /// Sets the limits in force. Organisations that are not listed or have no limit are admitted without counting.
    void setRules(std::span<const quota_rule> rules);

    /// Sets the number of entry hosts of the fleet and the place of this host among them, from 0. The largest number of the last 30 s
    /// divides debts and floors, because other hosts may know a smaller number or none.
    void setHosts(std::uint32_t hosts, std::uint32_t place, steady_time now);

    /// Decides about one request. `isRepeat`: the same request has been `pending` before.
    quota_decision take(const organisation_name &organisation, steady_time now, bool isRepeat = false);

    /// Gives back the token of an admitted request that was not executed.
    void refund(const organisation_name &organisation, steady_time now);

    /// Returns the next draw to send, or nothing when there is nothing to ask or report. Answers to earlier draws are ignored from now on.
    std::optional<quota_draw> makeDraw(const host_name &host, std::uint64_t incarnation, steady_time now);

    /// Takes in the answer to the draw that was made at `drawnAt`.
    void apply(const quota_answer &answer, steady_time drawnAt, steady_time now);

    /// True when an organisation with demand has nearly no tokens and a draw made now may bring some.
    [[nodiscard]] bool isUrgent(steady_time now) const;

    /// True when no grantor has answered for so long that the host uses its floors.
    [[nodiscard]] bool isOnFloor(steady_time now) const;

private:
    static constexpr std::size_t waitingSlots = 12;

    // The tokens of one draw.
    struct token_batch {
        steady_time expiresAt {};
        std::uint32_t tokens = 0;
    };

    struct holding {
        quota_rule rule;
        double totalDebt = 0;
        double capacity = 0;
        // The organisation is in the list of active ones.
        bool isActive = false;

        // In the order of expiry. Few, and a vector needs no memory while it is empty.
        std::vector<token_batch> batches;
        std::uint32_t tokens = 0;
        // Since the last answered draw, and the part of it that the last draw reported.
        std::uint32_t spent = 0;
        std::uint32_t reportedSpent = 0;
        std::uint32_t returned = 0;
        std::uint32_t reportedReturned = 0;
        std::uint32_t wanted = 0;

        // The last answer left tokens in the bucket, so that debt is allowed.
        bool mayOwe = false;
        bool isScarce = false;
        // Time at which the bucket is expected to have a token.
        steady_time scarceUntil {};
        std::uint32_t lastGranted = 0;

        // Requests per second, smoothed exponentially.
        double rate = 0;
        steady_time rateAt {};
        // Requests since the last draw, and the time of the first of them.
        std::uint32_t arrivals = 0;
        steady_time arrivalsSince {};
        bool hasUnmetDemand = false;
        // Pending requests by the time slot of their arrival.
        std::array<std::uint32_t, waitingSlots> waiting {};
        std::int64_t waitingSlot = 0;

        // Begin of the floor mode to which the level belongs.
        steady_time floorSince {};
        steady_time floorAt {};
        double floorLevel = 0;
    };

    struct shard_state {
        std::unordered_map<organisation_name, holding> holdings;
        std::vector<organisation_name> active;
    };

    struct fleet_place {
        std::uint32_t hosts = 1;
        std::uint32_t place = 0;
    };

    struct host_count {
        steady_time heardAt {};
        std::uint32_t hosts = 0;
    };

    [[nodiscard]] fleet_place currentPlace() const;
    // Returns the begin of the floor mode when the host is in it.
    [[nodiscard]] std::optional<steady_time> floorSince(steady_time now) const;
    static void activate(shard_state &state, holding &used);
    static void expireTokens(holding &held, steady_time now);
    static void countArrival(holding &held, steady_time now);
    static void advanceWaiting(holding &held, steady_time now);
    static void stopWaiting(holding &held);
    static std::uint32_t waitingCount(const holding &held);
    static double demandOf(const holding &held, steady_time now);
    [[nodiscard]] bool takeFromFloor(holding &held, steady_time since, steady_time now) const;
    quota_decision decideWithoutToken(holding &held, steady_time now, bool isRepeat);
    void requestDrawFrom(steady_time time);
    // Fills in a claim. Returns false when there is nothing to claim.
    bool fillClaim(holding &held, quota_claim &claim, steady_time now) const;

    account_options m_options;
    shards<shard_state> m_shards;
    std::atomic<bool> m_hasRules {false};

    // Number of hosts in the upper half, place in the lower.
    std::atomic<std::uint64_t> m_place;
    // Time points in ticks of the clock. Written under `m_drawLock` except `m_urgentFrom`.
    std::atomic<std::int64_t> m_unansweredSince;
    std::atomic<std::int64_t> m_lastDrawAt;
    std::atomic<std::int64_t> m_debtFrom;
    std::atomic<std::int64_t> m_urgentFrom;
    std::atomic<bool> m_isDrawOpen {false};

    // Draws and host counts. Taken before the lock of a shard, never after.
    std::mutex m_drawLock;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_lastAnswered = 0;
    std::vector<organisation_name> m_lastClaims;
    std::deque<host_count> m_hostCounts;
};

} // namespace hornbeampick
