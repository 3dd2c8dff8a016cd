#pragma once

#include "core/clock.h"
#include "core/shards.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick::soak
{

/// How a request ended for its client.
enum class request_end {
    answered,
    // No connection could be established, or it broke before the whole request was written.
    notSent,
    // The connection ended without a complete answer to a request that was written in full.
    closed,
    timedOut,
};

/// One request as observed by its client.
struct client_observation {
    std::string id;
    std::size_t entry = 0;
    // The request is not idempotent and may run at most once.
    bool runOnce = false;
    // The only region in which the request's route lets it run; empty if it may run anywhere.
    std::string allowedRegion {};
    steady_time requestedAt {};
    steady_time endedAt {};
    milliseconds deadline {0};
    // 0 if no complete answer arrived.
    unsigned status = 0;
    std::string body {};
    // The connection had carried a request before.
    bool onKeptConnection = false;
    request_end end = request_end::answered;
};

/// The start of a request's execution at an upstream.
struct upstream_execution {
    std::string id;
    std::string instance;
    std::string domain {};
    std::string region {};
    std::size_t entry = 0;
    steady_time at {};
    // Time at which the upstream finished its work; steady_time::max() while it is at work.
    steady_time endedAt = steady_time::max();
};

/// A request as observed by its client and the upstreams.
struct request_observation {
    client_observation client;
    std::vector<upstream_execution> runs;
};

/// An interval in which a fault affected a host, an upstream, or their links.
struct fault_interval {
    std::string host;
    steady_time from {};
    steady_time to {};
    // A stop that operators asked for, up to the next start.
    bool planned = false;
};

/// An interval in which new connections of an entry host to upstreams failed.
struct upstreams_lost {
    std::size_t entry = 0;
    steady_time from {};
    steady_time to {};
    // A host of the fleet ran the former build, which neither asks other entry hosts to serve nor serves for them.
    bool besideFormer = false;
};

/// A signal by which operators asked a host for a planned stop or a reload.
struct planned_signal {
    std::string host;
    steady_time at {};
    bool stops = false;
    // The process runs the former build, which breaks off requests when it stops or reloads.
    bool toFormer = false;
};

/// An acknowledged deregistration of an upstream. `until` is the time at which the upstream registered again.
struct deregistration {
    std::string instance;
    steady_time acknowledgedAt {};
    steady_time until {};
};

/// An acknowledged evacuation of a failure domain. It was withdrawn at `until`.
struct evacuation {
    std::string domain;
    steady_time acknowledgedAt {};
    steady_time until {};
};

/// An acknowledged version of the routes. The next version was sent at `supersededAt`.
struct routes_accepted {
    std::uint64_t version = 0;
    steady_time acknowledgedAt {};
    steady_time supersededAt {};
};

/// The version of the routes that a control host returned to a read sent at `sentAt`.
struct routes_read {
    std::string host;
    steady_time sentAt {};
    std::uint64_t version = 0;
};

/// A request to a path that exists only in the routes of `version`.
struct routes_probe {
    std::size_t entry = 0;
    std::uint64_t version = 0;
    steady_time sentAt {};
    steady_time endedAt {};
    unsigned status = 0;
};

/// The state of the system at the end of a run, after all faults were healed and the recovery time passed.
struct final_state {
    std::vector<bool> entryReady;
    std::size_t asked = 0;
    std::size_t served = 0;
    std::uint64_t version = 0;
    // Hosts that did not exit within the grace period of a planned stop.
    std::vector<std::string> notStopped;
    // Hosts whose process ended though nobody stopped or killed it, with its exit code or the number of the signal.
    std::vector<std::string> endedByThemselves;
};

/// All observations of one run.
struct soak_record {
    std::vector<request_observation> requests;
    std::vector<fault_interval> faultIntervals;
    std::vector<planned_signal> signals;
    std::vector<upstreams_lost> losses;
    std::vector<deregistration> deregistrations;
    std::vector<evacuation> evacuations;
    std::vector<routes_accepted> accepted;
    std::vector<routes_read> reads;
    std::vector<routes_probe> probes;
    final_state end;
};

/// Collects observations. Thread-safe; requests are kept in shards, each under its own lock.
class recorder
{
public:
    void recordClient(client_observation observation);
    void recordExecution(upstream_execution run);
    void recordExecutionEnd(const std::string &id, const std::string &instance, steady_time at);
    void recordFaultInterval(fault_interval seen);
    void recordSignal(planned_signal seen);
    void recordLoss(upstreams_lost seen);
    void recordDeregistration(deregistration seen);
    void recordEvacuation(evacuation seen);
    void recordAccepted(routes_accepted seen);
    void recordRead(routes_read seen);
    void recordProbe(routes_probe seen);
    void recordFinalState(final_state end);

    /// Returns a copy of all observations so far. An interval that has not ended has the end steady_time::max().
    [[nodiscard]] soak_record take() const;

private:
    shards<std::map<std::string, request_observation>> m_requests;
    mutable std::mutex m_lock;
    // All observations but the requests; guarded by m_lock.
    soak_record m_others;
};

} // namespace hornbeampick::soak
