#pragma once

#include "fakes/fault_proxy.h"

#include <boost/process/child.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick::testing
{

/// An answer to one HTTP call; status 0 when none came.
struct call_answer {
    unsigned status = 0;
    std::string body;
    std::string retryAfter;
};

/// Calls `address` ("ip:port"), following redirects twice.
call_answer callHttp(const std::string &address, const std::string &method, const std::string &target, const std::string &body = "",
                     const std::map<std::string, std::string> &headers = {});

struct node_fleet_options {
    std::size_t controlHosts = 3;
    std::size_t entryHosts = 2;
    // Calls to control hosts from other hosts pass a proxy that injects faults.
    bool proxies = false;
    // A library that is loaded into every process, with HORNBEAMPICK_FAULTS naming a file for each; empty: none.
    std::string preload {};
};

/// Real control and entry hosts, each at its own loopback address with the same ports, in two regions of two failure domains.
class node_fleet
{
public:
    explicit node_fleet(const node_fleet_options &options);
    node_fleet(std::size_t controlHosts, std::size_t entryHosts);
    ~node_fleet();
    node_fleet(const node_fleet &) = delete;
    node_fleet &operator=(const node_fleet &) = delete;

    /// Milliseconds since the epoch at which upstreams began, unless said otherwise.
    static constexpr std::uint64_t firstIncarnation = 1790000000000;

    /// Names are control-0, control-1, … and entry-0, entry-1, …
    void start(const std::string &name, bool bootstrap = false);
    void startAll();
    void kill(const std::string &name);
    void signal(const std::string &name, int number);
    [[nodiscard]] bool runs(const std::string &name);
    /// Waits for the end of a process that was told to stop; -1 when it does not come.
    int awaitExit(const std::string &name);
    void removeData(const std::string &name);

    [[nodiscard]] std::string control(std::size_t host) const;
    [[nodiscard]] std::string directory(std::size_t host) const;
    [[nodiscard]] std::string front(std::size_t host) const;
    [[nodiscard]] std::string readiness(std::size_t host) const;
    /// The proxy before a control host; only with the option.
    [[nodiscard]] fault_proxy &proxyOf(std::size_t controlHost);
    /// The file that the preloaded library of a host reads.
    [[nodiscard]] std::filesystem::path faultFileOf(const std::string &name) const;
    [[nodiscard]] static std::string domainOf(std::size_t host);
    [[nodiscard]] static std::string regionOf(std::size_t host);
    /// The last lines of every host's log.
    [[nodiscard]] std::string logs() const;

    /// Sends routes until they are accepted by some control host; /retry/, /again`prefix`/ and /once/ of host x lead to service s.
    bool putRoutes(std::uint64_t version, const std::string &prefix = "");
    /// An upstream leaves without saying more than its name; returns the status.
    unsigned leave(std::size_t control, const std::string &instance);
    /// An upstream reports; returns the status.
    unsigned report(std::size_t control, const std::string &instance, const std::string &address, const std::string &state, std::uint64_t sequence,
                    const std::string &domain, bool leaves = false, std::uint64_t incarnation = firstIncarnation);

private:
    struct host;

    [[nodiscard]] std::string ipOf(const std::string &name) const;
    [[nodiscard]] std::string settingsOf(const std::string &name, bool bootstrap) const;

    std::filesystem::path m_folder;
    node_fleet_options m_options;
    std::string m_network;
    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<fault_proxy>> m_proxies;
    std::map<std::string, std::unique_ptr<host>> m_hosts;
};

/// Waits until `condition` holds; false when it does not within a generous time.
bool awaitCondition(const std::function<bool()> &condition);

} // namespace hornbeampick::testing
