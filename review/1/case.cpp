// After some hundred configurations the processes of the core need more memory to start again than their machines have, and no one can read
// the configuration any more.
#include "../stand-ins/harness.h"

using namespace review;

namespace
{

// Largest `big_config` of dha-slots-grown, beside the routes that are there from the start.
constexpr int addedRoutes = 1400;
constexpr int firstRoutes = 40;
// "A day may be long and may contain hundreds of changes."
constexpr int changes = 300;
// `memory_mb` of the core machines.
constexpr int memoryMb = 256;
// `recovery_s`, and as much again.
constexpr int readBackS = 30;

std::string rows(int count)
{
    std::string text;
    for (int i = 0; i < count; ++i) {
        char row[200];
        std::snprintf(row, sizeof row, "%s[\"r-%05x\",\"shop%02d.example\",\"/leny%04d/\",\"idempotent\",1200,400,2,\"s\",2,true,[],null]", i == 0 ? "" : ",",
                      i * 7919, i % 40, i);
        text += row;
    }
    return text;
}

// Private memory of a process in MB, without the pages of its program and libraries.
int memoryOf(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("RssAnon:")) {
            return std::atoi(line.c_str() + 8) / 1024;
        }
    }
    return 0;
}

} // namespace

int main(int, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    const bool trouble = hasTrouble();
    record log(std::string(argv[1]) + "/record.txt");
    deployment fleet("  - {failureDomain: \"a1\", region: \"a\"}\n  - {failureDomain: \"b1\", region: \"b\"}\n  - {failureDomain: \"c1\", region: \"c\"}\n");
    const std::vector<std::string> zones {"a1", "b1", "c1"};
    const std::vector<std::string> seeds {fleet.ip(10), fleet.ip(11), fleet.ip(12)};
    std::vector<std::string> names;
    std::vector<std::string> controls;
    for (int i = 0; i < 3; ++i) {
        names.push_back("control-" + zones[i]);
        fleet.add({.name = names[i], .ip = fleet.ip(10 + i), .zone = zones[i], .region = zones[i].substr(0, 1), .isControl = true, .seeds = seeds});
        controls.push_back(fleet.control(names[i]));
    }
    for (const auto &name : names) {
        fleet.start(name, true);
    }
    // The platform: kills a process that uses more than its machine has, and starts a process that has ended half a second later.
    std::mutex lock;
    std::atomic<bool> ended {false};
    std::atomic<int> kills {0};
    std::map<std::string, int> peaks;
    std::thread platform([&] {
        std::map<std::string, double> startAt;
        while (!ended) {
            {
                const std::lock_guard guard(lock);
                for (const auto &name : names) {
                    if (!fleet.isRunning(name)) {
                        if (startAt[name] == 0) {
                            startAt[name] = now() + 0.5;
                        } else if (now() >= startAt[name]) {
                            startAt[name] = 0;
                            fleet.start(name, false);
                            log.add("the platform starts " + name);
                        }
                        continue;
                    }
                    const int used = memoryOf(fleet.process(name));
                    peaks[name] = std::max(peaks[name], used);
                    if (used > memoryMb) {
                        fleet.stop(name);
                        ++kills;
                        log.add("the platform kills " + name + ", which uses " + std::to_string(used) + " MB of " + std::to_string(memoryMb));
                    }
                }
            }
            sleepFor(2);
        }
    });
    const auto finish = [&](int outcome) {
        ended = true;
        platform.join();
        fleet.end(outcome);
    };
    if (!put(controls, configuration(1, rows(firstRoutes)), 20000)) {
        log.add("the first configuration was not acknowledged");
        finish(couldNotRun);
    }
    const auto routes = rows(firstRoutes + addedRoutes);
    int acknowledged = 1;
    while (acknowledged < 1 + changes && now() < 70) {
        if (!put(controls, configuration(acknowledged + 1, routes), 10000)) {
            break;
        }
        ++acknowledged;
    }
    log.add("acknowledged: version r" + std::to_string(acknowledged) + ", " + std::to_string(firstRoutes + addedRoutes)
            + " routes; kills so far: " + std::to_string(kills));
    if (acknowledged < 1 + changes || kills > 0) {
        finish(couldNotRun);
    }
    sleepFor(1000);
    for (const auto &[name, peak] : peaks) {
        log.add("peak of " + name + " before the disruption: " + std::to_string(peak) + " MB");
    }
    if (trouble) {
        const std::lock_guard guard(lock);
        for (const auto &name : names) {
            fleet.signal(name, SIGKILL);
        }
        log.add("all processes of the core are killed, once");
    }
    // The operator reads the configuration back, at any daemon.
    const std::string expected = "\"version\":\"r" + std::to_string(acknowledged) + "\"";
    const double end = now() + readBackS;
    bool isRead = false;
    for (std::size_t turn = 0; now() < end && !isRead; ++turn) {
        const auto answer = call(controls[turn % 3], "GET", "/-/Config.Get");
        isRead = answer.status() == 200 && answer.body.find(expected) != std::string::npos;
        if (turn % 20 == 0 || isRead) {
            log.add("the operator reads at " + names[turn % 3] + ": status " + std::to_string(answer.status()) + (isRead ? ", the newest version" : ""));
        }
        sleepFor(100);
    }
    log.add(std::string("read back: ") + (isRead ? "yes" : "no") + "; processes killed for their memory: " + std::to_string(kills));
    finish(isRead ? held : broken);
}
