#pragma once

#include "core/shards.h"
#include "limits/quota_types.h"

#include <array>
#include <atomic>
#include <mutex>
#include <span>
#include <unordered_map>

namespace hornbeampick
{

/// Entry hosts of the fleet, as far as the grantor knows.
struct fleet_presence {
    std::uint32_t hosts = 1;
    // Hosts without contact for 0.8 s; they may use their floors.
    std::uint32_t absent = 0;
};

/// State of one organisation for metrics and the command line.
struct quota_statistics {
    organisation_name organisation;
    // The limit.
    double perSecond = 0;
    // Tokens in the bucket at the last draw; negative: reported debt.
    double level = 0;
    // Tokens granted in the last complete second with draws.
    double grantedPerSecond = 0;
    // Tokens wanted but not granted since the start of the process.
    std::uint64_t refused = 0;
};

/// The grantor's side of quotas: one token bucket per organisation, from which the entry hosts draw.
///
/// Tokens that a host returns, or that a lost answer granted, are put back as if they had not been granted: only as far as the bucket
/// would not have overflowed with them in the meantime.
///
/// Thread-safe; one lock per shard of organisations and per shard of hosts. All time points are from the clock that includes
/// suspended time.
class quota_ledger
{
public:
    explicit quota_ledger(const quota_options &options);

    /// Sets the limits in force. A lowered limit clips the level; organisations that are not listed or have no limit are dropped.
    void setRules(std::span<const quota_rule> rules);

    /// Starts granting with empty buckets, which fill from `since` plus the lifetime of a predecessor's tokens (1 s).
    void lead(steady_time since);
    void stopLeading();

    /// Takes in the reports of a draw and grants tokens. The answer is not granting when this host does not lead or has seen a later
    /// draw of the host.
    quota_answer settle(const quota_draw &draw, const fleet_presence &fleet, steady_time now);

    /// Returns the state of all organisations, sorted by name.
    [[nodiscard]] std::vector<quota_statistics> statistics() const;
    /// Number of hosts with a record.
    [[nodiscard]] std::size_t knownHosts() const;

private:
    // Requested tokens by time slot, which divide a scarce bucket among the hosts that ask.
    static constexpr std::size_t demandSlots = 4;

    // The highest level between two grants.
    struct level_peak {
        std::uint64_t sequence = 0;
        steady_time at {};
        double level = 0;
    };

    struct bucket {
        quota_rule rule;
        // Term of leadership to which the following state belongs.
        std::uint64_t term = 0;
        double level = 0;
        steady_time filledAt {};
        // Value of `m_withheldSeconds` at `filledAt`.
        double withheldSeconds = 0;
        std::uint64_t sequence = 0;
        // Peaks of the last seconds, in the order of their sequence numbers.
        std::vector<level_peak> peaks;
        // Sequence number of the last peak that was removed because of its age.
        std::uint64_t forgottenSequence = 0;
        std::array<std::uint64_t, demandSlots> wanted {};
        std::int64_t wantedSlot = 0;
        std::int64_t second = 0;
        std::uint64_t grantedInSecond = 0;
        double grantedPerSecond = 0;
        std::uint64_t refused = 0;
    };

    // What the last draw of a host changed for one organisation. All but the demand is reset when the answer is known to have been received.
    struct open_claim {
        std::uint32_t spent = 0;
        std::uint32_t returned = 0;
        std::uint32_t granted = 0;
        // Sequence number of the bucket at the grant.
        std::uint64_t sequence = 0;
        // The last draw contained a claim.
        bool isDrawn = false;
        // Tokens that the last draw asked for, and the time slot in which they are counted.
        std::uint32_t wanted = 0;
        std::int64_t wantedSlot = 0;
    };

    struct host_record {
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
        steady_time seenAt {};
        // Time of the first draw whose answer is not known to have been received.
        steady_time unconfirmedSince {};
        // Time of the last draw whose answer is known to have been received.
        steady_time confirmedDrawAt {};
        std::unordered_map<organisation_name, open_claim> open;
    };

    using bucket_map = std::unordered_map<organisation_name, bucket>;
    using host_map = std::unordered_map<host_name, host_record>;

    using open_claims = std::unordered_map<organisation_name, open_claim>;

    // Leadership and presence at the time of one draw.
    struct term_state {
        bool isLeading = false;
        std::uint64_t term = 0;
        steady_time fillFrom {};
        double withheldFraction = 0;
        double withheldSeconds = 0;
    };

    // The host that draws.
    struct draw_state {
        // The tokens that the host returns were granted within the time for which levels are kept.
        bool isReturnRecent = false;
        // The host has not confirmed an answer for 0.8 s, so that tokens would probably be lost on the way.
        bool isUnconfirmed = false;
    };

    term_state advance(const fleet_presence &fleet, steady_time now);
    // Updates the number of unconfirmed hosts and removes the records of hosts that have not drawn for a minute.
    void refreshHosts(steady_time now);
    // Brings a bucket to `now`. Returns false when the term has ended.
    bool refill(bucket &filled, const term_state &term, steady_time now) const;
    void putBack(bucket &target, double tokens, std::uint64_t sinceSequence, const term_state &term) const;
    // Capacity of a bucket while absent hosts may use their part of the burst.
    [[nodiscard]] double capacityOf(const bucket &measured, const term_state &term) const;
    void takeBack(const open_claims &open, const term_state &term, steady_time now);
    // Takes in the changes of one claim since `open`, grants tokens, and updates `open`.
    quota_grant settleClaim(bucket &drawn, const quota_claim &claim, open_claim &open, const draw_state &state, const term_state &term, steady_time now) const;
    // Counts the demand of a draw in place of that of the host's last draw, and returns the part of the level that the draw may take.
    static double shareOf(bucket &drawn, std::uint32_t wanted, open_claim &open, steady_time now);
    static void recordPeak(bucket &peaked, steady_time now);

    quota_options m_options;
    shards<bucket_map> m_buckets;
    shards<host_map> m_hosts;

    // Leadership and presence. Locked for a few instructions by each draw, never together with a shard.
    mutable std::mutex m_termLock;
    bool m_isLeading = false;
    std::uint64_t m_term = 0;
    steady_time m_fillFrom {};
    steady_time m_presenceAt {};
    double m_withheldFraction = 0;
    // Integral of the withheld fraction of the rate since the start of the term.
    double m_withheldSeconds = 0;

    std::atomic<std::int64_t> m_hostsRefreshedAt {0};
    // Hosts that draw but have not confirmed an answer for 0.8 s.
    std::atomic<std::uint32_t> m_unconfirmedHosts {0};
};

} // namespace hornbeampick
