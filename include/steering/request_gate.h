#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/random_source.h"
#include "core/shards.h"
#include "steering/service_pool.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hornbeampick
{

/// The result of a request for a slot, delivered exactly once.
using slot_result = std::variant<slot_grant, slot_refused>;
using slot_callback = std::function<void(const slot_result &)>;

/// A service and its load on this host.
struct service_load {
    service_name service;
    pool_load load;
};

/// Admission control of this host: its service pools, in shards by service, each under its own lock.
///
/// Callbacks run without a lock held, on the thread that freed the slot. Thread-safe.
class request_gate
{
public:
    request_gate(const pool_options &options, clock_source &clock, random_source &random);

    request_number nextNumber();
    /// Requests a slot. Calls `answer` exactly once, possibly before this function returns, unless `cancel` returns true.
    void admit(const service_name &service, const admit_request &request, slot_callback answer);
    /// Releases a slot.
    void finish(const slot_grant &grant, slot_outcome end);
    /// Removes a request from the queue. Returns true when it was waiting; its callback is then never called.
    bool cancel(const service_name &service, request_number number);

    /// Records a report about an upstream. `renews` is true when the report comes from the upstream itself, directly or relayed,
    /// and so renews its lease.
    void announce(const upstream_report &report, bool renews);
    /// Ownership and drain state of an upstream on this host.
    struct placement {
        bool owned = false;
        // The host has never shared the failure domain, so that no other host can hold slots and no handover wait is needed.
        bool immediate = false;
        bool drained = false;
    };
    using placement_function = std::function<placement(const upstream_report &)>;
    /// Applies ownership and drains to every known upstream.
    void place(const placement_function &decide);
    void tick();
    /// Returns the durations of the drains that completed since the last call.
    std::vector<milliseconds> takeDrainDurations();

    [[nodiscard]] std::vector<service_load> loads() const;
    [[nodiscard]] pool_load load(const service_name &service) const;
    [[nodiscard]] std::vector<upstream_report> reports() const;
    [[nodiscard]] lifecycle_phase phaseOf(const service_name &service, const instance_name &instance) const;

private:
    struct entry {
        std::unique_ptr<service_pool> pool;
        std::unordered_map<request_number, slot_callback> waiting;
    };
    using entries = std::map<service_name, entry>;

    // A callback and its argument, collected under the lock and called after its release.
    struct delivery {
        slot_callback callback;
        slot_result answer;
    };

    entry &entryOf(entries &all, const service_name &service) const;
    static void collect(entry &source, const pool_events &events, std::vector<delivery> &out);
    static void deliver(const std::vector<delivery> &deliveries);

    pool_options m_options;
    clock_source &m_clock;
    random_source &m_random;
    std::atomic<request_number> m_nextNumber {1};
    shards<entries> m_entries;
};

} // namespace hornbeampick
