// Stand-ins for the operator, clients, instances and the network, and the processes of a small deployment on loopback addresses.
// Only POSIX and the C++ standard library are used.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit codes of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

inline steady::time_point startOfCase = steady::now();
inline double now()
{
    return std::chrono::duration<double>(steady::now() - startOfCase).count();
}
inline void sleepUntil(double second)
{
    std::this_thread::sleep_until(startOfCase + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(second)));
}
inline void sleepFor(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// What was sent, answered and run, with the second of the case.
class record
{
public:
    explicit record(const std::string &path)
        : m_file(path, std::ios::trunc)
    {
    }
    void add(const std::string &text)
    {
        const std::lock_guard guard(m_lock);
        char at[32];
        std::snprintf(at, sizeof at, "%8.3f  ", now());
        m_file << at << text << std::endl;
    }

private:
    std::mutex m_lock;
    std::ofstream m_file;
};

inline sockaddr_in endpoint(const std::string &address)
{
    sockaddr_in result {};
    const auto colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

inline int connectTo(const std::string &address, int timeoutMs)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto to = endpoint(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0 && errno == EINPROGRESS) {
        pollfd ready {fd, POLLOUT, 0};
        int error = ETIMEDOUT;
        socklen_t size = sizeof error;
        if (::poll(&ready, 1, timeoutMs) > 0) {
            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        }
        if (error != 0) {
            ::close(fd);
            return -1;
        }
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return fd;
}

inline int listenOn(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto at = endpoint(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || ::listen(fd, 512) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

// Appends what arrives within the timeout. Returns false at the end of the stream, on an error and on a timeout.
inline bool receiveSome(int fd, std::string &buffer, int timeoutMs)
{
    pollfd ready {fd, POLLIN, 0};
    if (timeoutMs >= 0 && ::poll(&ready, 1, timeoutMs) <= 0) {
        return false;
    }
    char bytes[65536];
    const auto count = ::recv(fd, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return false;
    }
    buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

inline std::string lower(std::string text)
{
    for (auto &c : text) {
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
    return text;
}

/// An HTTP message as it was read.
struct message {
    std::string first;
    std::map<std::string, std::string> fields;
    std::string body;
    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(lower(name));
        return found == fields.end() ? std::string() : found->second;
    }
    [[nodiscard]] int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

// Reads a message with a length or without a body.
inline bool readMessage(int fd, std::string &buffer, message &out, int timeoutMs)
{
    const auto end = steady::now() + milliseconds(timeoutMs);
    const auto left
        = [&] { return timeoutMs < 0 ? -1 : std::max<int>(0, static_cast<int>(std::chrono::duration_cast<milliseconds>(end - steady::now()).count())); };
    while (buffer.find("\r\n\r\n") == std::string::npos) {
        if (!receiveSome(fd, buffer, left())) {
            return false;
        }
    }
    out = {};
    const auto headEnd = buffer.find("\r\n\r\n");
    std::istringstream head(buffer.substr(0, headEnd));
    buffer.erase(0, headEnd + 4);
    std::string line;
    std::getline(head, out.first);
    while (std::getline(head, line)) {
        const auto colon = line.find(':');
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        value.erase(value.find_last_not_of("\r ") + 1);
        out.fields[lower(line.substr(0, colon))] = value;
    }
    if (!out.first.empty() && out.first.back() == '\r') {
        out.first.pop_back();
    }
    const auto length = out.field("content-length");
    const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < wanted) {
        if (!receiveSome(fd, buffer, left())) {
            return false;
        }
    }
    out.body = buffer.substr(0, wanted);
    buffer.erase(0, wanted);
    return true;
}

/// Sends one call of an instance or the operator, and follows up to two redirects. Status 0: no response within the timeout.
inline message call(std::string address, const std::string &method, const std::string &target, const std::string &body = "", int timeoutMs = 1000)
{
    message answer;
    for (int hop = 0; hop < 3; ++hop) {
        answer = {};
        const int fd = connectTo(address, timeoutMs);
        if (fd < 0) {
            return {};
        }
        const bool sent = sendAll(fd,
                                  method + " " + target + " HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: "
                                      + std::to_string(body.size()) + "\r\n\r\n" + body);
        std::string buffer;
        const bool read = sent && readMessage(fd, buffer, answer, timeoutMs);
        ::close(fd);
        if (!read) {
            return {};
        }
        if (answer.status() != 307) {
            return answer;
        }
        const auto location = answer.field("location").substr(7);
        address = location.substr(0, location.find('/'));
    }
    return answer;
}

/// A link to one address that other hosts call. While it is cut for a caller, the caller's bytes are held up, and new connections hang.
class host_link
{
public:
    /// `ownerOf` names the host to which a local port belongs; `isCutFor` tells whether the link is cut for that host.
    host_link(const std::string &from, const std::string &to, std::function<std::string(std::uint16_t)> ownerOf,
              std::function<bool(const std::string &)> isCutFor)
        : m_to(to)
        , m_ownerOf(std::move(ownerOf))
        , m_isCutFor(std::move(isCutFor))
        , m_listener(listenOn(from))
    {
        std::thread([this] { accept(); }).detach();
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_listener >= 0;
    }

private:
    void accept()
    {
        while (true) {
            sockaddr_in from {};
            socklen_t size = sizeof from;
            const int caller = ::accept4(m_listener, reinterpret_cast<sockaddr *>(&from), &size, SOCK_CLOEXEC);
            if (caller < 0) {
                return;
            }
            std::thread([this, caller, port = ntohs(from.sin_port)] { carry(caller, m_ownerOf(port)); }).detach();
        }
    }
    void waitWhileCut(const std::string &owner) const
    {
        while (m_isCutFor(owner)) {
            sleepFor(5);
        }
    }
    void carry(int caller, const std::string &owner)
    {
        waitWhileCut(owner);
        const int target = connectTo(m_to, 1000);
        if (target < 0) {
            ::close(caller);
            return;
        }
        pollfd ends[2] = {{caller, POLLIN, 0}, {target, POLLIN, 0}};
        bool open = true;
        while (open) {
            ::poll(ends, 2, 1000);
            for (int i = 0; i < 2 && open; ++i) {
                if (ends[i].revents == 0) {
                    continue;
                }
                std::string bytes;
                open = receiveSome(ends[i].fd, bytes, -1);
                waitWhileCut(owner);
                open = open && sendAll(ends[1 - i].fd, bytes);
            }
        }
        ::close(caller);
        ::close(target);
    }

    std::string m_to;
    std::function<std::string(std::uint16_t)> m_ownerOf;
    std::function<bool(const std::string &)> m_isCutFor;
    int m_listener;
};

/// Processes of the system: the command of the deploy file, each with a settings file as the template makes it.
class deployment
{
public:
    struct host {
        std::string name;
        std::string ip;
        std::string zone;
        std::string region;
        bool isControl = false;
        // Address under which the others know the host, when it lies behind a link; empty for its own.
        std::string publicIp {};
        std::vector<std::string> seeds {};
        pid_t process {0};
    };

    explicit deployment(std::string zones)
        : m_zones(std::move(zones))
    {
        char name[] = "/tmp/review-XXXXXX";
        m_folder = ::mkdtemp(name);
        const auto pid = static_cast<unsigned>(::getpid());
        m_network = "127." + std::to_string(30 + pid % 190) + "." + std::to_string(1 + pid / 190 % 250) + ".";
        m_port = static_cast<std::uint16_t>(20000 + pid % 8000);
    }
    /// Ends all processes of the deployment and then this one, whose threads may still use the stand-ins.
    [[noreturn]] void end(int outcome)
    {
        for (auto &[name, each] : m_hosts) {
            stop(name);
        }
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
        ::_exit(outcome);
    }
    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    [[nodiscard]] std::string ip(int last) const
    {
        return m_network + std::to_string(last);
    }
    [[nodiscard]] std::string at(const std::string &ip, int offset) const
    {
        return ip + ":" + std::to_string(m_port + offset);
    }
    [[nodiscard]] std::string front(const std::string &name) const
    {
        return at(m_hosts.at(name).ip, 0);
    }
    [[nodiscard]] std::string readiness(const std::string &name) const
    {
        return at(m_hosts.at(name).ip, 1);
    }
    [[nodiscard]] std::string control(const std::string &name) const
    {
        return at(m_hosts.at(name).ip, 2);
    }
    void add(const host &added)
    {
        m_hosts[added.name] = added;
    }
    void start(const std::string &name, bool bootstrap)
    {
        auto &each = m_hosts.at(name);
        const auto file = m_folder + "/" + name + ".yaml";
        std::ofstream(file) << settings(each, bootstrap);
        const auto log = m_folder + "/" + name + ".log";
        const pid_t child = ::fork();
        if (child == 0) {
            // No process outlives a case that is broken off.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execl("target/hornbeampickd", "hornbeampickd", "--node", file.c_str(), nullptr);
            ::_exit(127);
        }
        each.process = child;
    }
    void signal(const std::string &name, int number)
    {
        if (isRunning(name)) {
            ::kill(m_hosts.at(name).process, number);
        }
    }
    bool isRunning(const std::string &name)
    {
        auto &each = m_hosts.at(name);
        if (each.process != 0 && ::waitpid(each.process, nullptr, WNOHANG) != 0) {
            each.process = 0;
        }
        return each.process != 0;
    }
    void stop(const std::string &name)
    {
        auto &each = m_hosts.at(name);
        if (isRunning(name)) {
            ::kill(each.process, SIGKILL);
            ::waitpid(each.process, nullptr, 0);
            each.process = 0;
        }
    }
    [[nodiscard]] pid_t process(const std::string &name) const
    {
        return m_hosts.at(name).process;
    }
    /// Returns the host whose process has a socket with this local port; empty when there is none.
    [[nodiscard]] std::string ownerOf(std::uint16_t port)
    {
        for (int attempt = 0; attempt < 20; ++attempt) {
            const auto inode = inodeOf(port);
            for (const auto &[name, each] : m_hosts) {
                if (!inode.empty() && each.process != 0 && holdsSocket(each.process, inode)) {
                    return name;
                }
            }
            sleepFor(5);
        }
        return {};
    }
    [[nodiscard]] std::string logOf(const std::string &name) const
    {
        std::ostringstream text;
        text << std::ifstream(m_folder + "/" + name + ".log").rdbuf();
        return text.str();
    }
    bool awaitReady(const std::string &name, int timeoutMs)
    {
        const auto end = steady::now() + milliseconds(timeoutMs);
        while (steady::now() < end) {
            if (call(readiness(name), "GET", "/-/readyz").status() == 200) {
                return true;
            }
            sleepFor(50);
        }
        return false;
    }

private:
    static std::string inodeOf(std::uint16_t port)
    {
        // A socket of the IPv6 family may hold an IPv4 connection.
        std::ifstream tables[] {std::ifstream("/proc/net/tcp6"), std::ifstream("/proc/net/tcp")};
        std::string line;
        while (std::getline(tables[0], line) || std::getline(tables[1], line)) {
            unsigned localPort = 0;
            char remote[64];
            unsigned state = 0;
            char inode[64];
            const int read = std::sscanf(line.c_str(), " %*d: %*[0-9A-F]:%X %63s %X %*s %*s %*s %*s %*s %63s", &localPort, remote, &state, inode);
            if (read == 4 && localPort == port && state == 1) {
                return inode;
            }
        }
        return {};
    }
    static bool holdsSocket(pid_t process, const std::string &inode)
    {
        std::error_code ignored;
        for (const auto &each : std::filesystem::directory_iterator("/proc/" + std::to_string(process) + "/fd", ignored)) {
            if (std::filesystem::read_symlink(each.path(), ignored) == "socket:[" + inode + "]") {
                return true;
            }
        }
        return false;
    }
    [[nodiscard]] std::string settings(const host &each, bool bootstrap) const
    {
        const auto known = each.publicIp.empty() ? each.ip : each.publicIp;
        std::ostringstream text;
        text << "host: \"" << each.name << "\"\nregion: \"" << each.region << "\"\nfailureDomain: \"" << each.zone << "\"\n";
        if (each.isControl) {
            text << "control: \"" << at(each.ip, 2) << "\"\ndirectory: \"" << at(each.ip, 3) << "\"\ndataFolder: \"" << m_folder << "/" << each.name << "\"\n";
        } else {
            text << "front: \"" << at(each.ip, 0) << "\"\nreadiness: \"" << at(each.ip, 1) << "\"\n";
        }
        text << "rpc: \"" << at(known, 4) << "\"\n";
        if (!each.publicIp.empty()) {
            text << "rpcListen: \"" << at(each.ip, 4) << "\"\n";
        }
        text << "metrics: \"" << at(each.ip, 5) << "\"\nseeds:\n";
        for (const auto &seed : each.seeds) {
            text << "  - \"" << at(seed, 2) << "\"\n";
        }
        text << "bootstrap: " << (bootstrap ? "true" : "false")
             << "\nthreads: 2\nlinkMbps: 1000.0\ndeployment:\n  heartbeatMs: 1500\n  graceS: 6\n  lookupTtlMs: 2000\n  retryRatio: 0.2\n  retrySlack: 60\n"
                "  routesApplyMs: 2500\nfailureDomains:\n"
             << m_zones;
        return text.str();
    }

    std::string m_zones;
    std::string m_folder;
    std::string m_network;
    std::uint16_t m_port = 0;
    std::map<std::string, host> m_hosts;
};

/// One run of a request by an instance.
struct run {
    double at = 0;
    std::string first;
    std::string id;
    std::string body;
};

/// An instance that answers every request after `workMs`, and keeps its connections.
class instance
{
public:
    instance(std::string id, std::string service, std::string zone, const std::string &address, record &log, int workMs = 20)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_address(address)
        , m_log(log)
        , m_workMs(workMs)
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
        , m_listener(listenOn(address))
    {
        std::thread([this] { accept(); }).detach();
    }
    [[nodiscard]] bool isOpen() const
    {
        return m_listener >= 0;
    }
    int beat(const std::string &control, const std::string &state = "ready", int warmupLeftMs = 0)
    {
        std::ostringstream body;
        body << "{\"service\":\"" << m_service << "\",\"address\":\"" << m_address << "\",\"zone\":\"" << m_zone
             << "\",\"version\":\"v1\",\"slots\":6,\"state\":\"" << state << "\",\"warmup_left_ms\":" << warmupLeftMs << ",\"seq\":" << ++m_sequence
             << ",\"born\":" << m_born << "}";
        return call(control, "POST", "/-/Instances.Heartbeat/" + m_id, body.str()).status();
    }
    /// Closes all connections and listens no more, as a process that has crashed.
    void crash()
    {
        m_crashed = true;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const std::lock_guard guard(m_lock);
        for (const int caller : m_callers) {
            ::shutdown(caller, SHUT_RDWR);
        }
    }
    std::vector<run> runs()
    {
        const std::lock_guard guard(m_lock);
        return m_runs;
    }

private:
    void accept()
    {
        while (true) {
            const int caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (caller < 0) {
                return;
            }
            std::thread([this, caller] { serve(caller); }).detach();
        }
    }
    void serve(int caller)
    {
        std::string buffer;
        message request;
        {
            const std::lock_guard guard(m_lock);
            m_callers.insert(caller);
        }
        while (!m_crashed && readMessage(caller, buffer, request, -1)) {
            const auto id = request.field("request-id");
            const auto expected = request.field("expect-instance");
            std::string answer;
            if (!expected.empty() && expected != m_id) {
                answer = "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            } else {
                {
                    const std::lock_guard guard(m_lock);
                    m_runs.push_back({now(), request.first, id, request.body});
                }
                m_log.add("instance " + m_id + " runs " + id + ": " + request.first + ", body of " + std::to_string(request.body.size()) + " bytes");
                sleepFor(m_workMs);
                answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + m_id + "." + id
                    + "\r\nInstance-Load: 1,0,6\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
            }
            if (m_crashed || !sendAll(caller, answer)) {
                break;
            }
        }
        const std::lock_guard guard(m_lock);
        m_callers.erase(caller);
        ::close(caller);
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    record &m_log;
    int m_workMs;
    std::int64_t m_born;
    int m_listener;
    std::atomic<int> m_sequence {0};
    std::atomic<bool> m_crashed {false};
    std::mutex m_lock;
    std::set<int> m_callers;
    std::vector<run> m_runs;
};

/// A configuration with the given rows of routes, for services "s" and "t".
inline std::string configuration(int version, const std::string &routes)
{
    return "{\"version\":\"r" + std::to_string(version)
        + "\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"path_prefix\",\"route_type\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\","
          "\"max_attempts\",\"sticky\",\"allowed_regions\",\"weighted_services\"],\"rows\":["
        + routes
        + "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\",\"warmup_s\",\"warmup_per_s\"],\"rows\":["
          "[\"s\",\"/healthz\",360,\"h1\",false,3.0,13.0],[\"t\",\"/healthz\",360,\"h1\",false,3.0,13.0]]},\"limits\":{\"max_header_bytes\":16384,"
          "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
}

// Sends a configuration to the control hosts in turn, as the operator does, until one acknowledges it.
inline bool put(const std::vector<std::string> &controls, const std::string &body, int timeoutMs, int callTimeoutMs = 1000)
{
    const auto end = steady::now() + milliseconds(timeoutMs);
    for (std::size_t turn = 0; steady::now() < end; ++turn) {
        if (call(controls[turn % controls.size()], "POST", "/-/Config.Put", body, callTimeoutMs).status() == 200) {
            return true;
        }
        sleepFor(50);
    }
    return false;
}

} // namespace review
