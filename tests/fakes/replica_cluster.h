#pragma once

#include "fakes/manual_clock.h"
#include "fakes/memory_files.h"
#include "replica/replica_engine.h"
#include "storage/replica_file_store.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hornbeampick::testing
{

struct replica_cluster_options {
    // Number of hosts, from the first, that bootstrap the log and are started by the constructor. Other hosts join when the test starts
    // them. 0 means all hosts.
    std::size_t bootstrapHosts = 0;
    // Target number of voters; 0 means all bootstrap hosts.
    std::size_t voters = 0;
};

/// Simulated replicas with in-memory disks and manual clocks, connected by a network with injected faults.
class replica_cluster
{
public:
    replica_cluster(std::size_t hosts, std::uint64_t seed, const replica_cluster_options &options = {});
    ~replica_cluster();

    /// Advances time in steps of 10 ms, delivering messages and checking the invariants after each step.
    void run(milliseconds time);
    /// Submits a rules change at one host; the result is appended to `verdicts` when it arrives. Does nothing if the host is down.
    void submit(std::size_t host, const rules_change &change);
    /// Submits any log entry at one host; the error code is appended to `outcomes` when it arrives.
    void submitEntry(std::size_t host, entry_body body);
    /// Simulates a power loss: the process ends and unsynced writes are lost.
    void crash(std::size_t host);
    /// Ends the process only; writes survive whether synced or not.
    void kill(std::size_t host);
    void start(std::size_t host);
    /// Deletes everything on the disk. The host must be down.
    void emptyDisk(std::size_t host);
    /// Drops messages from one host to another, in that direction only, until called with false.
    void cut(std::size_t from, std::size_t to, bool isCut);
    void healAll();
    /// Sets the probabilities, in percent, of losing, duplicating and delaying a message.
    void setMessageFaults(unsigned loss, unsigned repeat, unsigned delay);
    /// Suspends a host: it neither ticks nor receives, and messages to it are queued.
    void freeze(std::size_t host, bool frozen);

    /// Sets the clock of a host that is down back to its first time, as a machine that starts again does.
    void restartClock(std::size_t host);
    /// Returns for how long the state of a host has not been known to be the newest, by its own clock.
    [[nodiscard]] steady_time::duration confirmedAge(std::size_t host) const;

    /// Lets each write of a host, and all that follows it there, take `time`.
    void slowDisk(std::size_t host, milliseconds time);

    /// Makes the clock of a host run at `rate` times the speed of the cluster's clock.
    void drift(std::size_t host, double rate);

    [[nodiscard]] bool up(std::size_t host) const;
    [[nodiscard]] replica_engine *engine(std::size_t host);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::optional<std::size_t> leader();
    memory_files &files(std::size_t host);
    random_source &random();
    manual_clock &clock();

    struct verdict {
        rules_change change;
        submit_result result;
    };
    std::vector<verdict> verdicts;
    std::vector<errc> outcomes;
    /// Violated invariants: two leaders in a term, changed committed entries, decreasing versions.
    std::vector<std::string> violations;
    /// Bytes of the log entries that each host sent to each other one, lost messages included.
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> entryBytesSent;
    /// Errors with which hosts stopped their replicas, until they recover.
    std::map<std::size_t, std::error_code> stopped;

private:
    struct node;
    struct envelope;

    void step();
    void deliver();
    void check();
    void post(std::size_t from, std::size_t to, std::function<void()> arrival);
    void process(node &host);
    [[nodiscard]] std::size_t indexOf(std::string_view address) const;

    replica_cluster_options m_options;
    manual_clock m_clock;
    seeded_random_source m_random;
    std::vector<std::unique_ptr<node>> m_nodes;
    std::multimap<steady_time, envelope> m_network;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    unsigned m_loss = 0;
    unsigned m_repeat = 0;
    unsigned m_delay = 0;
    // State of the invariant checks: leader by term, committed entry by index, version by host.
    std::map<log_term, disk_id> m_leaders;
    std::map<log_index, log_entry> m_committed;
    std::map<std::size_t, std::uint64_t> m_versions;
};

/// Creates a change to a minimal valid rule file.
rules_change makeRulesChange(std::uint64_t version, std::string_view note, std::string_view operatorName);

} // namespace hornbeampick::testing
