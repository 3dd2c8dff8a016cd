#pragma once

#include "fakes/fault_proxy.h"
#include "fakes/node_fleet.h"
#include "fakes/scripted_upstream.h"
#include "fault.h"
#include "record.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace hornbeampick::soak
{

/// Bounds of a time that is drawn anew each time.
struct time_range {
    milliseconds min;
    milliseconds max;
};

/// How a client sends requests, one after another on a connection that it keeps open.
struct client_pattern {
    std::string idPrefix;
    time_range pause;
    time_range deadline;
};

struct environment_options {
    std::size_t controlHosts = 5;
    std::size_t entryHosts = 4;
    std::size_t upstreams = 6;
    std::size_t clientsPerEntryHost = 3;
    // Clients that keep a connection open through pauses and a drain, and whose requests run for up to 3 s.
    std::size_t patientClientsPerEntryHost = 6;
    std::uint64_t seed = 1;
    // Library that injects storage and clock faults, for LD_PRELOAD; empty for none.
    std::string faultLibrary;
    // Program that all hosts run at first; empty for the daemon of this build.
    std::string formerProgram {};
    // Hosts that are replaced run the former program again, to tell its own faults from those of the replacement.
    bool keepsFormer = false;
};

/// The system under test: daemon processes with simulated clients, upstreams and an operator around them.
class soak_environment final : public fault_injector
{
public:
    explicit soak_environment(const environment_options &options);
    ~soak_environment() override;
    soak_environment(const soak_environment &) = delete;
    soak_environment &operator=(const soak_environment &) = delete;

    [[nodiscard]] fault_targets targets() const;
    /// Starts all processes and the load. Returns false if routes are not accepted or an entry host does not serve before the timeout.
    bool begin();
    /// Applies and heals the faults as planned, waits for the recovery time and records the final state.
    void run(std::span<const planned_fault> plan);
    [[nodiscard]] soak_record seen() const;
    [[nodiscard]] std::string logs() const;
    /// Returns the hosts' log lines about a request; empty without an id.
    [[nodiscard]] std::string logsOf(const std::string &request) const;

    void kill(const std::string &host) override;
    void start(const std::string &host) override;
    void pause(const std::string &host) override;
    void resume(const std::string &host) override;
    void stop(const std::string &host) override;
    void reload(const std::string &host) override;
    void setBuild(const std::string &host, build next) override;
    void changeRoutes() override;
    void emptyDisk(const std::string &host) override;
    void slowDisk(const std::string &host, milliseconds delay) override;
    void fillDisk(const std::string &host, bool full) override;
    void stepClock(const std::string &host, milliseconds ahead) override;
    void loseUpstreams(const std::string &host, bool lost) override;
    void cutLink(const std::string &to, bool fromClient, bool toClient) override;
    void silenceLink(const std::string &to, bool silent) override;
    void delayLink(const std::string &to, milliseconds time) override;
    void resetLink(const std::string &to) override;
    void crashUpstream(const std::string &upstream) override;
    void restartUpstream(const std::string &upstream) override;
    void retireUpstream(const std::string &upstream) override;
    void admitUpstream(const std::string &upstream) override;
    void swapAddresses(const std::string &first, const std::string &second) override;

private:
    struct upstream {
        std::string instance;
        std::string domain;
        std::unique_ptr<testing::fault_proxy> link;
        std::unique_ptr<testing::scripted_upstream> server;
        std::uint64_t incarnation = testing::node_fleet::firstIncarnation;
        std::uint64_t sequence = 0;
        bool crashed = false;
        bool leaving = false;
        // Time at which the deregistration was acknowledged.
        steady_time deregisteredAt = steady_time::max();
        std::atomic<unsigned> running {0};
        // Counts the upstream's crashes and starts. Requests in progress are broken off when it changes.
        std::atomic<std::uint64_t> life {0};
    };
    // A planned stop that has not ended with the host's next start.
    struct stop_in_progress {
        steady_time requestedAt {};
        // Time until which the process must have exited; steady_time::max() while it is paused.
        steady_time exitUntil {};
        // Number of requests to stop that no start has followed yet; the host restarts when there are none.
        unsigned open = 0;
    };

    void sendHeartbeats();
    void sendHeartbeat(upstream &each);
    void runClient(std::size_t entry, const client_pattern &pattern, std::uint64_t seed);
    void runOperator();
    // Starts or withdraws the evacuation of a failure domain.
    void changeEvacuation(std::mt19937_64 &draw, evacuation &current);
    void probeRoutes(std::uint64_t version);
    void readRoutes();
    [[nodiscard]] bool runsFormer(const std::string &host) const;
    [[nodiscard]] bool anyRunsFormer() const;
    bool serveRequest(const std::string &instance, const testing::received_request &request, testing::scripted_upstream::socket &to);
    void startServer(upstream &each);
    testing::fault_proxy &linkTo(const std::string &name);
    // Works on a request for `time`. Returns false if the upstream crashes or restarts meanwhile.
    bool work(const upstream &each, milliseconds time);
    void recordFinalChecks();
    // Starts the hosts whose planned stop is over.
    void restartStopped();
    // Carries on with planned stops until `until`, or until all of them are over.
    void followStops(steady_time until);
    // Sleeps for `time`, but no longer than until shutdown. Returns false on shutdown.
    bool sleepFor(milliseconds time);

    environment_options m_options;
    recorder m_recorder;
    testing::node_fleet m_fleet;
    // Guards the state of the upstreams. The processes and the stop bookkeeping are used by one thread only.
    std::mutex m_lock;
    std::map<std::string, std::unique_ptr<upstream>> m_upstreams;
    // Links by the upstream that owned them first; addresses may be swapped.
    std::map<std::string, testing::fault_proxy *> m_upstreamLinks;
    std::map<std::string, stop_in_progress> m_stops;
    std::map<std::string, upstreams_lost> m_losses;
    // Hosts that did not exit within the grace period of a planned stop.
    std::vector<std::string> m_notStopped;
    std::atomic<bool> m_stopping {false};
    std::atomic<bool> m_routesFrozen {false};
    // Number of route changes requested by changeRoutes() that the operator has not begun yet.
    std::atomic<unsigned> m_changesRequested {0};
    std::atomic<std::uint64_t> m_version {0};
    std::atomic<std::uint64_t> m_nextId {0};
    std::vector<std::thread> m_threads;
};

} // namespace hornbeampick::soak
