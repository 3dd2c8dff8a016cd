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

/// What a caller saw of one request.
struct caller_story {
    std::string id;
    std::size_t entry = 0;
    // It may run once only.
    bool runOnce = false;
    steady_time askedAt {};
    steady_time endedAt {};
    milliseconds deadline {0};
    // 0: no whole answer.
    unsigned status = 0;
    std::string body;
};

/// An upstream began to work on a request.
struct upstream_run {
    std::string id;
    std::string instance;
    std::size_t entry = 0;
    steady_time at {};
};

/// A request as its caller and the upstreams saw it.
struct request_story {
    caller_story caller;
    std::vector<upstream_run> runs;
};

/// A span in which something was done to a host, or to its links.
struct disturbance {
    std::string host;
    steady_time from {};
    steady_time to {};
};

/// The system said yes to an upstream that leaves. `until`: it came back.
struct leaving {
    std::string instance;
    steady_time acknowledgedAt {};
    steady_time until {};
};

/// The system said yes to a version of the routes. The next one was sent at `supersededAt`.
struct routes_accepted {
    std::uint64_t version = 0;
    steady_time acknowledgedAt {};
    steady_time supersededAt {};
};

/// A read of the routes at a control host.
struct routes_read {
    std::string host;
    steady_time sentAt {};
    std::uint64_t version = 0;
};

/// A request that only the routes of `version` lead anywhere.
struct routes_probe {
    std::size_t entry = 0;
    std::uint64_t version = 0;
    steady_time sentAt {};
    steady_time endedAt {};
    unsigned status = 0;
};

/// The last look at the whole, after everything was healed and had its time.
struct last_look {
    std::vector<bool> entryReady;
    std::size_t asked = 0;
    std::size_t served = 0;
    std::uint64_t version = 0;
    // Hosts that were asked to stop and did not end in their grace.
    std::vector<std::string> stuck;
};

/// All that was seen of one run.
struct soak_record {
    std::vector<request_story> requests;
    std::vector<disturbance> disturbances;
    std::vector<leaving> leavings;
    std::vector<routes_accepted> accepted;
    std::vector<routes_read> reads;
    std::vector<routes_probe> probes;
    last_look end;
};

/// Collects from many threads: shards of requests, each under its own lock.
class recorder
{
public:
    void noteCaller(caller_story story);
    void noteRun(upstream_run run);
    void noteDisturbance(disturbance seen);
    void noteLeaving(leaving seen);
    void noteAccepted(routes_accepted seen);
    void noteRead(routes_read seen);
    void noteProbe(routes_probe seen);
    void setEnd(last_look end);

    /// A copy of everything so far. Upstreams or spans that have not ended are open to the end of time.
    [[nodiscard]] soak_record take() const;

private:
    shards<std::map<std::string, request_story>> m_requests;
    mutable std::mutex m_lock;
    // Guarded by m_lock; without the requests.
    soak_record m_rest;
};

} // namespace hornbeampick::soak
