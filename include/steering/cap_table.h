#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/shards.h"
#include "core/topology.h"
#include "rules/rule_set.h"
#include "steering/window_limiter.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

enum class cap_kind {
    // Requests a second of a service in this host's region.
    regionCapacity,
    // Requests a second that a shift moves into this host's region.
    shift,
    // Bytes a second this host's region sends to another.
    link,
};

/// Names one cap as this host sees it.
struct cap_key {
    cap_kind kind = cap_kind::regionCapacity;
    service_name service;
    // Shift: the region it leaves; link: the region sent to.
    region_name other;

    auto operator<=>(const cap_key &) const = default;
    [[nodiscard]] std::string text() const;
};

/// Units taken from a cap, to be given back when the work did not happen.
struct cap_receipt {
    cap_key key;
    std::uint64_t units = 0;
    steady_time takenAt {};
};

/// Position of a host among those that share a failure domain's part of every cap.
struct cap_seat {
    std::size_t position = 0;
    std::size_t seats = 1;

    bool operator==(const cap_seat &) const = default;
};

/// The caps of the rules in force, as this host may spend them.
///
/// A cap is split evenly over the failure domains of the region that spends it, so that no cut
/// between them matters; `setSeat` splits a domain's part over its hosts. Thread-safe, a lock a shard.
class cap_table
{
public:
    cap_table(const topology &fleet, location self);

    /// Takes effect at once; spent units stay counted.
    void setRules(std::shared_ptr<const rule_set> rules);
    /// This host's seat among the serving hosts of its failure domain. Until `from`, when the others surely know the
    /// new split and what they spent has left the window, this host also keeps to every earlier seat that was not
    /// over yet; at first that is nothing.
    void setSeat(const cap_seat &seat, steady_time now, steady_time from);

    /// Empty when the cap is reached; a receipt of no units when no cap is set.
    std::optional<cap_receipt> take(const cap_key &key, std::uint64_t units, steady_time now);
    void giveBack(const cap_receipt &receipt, steady_time now);
    /// Counts bytes that have to be sent whatever the cap; returns how long to wait before sending them.
    milliseconds chargeBytes(const region_name &to, std::uint64_t bytes, steady_time now);
    /// Units spent within the last window.
    [[nodiscard]] std::uint64_t used(const cap_key &key, steady_time now);
    /// What this host may spend a second; empty when no cap is set.
    [[nodiscard]] std::optional<std::uint64_t> limitOf(const cap_key &key, steady_time now) const;

private:
    [[nodiscard]] std::optional<std::uint64_t> totalOf(const rule_set &rules, const cap_key &key) const;

    struct former_seat {
        std::optional<cap_seat> seat;
        steady_time until {};
    };

    struct split {
        std::shared_ptr<const rule_set> rules;
        std::optional<cap_seat> current;
        // Earlier seats that still bound this host's part; an empty one allows nothing.
        std::vector<former_seat> former;
    };

    [[nodiscard]] std::uint64_t partOf(std::uint64_t total, const std::optional<cap_seat> &seat) const;

    using limiters = std::map<cap_key, window_limiter>;

    location m_self;
    std::size_t m_domains;
    std::size_t m_domainPosition;
    mutable std::mutex m_lock;
    split m_split;
    shards<limiters> m_limiters;
};

} // namespace hornbeampick
