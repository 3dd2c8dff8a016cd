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

struct world_options {
    std::size_t controlHosts = 5;
    std::size_t entryHosts = 4;
    std::size_t upstreams = 6;
    std::size_t callersAnEntry = 3;
    std::uint64_t seed = 1;
    // The library that makes storage and clocks misbehave; empty: none.
    std::string faultLibrary;
};

/// The real programs as processes, with callers, upstreams and an operator around them.
class world final : public fault_scene
{
public:
    explicit world(const world_options &options);
    ~world() override;
    world(const world &) = delete;
    world &operator=(const world &) = delete;

    [[nodiscard]] fault_targets targets() const;
    /// Starts everything; false when it does not serve in good time.
    bool begin();
    /// Plays the faults at their times, heals them all, waits for the time of recovery and takes the last look.
    void play(std::span<const planned_fault> plan);
    [[nodiscard]] soak_record seen() const;
    [[nodiscard]] std::string logs() const;

    void kill(const std::string &host) override;
    void start(const std::string &host) override;
    void pause(const std::string &host) override;
    void resume(const std::string &host) override;
    void stop(const std::string &host) override;
    void reload(const std::string &host) override;
    void emptyDisk(const std::string &host) override;
    void slowDisk(const std::string &host, milliseconds delay) override;
    void fillDisk(const std::string &host, bool full) override;
    void stepClock(const std::string &host, milliseconds ahead) override;
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
        // Set by the answer to its leaving.
        steady_time leftAt = steady_time::max();
        std::atomic<unsigned> running {0};
    };

    void announceAll();
    void announce(upstream &each);
    void callOn(std::size_t entry, std::uint64_t seed);
    void operate();
    void probeRoutes(std::uint64_t version);
    void readRoutes();
    bool serveRequest(const std::string &instance, const testing::received_request &request, testing::scripted_upstream::socket &to);
    void startServer(upstream &each);
    testing::fault_proxy &linkTo(const std::string &name);
    void lookAround();
    // Waits unless the world ends; false when it does.
    bool rest(milliseconds time);

    world_options m_options;
    recorder m_recorder;
    testing::node_fleet m_fleet;
    // Guards the upstreams below; processes are handled by one thread only.
    std::mutex m_lock;
    std::map<std::string, std::unique_ptr<upstream>> m_upstreams;
    std::map<std::string, steady_time> m_askedToStop;
    // Hosts that did not end in their grace.
    std::vector<std::string> m_stuck;
    std::atomic<bool> m_ended {false};
    std::atomic<bool> m_quiet {false};
    std::atomic<std::uint64_t> m_version {0};
    std::atomic<std::uint64_t> m_nextId {0};
    std::vector<std::thread> m_threads;
};

} // namespace hornbeampick::soak
