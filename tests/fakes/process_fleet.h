#pragma once

#include "fault_proxy.h"

#include <boost/process/child.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick::testing
{

struct process_fleet_options {
    // Uses mutual TLS with keys that the fleet generates.
    bool tls = false;
    // The services section in YAML; if empty, the services are lookup (idempotent) and weigh-in.
    std::string services;
    // Additional top-level settings in YAML.
    std::string extraSettings;
};

/// Result of one run of the operator tool.
struct tool_run {
    int exitCode = -1;
    std::string output;
};

/// Daemon processes in three regions with two failure domains each; the first host of each region has a disk.
/// RPCs between hosts pass one fault-injecting proxy per host.
class process_fleet
{
public:
    explicit process_fleet(const process_fleet_options &options = {});
    ~process_fleet();
    process_fleet(const process_fleet &) = delete;
    process_fleet &operator=(const process_fleet &) = delete;

    static constexpr std::size_t hostCount = 7;

    void start(std::size_t host);
    void kill(std::size_t host);
    /// Sends SIGTERM, waits for the process to exit and returns its exit code.
    int stop(std::size_t host);
    void signal(std::size_t host, int number);
    [[nodiscard]] bool isRunning(std::size_t host);
    void removeData(std::size_t host);

    [[nodiscard]] const std::string &name(std::size_t host) const;
    [[nodiscard]] std::string http(std::size_t host) const;
    [[nodiscard]] fault_proxy &rpcProxy(std::size_t host);
    [[nodiscard]] std::string status(std::size_t host) const;
    /// Runs the operator tool with the addresses of all hosts.
    tool_run tool(const std::string &arguments);
    /// Runs the operator tool against one host, with the operator key of `keySet`, trusting the authorities of the key sets in `trusted`.
    tool_run toolAt(std::size_t host, const std::string &keySet, const std::vector<std::string> &trusted, const std::string &arguments);
    /// Generates a certificate authority with a host key and an operator key. The fleet starts with the key set "first".
    void makeKeys(const std::string &keySet);
    /// Replaces the certificate and key files of the hosts and the authorities they trust.
    void useKeys(const std::string &keySet, const std::vector<std::string> &trusted);
    /// Writes a file below the fleet's folder and returns its path.
    std::string write(const std::string &name, const std::string &content);
    /// Returns the last 3000 bytes of every host's log and error output.
    [[nodiscard]] std::string logs() const;

    /// Waits until every host sees all hosts alive, a leader is elected and all claim epochs are open. Throws std::runtime_error on timeout.
    void awaitReady();

private:
    struct host;

    [[nodiscard]] std::string bundleOf(const std::vector<std::string> &keySets) const;
    void replace(const std::string &file, const std::string &content);
    tool_run runTool(const std::string &hosts, const std::string &keys, const std::string &arguments);
    [[nodiscard]] std::string settingsOf(std::size_t index) const;
    [[nodiscard]] std::string tlsSettings() const;

    process_fleet_options m_options;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<host>> m_hosts;
};

/// Polls `condition` until it returns true; returns false if it does not within `deadline`.
bool await(const std::function<bool()> &condition, std::chrono::seconds deadline = std::chrono::seconds(40));

} // namespace hornbeampick::testing
