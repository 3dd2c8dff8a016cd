// Sends signals to processes while they start, serve and stop.

#include "fakes/node_fleet.h"
#include "fakes/process_fleet.h"

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace hornbeampick::testing;

namespace
{

constexpr std::chrono::milliseconds signalInterval {5};

// The signals by which operators and terminals reach a process.
constexpr std::array<int, 3> operatorSignals {SIGHUP, SIGTERM, SIGINT};

} // namespace

// The handlers were installed only once the node served, some 40 ms after main began; until then a signal ended the process.
TEST_CASE("nodes: reloads that arrive while a host starts do not end it, and are carried out", "[integration][nodes]")
{
    node_fleet fleet(1, 1);
    const std::string name = GENERATE("entry-0", "control-0");
    CAPTURE(name);
    REQUIRE(fleet.startWithoutSettings(name));
    for (int i = 0; i < 10; ++i) {
        fleet.signal(name, SIGHUP);
        std::this_thread::sleep_for(signalInterval);
    }
    fleet.provideSettings(name);
    REQUIRE(awaitCondition([&] { return !fleet.isRunning(name) || fleet.hasLogged(name, R"("event":"reload")"); }));
    INFO(fleet.logs());
    REQUIRE(fleet.isRunning(name));
    fleet.signal(name, SIGTERM);
    REQUIRE(fleet.awaitExit(name) == 0);
}

TEST_CASE("nodes: a stop that arrives while a host starts is carried out in order", "[integration][nodes]")
{
    node_fleet fleet(1, 1);
    const std::string name = GENERATE("entry-0", "control-0");
    CAPTURE(name);
    REQUIRE(fleet.startWithoutSettings(name));
    fleet.signal(name, SIGTERM);
    fleet.provideSettings(name);
    REQUIRE(fleet.awaitExit(name) == 0);
    INFO(fleet.logs());
    REQUIRE(fleet.hasLogged(name, R"("event":"stopped")"));
}

// asio restores a signal's default action when its handlers are destroyed, which is before the process ends.
TEST_CASE("nodes: further signals do not cut a planned stop short", "[integration][nodes]")
{
    node_fleet fleet(1, 1);
    const std::string name = GENERATE("entry-0", "control-0");
    CAPTURE(name);
    fleet.start(name, true);
    REQUIRE(awaitCondition([&] { return fleet.hasLogged(name, R"("event":"started")"); }));
    fleet.signal(name, SIGTERM);
    const auto latest = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (fleet.isRunning(name) && std::chrono::steady_clock::now() < latest) {
        for (const int number : operatorSignals) {
            fleet.signal(name, number);
        }
        std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    REQUIRE(fleet.awaitExit(name) == 0);
    INFO(fleet.logs());
    REQUIRE(fleet.hasLogged(name, R"("event":"stopped")"));
}

// A write to a closed pipe or socket sends SIGPIPE, which ends a process by default.
TEST_CASE("nodes: a closed pipe does not end a host", "[integration][nodes]")
{
    node_fleet fleet(1, 1);
    const std::string name = GENERATE("entry-0", "control-0");
    CAPTURE(name);
    REQUIRE(fleet.startWithoutSettings(name));
    fleet.signal(name, SIGPIPE);
    fleet.provideSettings(name);
    REQUIRE(awaitCondition([&] { return !fleet.isRunning(name) || fleet.hasLogged(name, R"("event":"started")"); }));
    REQUIRE(fleet.isRunning(name));
    fleet.signal(name, SIGPIPE);
    fleet.signal(name, SIGTERM);
    REQUIRE(fleet.awaitExit(name) == 0);
}

// The daemon with a rule file had no handler of SIGHUP at all.
TEST_CASE("fleet: SIGHUP does not end a host, and its planned stop goes on whatever follows", "[integration]")
{
    process_fleet fleet;
    fleet.signal(0, SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    REQUIRE(fleet.isRunning(0));
    fleet.signal(0, SIGTERM);
    fleet.signal(0, SIGHUP);
    REQUIRE(fleet.stop(0) == 0);
}
