#pragma once

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

/// Real control and entry hosts, each at its own loopback address with the same ports, in two regions of two failure domains.
class node_fleet
{
public:
    node_fleet(std::size_t controlHosts, std::size_t entryHosts);
    ~node_fleet();
    node_fleet(const node_fleet &) = delete;
    node_fleet &operator=(const node_fleet &) = delete;

    /// Names are control-0, control-1, … and entry-0, entry-1, …
    void start(const std::string &name, bool bootstrap = false);
    void startAll();
    void kill(const std::string &name);
    void signal(const std::string &name, int number);
    /// Waits for the end of a process that was told to stop; -1 when it does not come.
    int awaitExit(const std::string &name);
    void removeData(const std::string &name);

    [[nodiscard]] std::string control(std::size_t host) const;
    [[nodiscard]] std::string directory(std::size_t host) const;
    [[nodiscard]] std::string front(std::size_t host) const;
    [[nodiscard]] std::string readiness(std::size_t host) const;
    [[nodiscard]] static std::string domainOf(std::size_t host);
    [[nodiscard]] static std::string regionOf(std::size_t host);
    /// The last lines of every host's log.
    [[nodiscard]] std::string logs() const;

    /// Sends routes until they are accepted by some control host; they lead /again/ and /once/ of host x to service s.
    bool putRoutes(std::uint64_t version, const std::string &prefix = "");
    /// An upstream reports; returns the status.
    unsigned report(std::size_t control, const std::string &instance, const std::string &address, const std::string &state, std::uint64_t sequence,
                    const std::string &domain, bool leaves = false);

private:
    struct host;

    [[nodiscard]] std::string ipOf(const std::string &name) const;
    [[nodiscard]] std::string settingsOf(const std::string &name, bool bootstrap) const;

    std::filesystem::path m_folder;
    std::size_t m_controlHosts;
    std::size_t m_entryHosts;
    std::string m_network;
    std::uint16_t m_port = 0;
    std::map<std::string, std::unique_ptr<host>> m_hosts;
};

/// Waits until `condition` holds; false when it does not within a generous time.
bool awaitCondition(const std::function<bool()> &condition);

} // namespace hornbeampick::testing
