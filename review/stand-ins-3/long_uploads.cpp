// Sends long bodies through an entry host while the instances, or the clients, take their time. Control and entry hosts are the project's own
// programs; instances, clients and the operator are stand-ins in this process. See review/12 and review/14.
//
// long_uploads DAEMON slow-instance|slow-client RECORD TROUBLE
// Exits with 1 when the rule was broken, 0 when it held, 2 when the case could not run.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

namespace
{

constexpr int controlHosts = 3;
constexpr int entryHosts = 2;
constexpr int instances = 2;
constexpr int routeTimeoutMs = 1500;
constexpr int callerDeadlineMs = 8000;
constexpr int uploads = 20;
// Legal: `max_body_bytes` of the configuration is 64 MiB.
constexpr std::size_t slowInstanceBody = 48 << 20;
constexpr std::size_t slowClientBody = 400000;
constexpr std::size_t instanceReadBytes = 65536;
// A slow instance reads about 13 MB a second.
constexpr auto instanceReadPause = 5ms;
// A slow client sends its body over 3 s.
constexpr int clientPieces = 20;
constexpr auto clientPause = 150ms;

const auto startedAt = clock_type::now();
std::mutex recordLock;
std::ofstream record;

void note(const std::string &text)
{
    const std::lock_guard guard(recordLock);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f ", std::chrono::duration<double>(clock_type::now() - startedAt).count());
    record << time << text << "\n" << std::flush;
}

struct connection {
    int fd = -1;
    connection() = default;
    explicit connection(int value)
        : fd(value)
    {
    }
    ~connection()
    {
        if (fd >= 0) {
            ::close(fd);
        }
    }
    connection(connection &&other) noexcept
        : fd(std::exchange(other.fd, -1))
    {
    }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;
    connection &operator=(connection &&) = delete;
};

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

void setTimeout(int fd, std::chrono::milliseconds timeout)
{
    const timeval value {.tv_sec = timeout.count() / 1000, .tv_usec = (timeout.count() % 1000) * 1000};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &value, sizeof value);
}

connection connectTo(const std::string &ip, int port, std::chrono::milliseconds timeout)
{
    connection made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    setTimeout(made.fd, timeout);
    const int one = 1;
    ::setsockopt(made.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const auto address = addressOf(ip, port);
    if (::connect(made.fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return connection();
    }
    return made;
}

bool sendAll(int fd, const char *data, std::size_t size)
{
    while (size > 0) {
        const auto sent = ::send(fd, data, size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= static_cast<std::size_t>(sent);
    }
    return true;
}

bool sendAll(int fd, const std::string &text)
{
    return sendAll(fd, text.data(), text.size());
}

struct message {
    // False when the connection ended or was silent before the message was whole.
    bool whole = false;
    std::string startLine;
    std::map<std::string, std::string> fields;
    std::string body;

    [[nodiscard]] int status() const
    {
        return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0;
    }
    [[nodiscard]] std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

// Reads the head of a message. What follows it stays in `buffer`.
bool readHead(int fd, std::string &buffer, message &out)
{
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        char bytes[4096];
        const auto count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    out.startLine = head.substr(0, at);
    for (at += 2; at < head.size();) {
        const auto lineEnd = head.find("\r\n", at);
        const auto line = head.substr(at, lineEnd - at);
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
        const auto value = colon == std::string::npos ? std::string::npos : line.find_first_not_of(' ', colon + 1);
        out.fields[name] = value == std::string::npos ? std::string() : line.substr(value);
        at = lineEnd + 2;
    }
    return true;
}

// Reads a message whose length is told by Content-Length, as all stand-ins and the system's own answers here.
message readMessage(int fd, std::string &buffer)
{
    message out;
    if (!readHead(fd, buffer, out)) {
        return out;
    }
    const auto length = static_cast<std::size_t>(std::strtoull(out.field("content-length").c_str(), nullptr, 10));
    while (buffer.size() < length) {
        char bytes[4096];
        const auto count = ::recv(fd, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return out;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    out.body = buffer.substr(0, length);
    buffer.erase(0, length);
    out.whole = true;
    return out;
}

// One call to an interface of the system; follows up to two redirects.
int call(std::string ip, int port, const std::string &method, std::string path, const std::string &body, std::chrono::milliseconds timeout = 1000ms)
{
    for (int hop = 0; hop < 3; ++hop) {
        auto made = connectTo(ip, port, timeout);
        std::string buffer;
        if (made.fd < 0
            || !sendAll(made.fd,
                        method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
                            + "\r\nConnection: close\r\n\r\n" + body)) {
            return 0;
        }
        const auto answer = readMessage(made.fd, buffer);
        if (answer.status() != 307) {
            return answer.status();
        }
        const auto target = answer.field("location").substr(7);
        const auto colon = target.find(':');
        const auto slash = target.find('/');
        ip = target.substr(0, colon);
        port = std::atoi(target.substr(colon + 1, slash - colon - 1).c_str());
        path = target.substr(slash);
    }
    return 0;
}

// The hosts of the system, each a process of its own at an address of its own.
class fleet
{
public:
    explicit fleet(std::string daemon)
        : m_daemon(std::move(daemon))
        , m_net(16 + ::getpid() % 200)
        , m_port(20000 + (::getpid() * 16) % 30000)
    {
        char folder[] = "/tmp/review-3-XXXXXX";
        m_folder = ::mkdtemp(folder);
    }
    ~fleet()
    {
        for (const auto pid : m_processes) {
            ::kill(pid, SIGTERM);
        }
        const auto end = clock_type::now() + 8s;
        for (const auto pid : m_processes) {
            while (::waitpid(pid, nullptr, WNOHANG) == 0) {
                if (clock_type::now() >= end) {
                    ::kill(pid, SIGKILL);
                    ::waitpid(pid, nullptr, 0);
                    break;
                }
                std::this_thread::sleep_for(20ms);
            }
        }
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    [[nodiscard]] std::string controlIp(int index) const
    {
        return "127." + std::to_string(m_net) + ".0." + std::to_string(index + 1);
    }
    [[nodiscard]] std::string entryIp(int index) const
    {
        return "127." + std::to_string(m_net) + ".1." + std::to_string(index + 1);
    }
    [[nodiscard]] std::string instanceIp(int index) const
    {
        return "127." + std::to_string(m_net) + ".2." + std::to_string(index + 1);
    }
    [[nodiscard]] int frontPort() const
    {
        return m_port;
    }
    [[nodiscard]] int readinessPort() const
    {
        return m_port + 1;
    }
    [[nodiscard]] int controlPort() const
    {
        return m_port + 2;
    }

    void start()
    {
        for (int i = 0; i < controlHosts; ++i) {
            start("core-" + std::to_string(i), controlIp(i), i, true);
        }
        for (int i = 0; i < entryHosts; ++i) {
            start("edge-" + std::to_string(i), entryIp(i), i, false);
        }
    }
    [[nodiscard]] bool allRun() const
    {
        return std::ranges::all_of(m_processes, [](pid_t pid) { return ::waitpid(pid, nullptr, WNOHANG) == 0; });
    }

private:
    // The settings that platform/node_settings.yaml makes of the platform's fields.
    void start(const std::string &name, const std::string &ip, int index, bool isControl)
    {
        static const std::vector<std::pair<std::string, std::string>> zones {{"antw-noord", "antwerpen"}, {"gent-haven", "gent"}, {"luik-oost", "luik"}};
        const auto &zone = zones[static_cast<std::size_t>(index)];
        const auto at = [&](int offset) { return "\"" + ip + ":" + std::to_string(m_port + offset) + "\"\n"; };
        const auto path = m_folder + "/" + name + ".yaml";
        std::ofstream out(path);
        out << "host: \"" << name << "\"\nregion: \"" << zone.second << "\"\nfailureDomain: \"" << zone.first << "\"\n";
        if (isControl) {
            out << "control: " << at(2) << "directory: " << at(3);
        } else {
            out << "front: " << at(0) << "readiness: " << at(1);
        }
        out << "rpc: " << at(4) << "metrics: " << at(5) << "seeds:\n";
        for (int i = 0; i < controlHosts; ++i) {
            out << "  - \"" << controlIp(i) << ":" << controlPort() << "\"\n";
        }
        out << "bootstrap: true\n";
        if (isControl) {
            out << "dataFolder: \"" << m_folder << "/" << name << ".data\"\n";
        }
        out << "threads: 2\nlinkMbps: 1000.0\nmemoryMb: 260\ndeployment:\n  heartbeatMs: 1500\n  graceS: 6\n  lookupTtlMs: 2000\n  retryRatio: 0.2\n"
               "  retrySlack: 60\n  routesApplyMs: 2500\nfailureDomains:\n";
        for (const auto &each : zones) {
            out << "  - {failureDomain: \"" << each.first << "\", region: \"" << each.second << "\"}\n";
        }
        out.close();
        const auto log = m_folder + "/" + name + ".log";
        const auto pid = ::fork();
        if (pid == 0) {
            // No host outlives this process.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(file, 1);
            ::dup2(file, 2);
            ::setenv("HORNBEAMPICK_SETTINGS", path.c_str(), 1);
            ::execl(m_daemon.c_str(), m_daemon.c_str(), "--node", path.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        m_processes.push_back(pid);
    }

    std::string m_daemon;
    int m_net;
    int m_port;
    std::string m_folder;
    std::vector<pid_t> m_processes;
};

// An instance that announces itself, reads each request whole and answers it.
class instance
{
public:
    instance(const fleet &system, int index, bool readsSlowly)
        : m_system(system)
        , m_name("i-" + std::to_string(index) + "a7f3")
        , m_ip(system.instanceIp(index))
        , m_readsSlowly(readsSlowly)
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int receiveBytes = 65536;
        if (m_readsSlowly) {
            ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        }
        auto address = addressOf(m_ip, 0);
        socklen_t size = sizeof address;
        const bool bound = ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0 && ::listen(m_listener, 128) == 0
            && ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        m_port = bound ? ntohs(address.sin_port) : 0;
        std::thread([this] { acceptAll(); }).detach();
        std::thread([this] { announce(); }).detach();
    }
    instance(const instance &) = delete;
    instance &operator=(const instance &) = delete;

private:
    void acceptAll()
    {
        while (true) {
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                return;
            }
            std::thread([this, fd] { serve(connection(fd)); }).detach();
        }
    }

    void serve(connection caller)
    {
        std::string buffer;
        while (true) {
            message request;
            if (!readHead(caller.fd, buffer, request)) {
                return;
            }
            const auto id = request.field("request-id");
            const auto answer = [&](const std::string &status, const std::string &fields, const std::string &body) {
                return sendAll(caller.fd,
                               "HTTP/1.1 " + status + "\r\n" + (id.empty() ? "" : "Request-Id: " + id + "\r\n") + fields
                                   + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            };
            if (request.startLine.find(" /healthz ") != std::string::npos) {
                if (!answer("200 OK", "Instance-Id: " + m_name + "\r\n", "")) {
                    return;
                }
                continue;
            }
            const auto expected = request.field("expect-instance");
            if (!expected.empty() && expected != m_name) {
                answer("421 Misdirected Request", "Not-Executed: other\r\n", "");
                return;
            }
            auto left = static_cast<std::size_t>(std::strtoull(request.field("content-length").c_str(), nullptr, 10));
            if (left > 0) {
                note("instance " + m_name + " begins to read " + id + ", " + std::to_string(left) + " bytes, Deadline-Ms " + request.field("deadline-ms"));
            }
            const auto buffered = std::min(left, buffer.size());
            buffer.erase(0, buffered);
            left -= buffered;
            std::vector<char> bytes(instanceReadBytes);
            while (left > 0) {
                const auto count = ::recv(caller.fd, bytes.data(), std::min(left, bytes.size()), 0);
                if (count <= 0) {
                    note("instance " + m_name + " loses " + id + " with " + std::to_string(left) + " bytes left");
                    return;
                }
                left -= static_cast<std::size_t>(count);
                if (m_readsSlowly) {
                    std::this_thread::sleep_for(instanceReadPause);
                }
            }
            note("instance " + m_name + " runs " + id);
            if (!answer("200 OK", "Server-Stamp: 3e1b.07.5a2.600.0." + m_name + "\r\n", "done " + id)) {
                return;
            }
        }
    }

    void announce()
    {
        while (true) {
            for (int i = 0; i < controlHosts; ++i) {
                const auto body = R"({"service":"bridge-scale","address":")" + m_ip + ":" + std::to_string(m_port)
                    + R"(","zone":"antw-noord","version":"v1","slots":6,"state":"ready","warmup_left_ms":0,"seq":)" + std::to_string(++m_sequence) + R"(,"born":)"
                    + std::to_string(m_born) + "}";
                if (call(m_system.controlIp(i), m_system.controlPort(), "POST", "/-/Instances.Heartbeat/" + m_name, body) / 100 == 2) {
                    break;
                }
            }
            std::this_thread::sleep_for(1500ms);
        }
    }

    const fleet &m_system;
    std::string m_name;
    std::string m_ip;
    bool m_readsSlowly;
    long long m_born;
    int m_listener = -1;
    int m_port = 0;
    int m_sequence = 0;
};

bool sendConfiguration(const fleet &system)
{
    const std::string body
        = R"({"version":"r1","routes":{"columns":["name","hostname","path_prefix","route_type","timeout_ms","target_latency_ms","priority","service",)"
          R"("max_attempts","sticky","allowed_regions","weighted_services"],"rows":[["r-1","scales.example","/weigh/","non_idempotent",)"
        + std::to_string(routeTimeoutMs)
        + R"(,400,1,"bridge-scale",2,false,[],null]]},"services":{"columns":["name","health_path","max_connections","protocol","tls","warmup_s",)"
          R"("warmup_per_s"],"rows":[["bridge-scale","/healthz",360,"h1",false,0.0,100.0]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
          R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
    for (int i = 0; i < 60; ++i) {
        if (call(system.controlIp(i % controlHosts), system.controlPort(), "POST", "/-/Config.Put", body) == 200) {
            return true;
        }
        std::this_thread::sleep_for(250ms);
    }
    return false;
}

std::string requestHead(const std::string &method, const std::string &id, std::size_t length)
{
    return method + " /weigh/load HTTP/1.1\r\nHost: scales.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(callerDeadlineMs)
        + "\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

struct tally {
    int requests = 0;
    int served = 0;
    // Ended with a 4xx of the system other than 408, 421 and 429.
    int denied = 0;
    // The connection was closed without an answer before the client's deadline.
    int unanswered = 0;
    int failed = 0;
};

// A client that keeps its connection: a short request first, then the long one. It reads while it sends, and stops sending once it has an answer.
void upload(const fleet &system, int index, bool sendsSlowly, std::size_t bodyBytes, tally &result)
{
    auto made = connectTo(system.entryIp(0), system.frontPort(), std::chrono::milliseconds(callerDeadlineMs));
    std::string buffer;
    const auto shortId = "s" + std::to_string(index) + "9c41d07be2a3";
    ++result.requests;
    if (made.fd < 0 || !sendAll(made.fd, requestHead("GET", shortId, 0)) || readMessage(made.fd, buffer).status() != 200) {
        ++result.failed;
        note("client: short request " + shortId + " fails");
        return;
    }
    ++result.served;
    const auto id = "u" + std::to_string(index) + "5f68d07be2a3";
    ++result.requests;
    const auto sentAt = clock_type::now();
    note("client: sends " + id + ", " + std::to_string(bodyBytes) + " bytes");
    std::atomic<bool> isAnswered {false};
    message answer;
    std::thread reader([&] {
        answer = readMessage(made.fd, buffer);
        isAnswered = true;
    });
    const std::size_t pieceBytes = sendsSlowly ? bodyBytes / clientPieces : 262144;
    const std::vector<char> piece(pieceBytes, 'x');
    bool isSending = sendAll(made.fd, requestHead("POST", id, bodyBytes));
    for (std::size_t left = bodyBytes; isSending && left > 0 && !isAnswered;) {
        const auto count = std::min(left, piece.size());
        isSending = sendAll(made.fd, piece.data(), count);
        left -= count;
        if (sendsSlowly) {
            std::this_thread::sleep_for(clientPause);
        }
    }
    reader.join();
    const auto tookMs = std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - sentAt).count();
    const auto status = answer.status();
    const bool isOwn = answer.field("server-stamp").empty();
    std::string end = "closed without an answer";
    if (answer.whole && status == 200) {
        ++result.served;
        end = "200";
    } else if (answer.whole && isOwn && status / 100 == 4 && status != 408 && status != 421 && status != 429) {
        ++result.denied;
        end = std::to_string(status) + " of the system: " + answer.body;
    } else if (answer.whole) {
        ++result.failed;
        end = std::to_string(status);
    } else if (tookMs < callerDeadlineMs) {
        ++result.unanswered;
    } else {
        ++result.failed;
        end = "no answer by the client's deadline";
    }
    note("client: " + id + " ends after " + std::to_string(tookMs) + " ms: " + end);
}

} // namespace

int main(int argc, char **argv)
{
    constexpr int held = 0;
    constexpr int broken = 1;
    constexpr int notRun = 2;
    if (argc != 5) {
        return notRun;
    }
    const bool hasTrouble = std::strcmp(argv[4], "0") != 0;
    const bool isInstanceCase = std::strcmp(argv[2], "slow-instance") == 0;
    record.open(argv[3]);
    std::signal(SIGPIPE, SIG_IGN);
    tally result;
    {
        fleet system(argv[1]);
        system.start();
        if (!sendConfiguration(system)) {
            note("the configuration was not accepted");
            return notRun;
        }
        std::vector<std::unique_ptr<instance>> servers;
        for (int i = 0; i < instances; ++i) {
            // The threads of an instance go on until the process ends.
            servers.push_back(std::make_unique<instance>(system, i, hasTrouble && isInstanceCase));
        }
        bool isReady = false;
        for (int i = 0; i < 100 && !isReady; ++i) {
            std::this_thread::sleep_for(200ms);
            isReady = call(system.entryIp(0), system.readinessPort(), "GET", "/-/readyz", "") == 200;
        }
        if (!isReady || !system.allRun()) {
            note("the entry host did not become ready");
            for (auto &each : servers) {
                (void)each.release();
            }
            return notRun;
        }
        // Longer than `contact_ms`, so that all hosts are in touch.
        std::this_thread::sleep_for(4500ms);
        for (int i = 0; i < uploads; ++i) {
            upload(system, i, hasTrouble && !isInstanceCase, isInstanceCase ? slowInstanceBody : slowClientBody, result);
        }
        if (!system.allRun()) {
            note("a host ended");
        }
        for (auto &each : servers) {
            (void)each.release();
        }
    }
    note("requests " + std::to_string(result.requests) + ", served " + std::to_string(result.served) + ", 4xx of the system " + std::to_string(result.denied)
         + ", closed without an answer " + std::to_string(result.unanswered) + ", failed otherwise " + std::to_string(result.failed));
    bool isBroken = false;
    if (isInstanceCase) {
        // DENIED: more than 5 and one in 500 of all requests.
        isBroken = result.denied > 5 + result.requests / 500;
    } else {
        // LOST: more than three times.
        isBroken = result.unanswered > 3;
    }
    note(isBroken ? "the rule is broken" : "the rule holds");
    std::cout << (isBroken ? "broken" : "held") << std::endl;
    record.close();
    std::_Exit(isBroken ? broken : held);
}
