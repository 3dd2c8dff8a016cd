#include "replica_cluster.h"

#include "replica/entry_size.h"

#include <cmath>

namespace hornbeampick::testing
{

namespace
{

constexpr milliseconds stepTime {10};
constexpr milliseconds electionTime {100};
constexpr milliseconds heartbeatTime {20};
constexpr std::size_t snapshotAfter = 8;
constexpr unsigned percent = 100;

std::string addressOf(std::size_t host)
{
    return "host:" + std::to_string(host);
}

} // namespace

struct replica_cluster::envelope {
    std::size_t to = 0;
    std::uint64_t incarnation = 0;
    std::function<void()> arrival;
};

struct replica_cluster::node final : replica_transport, ledger_listener {
    node(replica_cluster &owner, std::size_t place)
        : cluster(owner)
        , index(place)
        , store(makeReplicaFileStore(files))
    {
    }

    void send(const replica_message &message) override
    {
        const std::size_t to = cluster.indexOf(message.to.address);
        cluster.entryBytesSent[{index, to}] += memoryOf(message.entries);
        cluster.post(index, to, [this, to, message] { cluster.m_nodes[to]->engine->receive(message); });
    }

    void form(const std::string &address, const form_request &request, std::function<void(const form_reply &)> done) override
    {
        const std::size_t to = cluster.indexOf(address);
        cluster.post(index, to, [this, to, request, done] {
            const auto reply = cluster.m_nodes[to]->engine->onFormRequest(request);
            if (reply) {
                cluster.post(to, index, [done, reply] { done(*reply); });
            }
        });
    }

    void onLedger(const ledger_state &state) override
    {
        auto &newest = cluster.m_versions[index];
        if (state.version < newest) {
            cluster.violations.push_back("applied version decreased on host " + std::to_string(index));
        }
        newest = state.version;
    }

    void onRecordsDamaged(std::error_code) override
    {
        // Applied changes may have been lost with the damaged records, so the version may decrease.
        cluster.m_versions.erase(index);
    }

    void onStopped(std::error_code why) override
    {
        cluster.stopped[index] = why;
    }

    void onRecovered() override
    {
        cluster.stopped.erase(index);
    }

    void onRoleChanged(const replica_view &) override
    {
    }

    void onSlowDisk(milliseconds) override
    {
    }

    replica_cluster &cluster;
    std::size_t index;
    memory_files files;
    std::unique_ptr<replica_store> store;
    std::unique_ptr<replica_engine> engine;
    std::uint64_t incarnation = 0;
    bool frozen = false;
    manual_clock clock;
    // Each write takes this long; until `busyUntil` the host is writing.
    milliseconds diskTime {0};
    steady_time busyUntil {};
    std::uint64_t operationsBefore = 0;
    // Speed of this host's clock relative to the cluster's.
    double rate = 1;
};

replica_cluster::replica_cluster(std::size_t hosts, std::uint64_t seed, const replica_cluster_options &options)
    : m_options(options)
    , m_random(seed)
{
    if (m_options.bootstrapHosts == 0) {
        m_options.bootstrapHosts = hosts;
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        m_nodes.push_back(std::make_unique<node>(*this, i));
    }
    for (std::size_t i = 0; i < m_options.bootstrapHosts; ++i) {
        start(i);
    }
}

replica_cluster::~replica_cluster() = default;

void replica_cluster::run(milliseconds time)
{
    for (milliseconds passed {0}; passed < time; passed += stepTime) {
        step();
    }
}

void replica_cluster::submit(std::size_t host, const rules_change &change)
{
    if (!up(host)) {
        return;
    }
    m_nodes[host]->engine->submit(change, [this, change](const submit_result &result) { verdicts.push_back({.change = change, .result = result}); });
    m_nodes[host]->engine->processOutput();
}

void replica_cluster::submitEntry(std::size_t host, entry_body body)
{
    if (!up(host)) {
        return;
    }
    m_nodes[host]->engine->submit(std::move(body), [this](const submit_result &result) { outcomes.push_back(result.error); });
    m_nodes[host]->engine->processOutput();
}

void replica_cluster::crash(std::size_t host)
{
    kill(host);
    m_nodes[host]->files.crash(m_random.next());
    // The stored commit index is not synced, so after a restart the host alone may begin from a lower one.
    m_versions.erase(host);
}

void replica_cluster::kill(std::size_t host)
{
    auto &killed = *m_nodes[host];
    if (killed.engine && killed.engine->view().role == replica_role::stopped) {
        // The commit index could not be written, so after a restart the host alone may begin from a lower one.
        m_versions.erase(host);
    }
    killed.engine.reset();
    ++killed.incarnation;
    killed.frozen = false;
}

void replica_cluster::start(std::size_t host)
{
    auto &started = *m_nodes[host];
    if (started.engine) {
        return;
    }
    replica_node_options options;
    options.host = host_name("h" + std::to_string(host));
    options.address = addressOf(host);
    options.targetVoters = m_options.voters;
    options.mayBootstrap = host < m_options.bootstrapHosts;
    for (std::size_t i = 0; i < m_options.bootstrapHosts; ++i) {
        options.bootstrap.push_back({.host = host_name("h" + std::to_string(i)), .address = addressOf(i)});
    }
    options.electionTimeout = electionTime;
    options.heartbeat = heartbeatTime;
    options.snapshotEntries = snapshotAfter;
    // A new process remembers nothing that the former one did not write.
    started.store = makeReplicaFileStore(started.files);
    const std::uint64_t incarnation = started.incarnation;
    started.engine = std::make_unique<replica_engine>(options, *started.store, started, started, started.clock, m_random,
                                                      [this, host, incarnation](const form_reply &reply) {
                                                          auto &node = *m_nodes[host];
                                                          if (node.engine && node.incarnation == incarnation) {
                                                              node.engine->onFormReply(reply);
                                                          }
                                                      });
    started.engine->load();
    started.engine->processOutput();
}

void replica_cluster::emptyDisk(std::size_t host)
{
    m_nodes[host]->files.empty();
    m_versions.erase(host);
}

void replica_cluster::cut(std::size_t from, std::size_t to, bool isCut)
{
    if (isCut) {
        m_cuts.emplace(from, to);
    } else {
        m_cuts.erase({from, to});
    }
}

void replica_cluster::healAll()
{
    m_cuts.clear();
    setMessageFaults(0, 0, 0);
    for (auto &each : m_nodes) {
        each->frozen = false;
        each->rate = 1;
    }
}

void replica_cluster::setMessageFaults(unsigned loss, unsigned repeat, unsigned delay)
{
    m_loss = loss;
    m_repeat = repeat;
    m_delay = delay;
}

void replica_cluster::restartClock(std::size_t host)
{
    m_nodes[host]->clock.advance(std::chrono::duration_cast<microseconds>(manual_clock().now() - m_nodes[host]->clock.now()));
}

steady_time::duration replica_cluster::confirmedAge(std::size_t host) const
{
    return m_nodes[host]->clock.now() - m_nodes[host]->engine->view().confirmedAt;
}

void replica_cluster::slowDisk(std::size_t host, milliseconds time)
{
    m_nodes[host]->diskTime = time;
}

void replica_cluster::process(node &host)
{
    host.operationsBefore = host.files.operations();
    host.engine->tick();
    host.engine->processOutput();
    if (host.files.operations() != host.operationsBefore) {
        host.busyUntil = m_clock.now() + host.diskTime;
        host.operationsBefore = host.files.operations();
    }
}

void replica_cluster::drift(std::size_t host, double rate)
{
    m_nodes[host]->rate = rate;
}

void replica_cluster::freeze(std::size_t host, bool frozen)
{
    m_nodes[host]->frozen = frozen;
}

bool replica_cluster::up(std::size_t host) const
{
    return m_nodes[host]->engine != nullptr;
}

replica_engine *replica_cluster::engine(std::size_t host)
{
    return m_nodes[host]->engine.get();
}

std::size_t replica_cluster::size() const
{
    return m_nodes.size();
}

std::optional<std::size_t> replica_cluster::leader()
{
    std::optional<std::size_t> newest;
    log_term term = 0;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!up(i) || m_nodes[i]->engine->view().role != replica_role::leader) {
            continue;
        }
        if (m_nodes[i]->engine->view().term >= term) {
            term = m_nodes[i]->engine->view().term;
            newest = i;
        }
    }
    return newest;
}

memory_files &replica_cluster::files(std::size_t host)
{
    return m_nodes[host]->files;
}

random_source &replica_cluster::random()
{
    return m_random;
}

manual_clock &replica_cluster::clock()
{
    return m_clock;
}

void replica_cluster::step()
{
    m_clock.advance(stepTime);
    for (auto &each : m_nodes) {
        each->clock.advance(microseconds(std::llround(static_cast<double>(microseconds(stepTime).count()) * each->rate)));
    }
    deliver();
    for (auto &each : m_nodes) {
        if (each->engine && !each->frozen && m_clock.now() >= each->busyUntil) {
            process(*each);
        }
    }
    check();
}

void replica_cluster::deliver()
{
    while (!m_network.empty() && m_network.begin()->first <= m_clock.now()) {
        auto next = std::move(m_network.begin()->second);
        m_network.erase(m_network.begin());
        auto &node = *m_nodes[next.to];
        if (!node.engine || node.incarnation != next.incarnation) {
            continue;
        }
        if (node.frozen || m_clock.now() < node.busyUntil) {
            m_network.emplace(m_clock.now() + stepTime, std::move(next));
            continue;
        }
        next.arrival();
        node.engine->processOutput();
    }
}

void replica_cluster::check()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const auto *core = up(i) ? m_nodes[i]->engine->core() : nullptr;
        if (core == nullptr) {
            continue;
        }
        const auto view = m_nodes[i]->engine->view();
        if (view.role == replica_role::leader) {
            const auto [known, isNew] = m_leaders.try_emplace(view.term, core->config().voters.empty() ? 0 : m_nodes[i]->engine->view().leader->disk);
            if (!isNew && known->second != view.leader->disk) {
                violations.push_back("two leaders in term " + std::to_string(view.term));
            }
        }
        for (const auto &entry : core->entries()) {
            if (entry.index > core->commitIndex()) {
                break;
            }
            const auto [known, isNew] = m_committed.try_emplace(entry.index, entry);
            if (!isNew && !(known->second == entry)) {
                violations.push_back("committed entry " + std::to_string(entry.index) + " changed on host " + std::to_string(i));
            }
        }
    }
}

void replica_cluster::post(std::size_t from, std::size_t to, std::function<void()> arrival)
{
    const unsigned copies = m_random.below(percent) < m_repeat ? 2 : 1;
    for (unsigned copy = 0; copy < copies; ++copy) {
        if (m_cuts.contains({from, to}) || m_random.below(percent) < m_loss) {
            continue;
        }
        auto &sender = *m_nodes[from];
        // What a host sends after it has written leaves when the write is done.
        const bool hasWritten = sender.files.operations() != sender.operationsBefore;
        milliseconds latency = stepTime + (hasWritten ? sender.diskTime : milliseconds(0));
        if (m_random.below(percent) < m_delay) {
            constexpr std::uint64_t maxExtraDelayMs = 300;
            latency += milliseconds(m_random.below(maxExtraDelayMs));
        }
        m_network.emplace(m_clock.now() + latency, envelope {.to = to, .incarnation = m_nodes[to]->incarnation, .arrival = arrival});
    }
}

std::size_t replica_cluster::indexOf(std::string_view address) const
{
    return std::stoul(std::string(address.substr(address.find(':') + 1)));
}

rules_change makeRulesChange(std::uint64_t version, std::string_view note, std::string_view operatorName)
{
    rules_change change;
    change.version = version;
    const std::string text = "version " + std::to_string(version) + "\n# " + std::string(note) + "\n";
    change.operatorName = std::string(operatorName);
    const rule_document whole(text);
    change.content = whole.content();
    change.body = whole;
    return change;
}

} // namespace hornbeampick::testing
