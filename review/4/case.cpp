// A cold instance in a region of 24 entry hosts gets more requests a second than it may.
#include "../stand-ins/harness.h"

using namespace review;

namespace
{

// Edge machines of one of the three regions of weegbrug-net-large.
constexpr int entryHosts = 24;
// `warmup_per_s` of its services, `warmup_factor` and `warmup_slack`.
constexpr double warmupPerS = 2;
constexpr double warmupFactor = 1.5;
constexpr double warmupSlack = 10;
constexpr int warmupMs = 3000;
// Requests in one second at which the stand-in crashes: ten times what a cold instance tolerates.
constexpr int crashAt = 20;

const char *const routes = R"(["r-s","shop.example","/s/","non_idempotent",12000,1500,1,"s",2,false,[],null])";

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const bool trouble = hasTrouble();
    record log(std::string(argv[1]) + "/record.txt");
    deployment fleet("  - {failureDomain: \"a1\", region: \"a\"}\n  - {failureDomain: \"b1\", region: \"b\"}\n  - {failureDomain: \"c1\", region: \"c\"}\n");
    const std::vector<std::string> zones {"a1", "b1", "c1"};
    const std::vector<std::string> seeds {fleet.ip(10), fleet.ip(11), fleet.ip(12)};
    std::vector<std::string> controls;
    for (int i = 0; i < 3; ++i) {
        const auto name = "control-" + zones[i];
        fleet.add({.name = name, .ip = fleet.ip(10 + i), .zone = zones[i], .region = zones[i].substr(0, 1), .isControl = true, .seeds = seeds});
        controls.push_back(fleet.control(name));
        fleet.start(name, true);
    }
    std::vector<std::string> entries;
    for (int i = 0; i < entryHosts; ++i) {
        entries.push_back("entry-" + std::to_string(i));
        fleet.add({.name = entries.back(), .ip = fleet.ip(50 + i), .zone = "a1", .region = "a", .seeds = seeds});
        fleet.start(entries.back(), true);
    }
    auto body = configuration(1, routes);
    for (std::size_t at = body.find("3.0,13.0"); at != std::string::npos; at = body.find("3.0,13.0")) {
        body.replace(at, 8, "3.0,2.0");
    }
    if (!put(controls, body, 20000)) {
        fleet.end(couldNotRun);
    }
    std::vector<std::unique_ptr<instance>> warm;
    for (int i = 0; i < 8; ++i) {
        warm.push_back(std::make_unique<instance>("i-warm-" + std::to_string(i), "s", "a1", fleet.at(fleet.ip(100 + i), 6), log, 100));
    }
    instance cold("i-cold", "s", "a1", fleet.at(fleet.ip(120), 6), log, 100);
    std::atomic<bool> ended {false};
    std::thread beats([&] {
        while (!ended) {
            for (auto &each : warm) {
                each->beat(controls[0]);
            }
            sleepFor(1500);
        }
    });
    for (const auto &entry : entries) {
        if (!fleet.awaitReady(entry, 15000)) {
            log.add(entry + " is not ready");
            fleet.end(couldNotRun);
        }
    }
    // Each entry host has callers of its own.
    std::vector<std::thread> callers;
    std::atomic<int> served {0};
    std::mutex lock;
    std::map<std::string, int> statuses;
    for (int i = 0; i < entryHosts; ++i) {
        callers.emplace_back([&, i] {
            for (int number = 0; !ended; ++number) {
                const auto id = "q" + std::to_string(i) + "-" + std::to_string(number);
                const int fd = connectTo(fleet.front(entries[i]), 1000);
                std::string buffer;
                message answer;
                if (fd >= 0
                    && sendAll(fd, "GET /s/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 12000\r\nConnection: close\r\n\r\n")
                    && readMessage(fd, buffer, answer, 12000)) {
                    served += answer.status() == 200 ? 1 : 0;
                }
                ::close(fd);
                {
                    const std::lock_guard guard(lock);
                    statuses[id] = answer.status();
                }
                sleepFor(100);
            }
        });
    }
    sleepFor(4000);
    if (trouble) {
        log.add("an empty instance is added; it stays cold for 3 s");
        cold.beat(controls[0], "ready", warmupMs);
    }
    const double joined = now();
    bool hasCrashed = false;
    while (now() < joined + warmupMs / 1000.0 - 0.2) {
        int inLastSecond = 0;
        for (const auto &each : cold.runs()) {
            inLastSecond += each.at > now() - 1 ? 1 : 0;
        }
        if (!hasCrashed && inLastSecond >= crashAt) {
            hasCrashed = true;
            cold.crash();
            log.add("i-cold crashes, with " + std::to_string(inLastSecond) + " requests in the last second");
        }
        sleepFor(5);
    }
    ended = true;
    for (auto &each : callers) {
        each.join();
    }
    int most = 0;
    const auto runs = cold.runs();
    int lost = 0;
    for (const auto &each : runs) {
        lost += statuses[each.id] == 200 ? 0 : 1;
    }
    for (const auto &first : runs) {
        int count = 0;
        for (const auto &other : runs) {
            count += other.at >= first.at && other.at < first.at + 1 ? 1 : 0;
        }
        most = std::max(most, count);
    }
    const double allowed = warmupPerS * warmupFactor + warmupSlack;
    log.add("served: " + std::to_string(served) + "; the most requests to i-cold in one second: " + std::to_string(most) + ", allowed "
            + std::to_string(allowed) + "; requests that ran there and weren't answered with success: " + std::to_string(lost) + "; it joined at "
            + std::to_string(joined));
    fleet.end(most > allowed ? broken : held);
}
