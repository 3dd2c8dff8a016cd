// A control host that wakes up behind a cut takes the messages that waited for it for new ones, and confirms an overtaken configuration: the entry
// host of its zone sends requests to a region that is no longer their home.
#include "../stand-ins/harness.h"

using namespace review;

namespace
{

// Bounds of weegbrug-net, in seconds.
constexpr double configApplyS = 2.5;
// `node_freeze` and `zone_cut`: what the site file and the list of kinds name.
constexpr double freezeS = 3.5;
constexpr double cutS = 5.0;

std::string routes(const std::string &home)
{
    return R"(["r-s","shop.example","/s/","idempotent",2000,400,1,"s",2,false,[")" + home + R"("],null])";
}

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const bool trouble = hasTrouble();
    // For comparison: the cut alone.
    const bool freezes = trouble && std::getenv("CUT_ONLY") == nullptr;
    record log(std::string(argv[1]) + "/record.txt");
    deployment fleet("  - {failureDomain: \"a1\", region: \"a\"}\n  - {failureDomain: \"b1\", region: \"b\"}\n  - {failureDomain: \"c1\", region: \"c\"}\n");
    const std::vector<std::string> zones {"a1", "b1", "c1"};
    const std::vector<std::string> seeds {fleet.ip(10), fleet.ip(11), fleet.ip(12)};
    std::atomic<bool> cut {false};
    // The zone that is cut off; its control host does not lead.
    std::atomic<int> cutZone {0};
    std::vector<std::unique_ptr<host_link>> links;
    for (int i = 0; i < 3; ++i) {
        const auto region = zones[i].substr(0, 1);
        fleet.add({.name = "control-" + zones[i],
                   .ip = fleet.ip(30 + i),
                   .zone = zones[i],
                   .region = region,
                   .isControl = true,
                   .publicIp = fleet.ip(10 + i),
                   .seeds = seeds});
        fleet.add({.name = "entry-" + zones[i], .ip = fleet.ip(50 + i), .zone = zones[i], .region = region, .seeds = seeds});
    }
    // One zone is partitioned from the others: hosts of the zone reach each other, and hosts of the other zones reach each other.
    for (int i = 0; i < 3; ++i) {
        const auto isCutFor = [&, i](const std::string &owner) { return cut && (i == cutZone) != owner.ends_with(zones[cutZone]); };
        links.push_back(std::make_unique<host_link>(
            fleet.at(fleet.ip(10 + i), 4), fleet.at(fleet.ip(30 + i), 4), [&fleet](std::uint16_t port) { return fleet.ownerOf(port); }, isCutFor));
        // The operator, who follows redirects to the leader, reaches all of them.
        links.push_back(std::make_unique<host_link>(
            fleet.at(fleet.ip(10 + i), 2), fleet.at(fleet.ip(30 + i), 2), [](std::uint16_t) { return std::string(); },
            [](const std::string &) { return false; }));
        if (!links.back()->isOpen()) {
            fleet.end(couldNotRun);
        }
    }
    for (const auto &zone : zones) {
        fleet.start("control-" + zone, true);
        fleet.start("entry-" + zone, true);
    }
    const std::vector<std::string> controls {fleet.control("control-a1"), fleet.control("control-b1"), fleet.control("control-c1")};
    if (!put(controls, configuration(1, routes("a")), 20000)) {
        fleet.end(couldNotRun);
    }
    // Only the leader answers a read without a redirect.
    for (int i = 0; i < 3; ++i) {
        const int fd = connectTo(controls[i], 1000);
        std::string buffer;
        message answer;
        if (fd >= 0 && sendAll(fd, "GET /-/Config.Get HTTP/1.1\r\nHost: x\r\n\r\n") && readMessage(fd, buffer, answer, 1000) && answer.status() == 200) {
            cutZone = (i + 1) % 3;
        }
        ::close(fd);
    }
    const int other = (cutZone + 1) % 3;
    const auto zone = zones[cutZone];
    const auto control = "control-" + zone;
    const auto entry = "entry-" + zone;
    const auto home = zone.substr(0, 1);
    const auto nextHome = zones[other].substr(0, 1);
    if (!put(controls, configuration(2, routes(home)), 5000)) {
        fleet.end(couldNotRun);
    }
    log.add("r2 is acknowledged: the home of the route is region " + home);
    instance inA("i-" + home, "s", zone, fleet.at(fleet.ip(100), 6), log);
    instance inB("i-" + nextHome, "s", zones[other], fleet.at(fleet.ip(101), 6), log);
    if (!inA.isOpen() || !inB.isOpen()) {
        fleet.end(couldNotRun);
    }
    std::atomic<bool> ended {false};
    std::thread beats([&] {
        while (!ended) {
            // The nearest control host that answers.
            if (inA.beat(controls[cutZone]) != 200 && !cut) {
                inA.beat(controls[other]);
            }
            inB.beat(controls[other]);
            for (int i = 0; i < 15 && !ended; ++i) {
                sleepFor(100);
            }
        }
    });
    const auto finish = [&](int outcome) {
        ended = true;
        beats.join();
        fleet.end(outcome);
    };
    for (const auto &each : zones) {
        if (!fleet.awaitReady("entry-" + each, 15000)) {
            finish(couldNotRun);
        }
    }
    sleepFor(3000);
    const double begin = now();
    if (freezes) {
        fleet.signal(control, SIGSTOP);
        log.add(control + " freezes");
    }
    sleepUntil(begin + 0.4);
    if (trouble) {
        cut = true;
        log.add("zone " + zone + " is partitioned from the other zones; clients still reach it");
    }
    sleepUntil(begin + 0.5);
    std::atomic<double> acknowledgedAt {0};
    std::thread operatorThread([&] {
        const std::vector<std::string> reached {controls[other], controls[(cutZone + 2) % 3]};
        if (put(reached, configuration(3, routes(nextHome)), 5000)) {
            acknowledgedAt = now();
            log.add("r3 is acknowledged: the home of the route is region " + nextHome + ", no longer region " + home);
        }
    });
    // A client in the zone.
    int number = 0;
    bool isFrozen = freezes;
    while (now() < begin + 0.4 + cutS) {
        if (isFrozen && now() >= begin + freezeS) {
            fleet.signal(control, SIGCONT);
            log.add(control + " wakes up");
            isFrozen = false;
        }
        const auto id = "q" + std::to_string(++number);
        const int fd = connectTo(fleet.front(entry), 1000);
        std::string buffer;
        message answer;
        if (fd >= 0 && sendAll(fd, "GET /s/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n")) {
            readMessage(fd, buffer, answer, 1000);
        }
        ::close(fd);
        log.add("client sent " + id + " to " + entry + ", status " + std::to_string(answer.status()));
        sleepFor(25);
    }
    fleet.signal(control, SIGCONT);
    cut = false;
    operatorThread.join();
    if (acknowledgedAt == 0) {
        log.add("r3 was not acknowledged");
        finish(couldNotRun);
    }
    int away = 0;
    for (const auto &run : inA.runs()) {
        away += run.at > acknowledgedAt + configApplyS ? 1 : 0;
    }
    log.add("acknowledged at " + std::to_string(acknowledgedAt) + "; requests that reached region " + home + " later than " + std::to_string(configApplyS)
            + " s after that: " + std::to_string(away));
    finish(away > 0 ? broken : held);
}
