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
    // The first so many hosts are named to form the log, and start at once; others join when a test starts them. 0: all.
    std::size_t listed = 0;
    // Voters wanted; 0: as many as are listed.
    std::size_t voters = 0;
};

/// Replicas with memory disks on one manual clock, over a network that the test disturbs.
class replica_cluster
{
public:
    replica_cluster(std::size_t hosts, std::uint64_t seed, const replica_cluster_options &options = {});
    ~replica_cluster();

    /// Lets time pass in small steps, delivering messages.
    void run(milliseconds time);
    /// A submit at one host; the verdict is added to `verdicts` when it comes.
    void submit(std::size_t host, const rules_change &change);
    /// The same for any entry; the outcome is added to `outcomes`.
    void submitEntry(std::size_t host, entry_body body);
    void crash(std::size_t host);
    /// Ends the process only: what was written stays, synced or not.
    void kill(std::size_t host);
    void start(std::size_t host);
    /// Loses the disk; the host must be down.
    void emptyDisk(std::size_t host);
    /// Cuts messages from one host to another, one way.
    void cut(std::size_t from, std::size_t to, bool cutOff);
    void healAll();
    /// Chance of losing, repeating and delaying a message, in percent.
    void disturb(unsigned loss, unsigned repeat, unsigned delay);
    /// A frozen host neither ticks nor receives; what is sent to it waits.
    void freeze(std::size_t host, bool frozen);

    /// The host's clock runs at `rate` times the cluster's.
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
    /// Violations of what must hold, found after every step.
    std::vector<std::string> violations;
    /// Reasons for which hosts stopped their replicas.
    std::map<std::size_t, std::error_code> stopped;

private:
    struct node;
    struct envelope;

    void step();
    void deliver();
    void check();
    void post(std::size_t from, std::size_t to, std::function<void()> arrival);
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
    // What the checks remember.
    std::map<log_term, disk_id> m_leaders;
    std::map<log_index, log_entry> m_committed;
    std::map<std::size_t, std::uint64_t> m_versions;
};

/// A minimal valid rule file.
rules_change changeOf(std::uint64_t version, std::string_view note, std::string_view operatorName);

} // namespace hornbeampick::testing
