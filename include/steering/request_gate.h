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

/// What a request that asked for a slot is told: once.
using gate_answer = std::variant<slot_grant, slot_refused>;
using gate_callback = std::function<void(const gate_answer &)>;

/// A service and its load on this host.
struct service_load {
    service_name service;
    pool_load load;
};

/// The service pools of this host, in shards by service, each under its own lock.
///
/// Callbacks run without a lock held, from the thread that freed the slot. Thread-safe.
class request_gate
{
public:
    request_gate(const pool_options &options, clock_source &clock, random_source &random);

    request_number nextNumber();
    /// `answer` is called exactly once, possibly before this returns, unless `cancel` returns true.
    void admit(const service_name &service, const admit_request &request, gate_callback answer);
    void finish(const slot_grant &grant, slot_end end);
    /// True when the request was waiting; its callback is then never called.
    bool cancel(const service_name &service, request_number number);

    /// `renews`: the upstream itself said it, directly or relayed.
    void announce(const upstream_report &report, bool renews);
    /// Applies ownership and drains to every known upstream.
    struct placement {
        bool owned = false;
        // The host never shared the failure domain: no other can hold the slots.
        bool immediate = false;
        bool drained = false;
    };
    using placer = std::function<placement(const upstream_report &)>;
    void place(const placer &decide);
    void tick();
    /// Drains that ended since the last call.
    std::vector<milliseconds> takeDrains();

    [[nodiscard]] std::vector<service_load> loads() const;
    [[nodiscard]] pool_load load(const service_name &service) const;
    [[nodiscard]] std::vector<upstream_report> reports() const;
    [[nodiscard]] life_phase phaseOf(const service_name &service, const instance_name &instance) const;

private:
    struct entry {
        std::unique_ptr<service_pool> pool;
        std::unordered_map<request_number, gate_callback> waiting;
    };
    using entries = std::map<service_name, entry>;

    // An answer and whom to give it to, carried out of the lock.
    struct delivery {
        gate_callback callback;
        gate_answer answer;
    };

    entry &entryOf(entries &all, const service_name &service) const;
    static void collect(entry &from, const pool_events &events, std::vector<delivery> &out);
    static void deliver(const std::vector<delivery> &deliveries);

    pool_options m_options;
    clock_source &m_clock;
    random_source &m_random;
    std::atomic<request_number> m_nextNumber {1};
    shards<entries> m_entries;
};

} // namespace hornbeampick
