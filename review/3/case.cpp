// A control host that restarts behind a cut confirms to a leaving instance that no request will come, although only the entry host of its own
// zone knows it.
#include "../stand-ins/harness.h"

using namespace review;

namespace
{

// Bounds of weegbrug-net, in seconds.
constexpr double contactS = 4.0;
constexpr double drainS = 2.5;
// The longest cut of core machines that the site file names.
constexpr double cutS = 7.2;

const char *const routes = R"(["r-s","shop.example","/s/","idempotent",2000,400,1,"s",2,false,[],null])";

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const bool trouble = hasTrouble();
    // For comparison: the cut alone.
    const bool restarts = std::getenv("CUT_ONLY") == nullptr;
    record log(std::string(argv[1]) + "/record.txt");
    deployment fleet("  - {failureDomain: \"a1\", region: \"a\"}\n  - {failureDomain: \"b1\", region: \"b\"}\n  - {failureDomain: \"c1\", region: \"c\"}\n");
    const std::vector<std::string> zones {"a1", "b1", "c1"};
    const std::vector<std::string> seeds {fleet.ip(10), fleet.ip(11), fleet.ip(12)};
    std::atomic<bool> cut {false};
    std::vector<std::unique_ptr<host_link>> links;
    // One control host and one entry host in each zone; other hosts reach a control host through a link. The control host of zone a1 is cut off.
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
    for (int i = 0; i < 3; ++i) {
        const auto isCutFor = [&cut, i](const std::string &owner) {
            const bool inZoneA = owner == "entry-a1";
            return cut && (i == 0 ? !inZoneA : owner == "control-a1");
        };
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
    if (!put(controls, configuration(1, routes), 20000)) {
        log.add("the first configuration was not acknowledged");
        fleet.end(couldNotRun);
    }
    instance leaving("i-leaving", "s", "a1", fleet.at(fleet.ip(100), 6), log);
    instance staying("i-staying", "s", "a1", fleet.at(fleet.ip(101), 6), log);
    if (!leaving.isOpen() || !staying.isOpen()) {
        fleet.end(couldNotRun);
    }
    std::atomic<bool> ended {false};
    std::atomic<double> acknowledgedAt {0};
    std::atomic<bool> leaves {false};
    // Before it leaves, the instance reports to the control host of zone c1, then to that of its own zone. A call that fails goes on to the next.
    std::thread beats([&] {
        while (!ended) {
            staying.beat(controls[1]);
            if (!leaves) {
                leaving.beat(controls[2]);
            }
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
    for (const auto &zone : zones) {
        if (!fleet.awaitReady("entry-" + zone, 15000)) {
            log.add("entry-" + zone + " is not ready");
            finish(couldNotRun);
        }
    }
    sleepFor(3000);

    const double begin = now();
    if (trouble) {
        cut = true;
        log.add("control-a1 is cut off from the other control hosts and from the hosts of other zones");
        if (restarts) {
            fleet.stop("control-a1");
            log.add("control-a1 is killed");
            sleepFor(500);
            fleet.start("control-a1", false);
            log.add("control-a1 starts again, behind the cut");
        }
    }
    const double lastCoreEvent = now();
    sleepUntil(begin + 1.9);
    // Refreshes what the other control hosts know, as every heartbeat does.
    leaving.beat(controls[2]);
    leaves = true;
    sleepUntil(begin + 2.0);
    std::thread leave([&] {
        std::size_t turn = 0;
        while (!ended && acknowledgedAt == 0) {
            const auto status = leaving.beat(controls[turn % 3], "draining");
            log.add("i-leaving reports draining to control-" + zones[turn % 3] + ": status " + std::to_string(status));
            if (status == 200) {
                acknowledgedAt = now();
            } else {
                ++turn;
                sleepFor(100);
            }
        }
        // A draining instance goes on reporting to the daemon that answers.
        while (!ended) {
            sleepFor(1500);
            leaving.beat(controls[turn % 3], "draining");
        }
    });
    // Clients of zones b1 and c1 send requests all the time, each on a new connection.
    struct sent {
        std::string id;
        double at;
        std::string entry;
        int status;
    };
    std::vector<sent> requests;
    int number = 0;
    while (now() < begin + cutS) {
        for (const auto *entry : {"entry-b1", "entry-c1"}) {
            const auto id = "q" + std::to_string(++number);
            const double at = now();
            const int fd = connectTo(fleet.front(entry), 1000);
            std::string buffer;
            message answer;
            if (fd >= 0 && sendAll(fd, "GET /s/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n")) {
                readMessage(fd, buffer, answer, 2000);
            }
            ::close(fd);
            requests.push_back({id, at, entry, answer.status()});
            log.add("client sent " + id + " to " + entry + ", status " + std::to_string(answer.status()));
        }
        sleepFor(30);
    }
    cut = false;
    ended = true;
    leave.join();
    beats.join();
    if (acknowledgedAt == 0) {
        log.add("no control host acknowledged that i-leaving leaves");
        fleet.end(trouble ? held : couldNotRun);
    }
    // The entry hosts are in touch from `contactS` after the last event on a control host until the cut heals.
    const double inTouchFrom = trouble ? lastCoreEvent + contactS : 0;
    int late = 0;
    for (const auto &each : leaving.runs()) {
        const bool counts = each.at > acknowledgedAt + drainS && each.at > inTouchFrom && each.at < begin + cutS;
        late += counts ? 1 : 0;
    }
    if (std::getenv("REVIEW_LOGS") != nullptr) {
        log.add(fleet.logOf("control-a1"));
    }
    log.add("acknowledged at " + std::to_string(acknowledgedAt) + "; in touch from " + std::to_string(inTouchFrom)
            + "; requests that reached i-leaving later than " + std::to_string(drainS) + " s after the acknowledgement: " + std::to_string(late));
    fleet.end(late > 0 ? broken : held);
}
