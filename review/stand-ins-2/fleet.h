// Shared by the cases: starts the project's daemons on loopback addresses, and stand-ins for clients, the operator and instances.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;

/// Seconds since the start of this program.
double now();
void sleepUntil(double at);
/// Appends a line with the time to record.txt. Thread-safe.
void record(const std::string &line);
/// Writes a line and ends the program with 2: the case could not run.
[[noreturn]] void cannotRun(const std::string &why);
bool hasTrouble();

struct response {
    // 0: no response. -1: no connection.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// A TCP connection with time-outs.
class connection
{
public:
    connection() = default;
    explicit connection(int socket)
        : m_socket(socket)
    {
    }
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool open(const std::string &ip, int port, double timeout);
    bool send(const std::string &bytes, double timeout);
    /// Reads one response.
    response readResponse(double timeout);
    /// Reads one request: start line, headers in lower case, body. False when the connection ended.
    bool readRequest(std::string &line, std::map<std::string, std::string> &headers, std::string &body, double timeout);
    /// True when the peer has closed.
    bool isClosed();
    void close();

private:
    bool fill(double deadline);
    int m_socket = -1;
    std::string m_buffer;
};

response call(const std::string &ip, int port, const std::string &method, const std::string &path, const std::string &body, double timeout,
              const std::string &headers = {});

struct machine {
    std::string name;
    std::string zone;
    std::string ip;
    bool isCore = false;
    pid_t pid = 0;
    double startedAt = 0;
};

struct zone {
    std::string name;
    std::string region;
};

struct bounds {
    int contactMs = 0;
    int heartbeatMs = 1500;
    int graceS = 6;
    int configApplyMs = 2500;
    int budgetSlack = 60;
};

/// The machines of a deployment, each a process of the project with a loopback address of its own.
class fleet
{
public:
    fleet(std::string root, std::vector<zone> zones, const bounds &limits);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    machine &add(const std::string &zoneName, bool isCore);
    void start(machine &which, bool isFirst);
    /// SIGKILL, as at a loss of power; the disk stays.
    void kill(machine &which);
    void signal(machine &which, int number);
    /// Waits for the process to end. False when it has not in time.
    bool awaitEnd(machine &which, double timeout);
    bool isRunning(machine &which);
    std::vector<machine *> cores();

    int front() const
    {
        return m_front;
    }
    int readiness() const
    {
        return m_readiness;
    }
    int control() const
    {
        return m_control;
    }
    int serverPort() const
    {
        return m_server;
    }
    /// An address in the zone that no machine has.
    std::string serverIp(const std::string &zoneName);

    std::vector<std::unique_ptr<machine>> machines;

private:
    void writeSettings(const machine &which, bool isFirst);
    const std::string &regionOf(const std::string &zoneName) const;

    std::string m_root;
    std::string m_folder;
    std::vector<zone> m_zones;
    bounds m_bounds;
    int m_net = 0;
    std::map<std::string, int> m_used;
    int m_front = 0, m_readiness = 0, m_control = 0, m_directory = 0, m_rpc = 0, m_metrics = 0, m_server = 0;
};

/// The operator and other callers of the control hosts: picks a daemon, follows 307 twice, goes on to another one after a failure or a second.
class control_caller
{
public:
    control_caller(fleet &machines, std::function<bool(const machine &)> isListed);
    /// One attempt at the next daemon of the list.
    response attempt(const std::string &method, const std::string &path, const std::string &body);
    /// Sends the same call again until it has a clear answer. Returns the status, 0 when there was none in time.
    int order(const std::string &method, const std::string &path, const std::string &body, double timeout);

private:
    fleet &m_fleet;
    std::function<bool(const machine &)> m_isListed;
    std::size_t m_next = 0;
};

struct route {
    std::string name;
    std::string prefix;
    std::string type;
    int timeoutMs = 0;
    std::string service;
};

std::string configuration(int version, const std::vector<route> &routes, const std::vector<std::string> &services);

/// A sound instance of a service: `slots` requests at once, answers with its stamp after `workMs`, drops a request whose connection closes.
class instance
{
public:
    instance(fleet &machines, std::string id, std::string service, std::string zoneName, int slots, int workMs);
    ~instance();
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

    /// Sends heartbeats to this daemon until `stopHeartbeats`; to another one when it fails.
    void beginHeartbeats(machine &daemon);
    void stopHeartbeats();
    bool heartbeat(machine &daemon);
    bool deregister(machine &daemon);
    std::string id() const
    {
        return m_id;
    }

    struct run {
        std::string request;
        double begun = 0;
        // When it ended, and whether because the connection had closed.
        double ended = 0;
        bool dropped = false;
    };
    std::vector<run> runs();

private:
    void accept();
    void serve(int socket);

    fleet &m_fleet;
    std::string m_id, m_service, m_zone, m_ip;
    int m_slots, m_workMs;
    long long m_born;
    int m_sequence = 0;
    int m_listener = -1;
    std::atomic<bool> m_stopping {false};
    std::atomic<bool> m_beating {false};
    std::atomic<int> m_running {0};
    std::atomic<int> m_open {0};
    std::thread m_acceptor, m_beats;
    std::mutex m_lock;
    std::vector<run> m_runs;
};

std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body);

} // namespace review
