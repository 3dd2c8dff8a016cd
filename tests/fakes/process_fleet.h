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
    // Mutual TLS with keys made for the test.
    bool tls = false;
    // Services in YAML; empty: lookup (idempotent) and weigh-in.
    std::string services;
    // Further top-level settings in YAML.
    std::string more;
};

/// Result of one run of the operators' tool.
struct tool_run {
    int exitCode = -1;
    std::string output;
};

/// Real daemons in the layout of three regions with two failure domains each; the first host of each region
/// has a disk. Peers reach each other through one fault-injecting proxy a host.
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
    /// SIGTERM; returns the exit code.
    int stop(std::size_t host);
    void signal(std::size_t host, int number);
    [[nodiscard]] bool runs(std::size_t host);
    void removeData(std::size_t host);

    [[nodiscard]] const std::string &name(std::size_t host) const;
    [[nodiscard]] std::string http(std::size_t host) const;
    [[nodiscard]] fault_proxy &rpcProxy(std::size_t host);
    [[nodiscard]] std::string status(std::size_t host) const;
    /// Runs the tool against all hosts.
    tool_run tool(const std::string &arguments);
    /// Runs the tool against one host, with the operator's key of one set and trust in the authorities of others.
    tool_run toolAt(std::size_t host, const std::string &keySet, const std::vector<std::string> &trusted, const std::string &arguments);
    /// Makes an authority with keys for hosts and operators of its own. The fleet starts with the set "first".
    void makeKeys(const std::string &keySet);
    /// Replaces the files that the hosts read: their own keys, and the authorities they trust.
    void useKeys(const std::string &keySet, const std::vector<std::string> &trusted);
    /// Writes a file below the fleet's folder and returns its path.
    std::string write(const std::string &name, const std::string &content);
    /// Last lines of every host's log.
    [[nodiscard]] std::string logs() const;

    /// Waits until all hosts are alive in each other's tables, a leader is there and all claim epochs are open.
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

/// Repeats `holds` until it is true, up to one generous deadline. Returns false when it never was.
bool await(const std::function<bool()> &holds, std::chrono::seconds deadline = std::chrono::seconds(40));

} // namespace hornbeampick::testing
