// Entry point of the daemon.

#include "daemon/daemon.h"
#include "daemon/process_signals.h"
#include "front_ends.h"
#include "node/node.h"
#include "observe/log.h"
#include "settings/settings_file.h"

#include <cxxopts.hpp>
#include <iostream>
#include <malloc.h>

namespace
{

using namespace hornbeampick;

// Documented exit codes.
constexpr int exitOk = 0;
constexpr int exitUsage = 2;
constexpr int exitSettings = 3;
constexpr int exitStart = 4;

// Allocations from this size on are mapped separately and return to the system when freed, such as the buffers of a whole rule file.
constexpr int mmapThresholdBytes = 256 << 10;

int runDaemon(const std::string &path)
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    const auto parsed = loadSettings(path);
    for (const auto &error : parsed.errors) {
        std::cerr << error.text() << "\n";
    }
    if (!parsed.settings) {
        return exitSettings;
    }
    startLog(parsed.settings->host(), parsed.settings->log().file());
    auto made = makeDaemon(parsed.settings);
    if (!made) {
        logEvent(log_level::error, "start-failed", {errorField(made.error())});
        std::cerr << "hornbeampickd: " << made.error().message() << "\n";
        return exitStart;
    }
    made.value()->run();
    return exitOk;
}

int runNode(const std::string &path)
{
    const auto parsed = loadNodeSettings(path);
    for (const auto &error : parsed.errors) {
        std::cerr << error.text() << "\n";
    }
    if (!parsed.settings) {
        return exitSettings;
    }
    startLog(parsed.settings->host(), {});
    const auto frontEnds = platform::makeFrontEnds(*parsed.settings);
    const auto reload = [path]() {
        const auto reloaded = loadNodeSettings(path);
        for (const auto &error : reloaded.errors) {
            logEvent(log_level::warning, "settings-ignored", {{"reason", error.text()}});
        }
        return reloaded.settings;
    };
    auto made = parsed.settings->front().empty() ? makeControlNode(parsed.settings, frontEnds) : makeEntryNode(parsed.settings, frontEnds, reload);
    if (!made) {
        logEvent(log_level::error, "start-failed", {errorField(made.error())});
        return exitStart;
    }
    made.value()->run();
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("hornbeampickd",
                             "Daemon of one host of the fleet.\n\nExit codes: 0 graceful shutdown, 2 usage error, 3 invalid settings, 4 a port, key or data "
                             "folder cannot be used.");
    options.add_options()("settings", "settings file of a host whose rules come from a rule file (YAML)", cxxopts::value<std::string>(),
                          "FILE")("node", "settings file of an entry or control host whose routes come from its operators (YAML)",
                                  cxxopts::value<std::string>(), "FILE")("help", "show this help");
    holdSignals();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help();
            return exitOk;
        }
        if (parsed.count("node") > 0) {
            return runNode(parsed["node"].as<std::string>());
        }
        if (parsed.count("settings") == 0) {
            std::cerr << options.help();
            return exitUsage;
        }
        return runDaemon(parsed["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "hornbeampickd: " << error.what() << "\n";
        return exitUsage;
    }
}
