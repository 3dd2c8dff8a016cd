#include "fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

const steady::time_point begin = steady::now();
std::mutex recordLock;

constexpr rlim_t maxDescriptors = 4100;

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    auto address = addressOf("0.0.0.0", 0);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    ::bind(socket, reinterpret_cast<sockaddr *>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(socket);
    return ntohs(address.sin_port);
}

bool waitFor(int socket, short events, double deadline)
{
    while (true) {
        const double left = deadline - now();
        if (left <= 0) {
            return false;
        }
        pollfd entry {.fd = socket, .events = events, .revents = 0};
        const int ready = ::poll(&entry, 1, static_cast<int>(left * 1000) + 1);
        if (ready > 0) {
            return true;
        }
        if (ready < 0 && errno != EINTR) {
            return false;
        }
    }
}

std::string lower(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Splits a head into its start line and its fields.
std::string parseHead(const std::string &head, std::map<std::string, std::string> &headers)
{
    std::istringstream lines(head);
    std::string line, first;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (first.empty()) {
            first = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        headers[lower(line.substr(0, colon))] = value;
    }
    return first;
}

} // namespace

double now()
{
    return std::chrono::duration<double>(steady::now() - begin).count();
}

void sleepUntil(double at)
{
    std::this_thread::sleep_until(begin + std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(at)));
}

void record(const std::string &line)
{
    const std::lock_guard guard(recordLock);
    static std::FILE *file = std::fopen(std::getenv("RECORD") == nullptr ? "record.txt" : std::getenv("RECORD"), "w");
    if (file != nullptr) {
        std::fprintf(file, "%9.3f %s\n", now(), line.c_str());
        std::fflush(file);
    }
}

void cannotRun(const std::string &why)
{
    record("could not run: " + why);
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    throw 2;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

connection::~connection()
{
    close();
}

void connection::close()
{
    if (m_socket >= 0) {
        ::close(m_socket);
    }
    m_socket = -1;
}

bool connection::open(const std::string &ip, int port, double timeout)
{
    close();
    m_buffer.clear();
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_socket < 0) {
        return false;
    }
    const int one = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const auto address = addressOf(ip, port);
    if (::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0) {
        return true;
    }
    int error = 0;
    socklen_t size = sizeof error;
    const bool isOpen
        = errno == EINPROGRESS && waitFor(m_socket, POLLOUT, now() + timeout) && ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    if (!isOpen) {
        close();
    }
    return isOpen;
}

bool connection::send(const std::string &bytes, double timeout)
{
    const double deadline = now() + timeout;
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
        } else if (errno != EAGAIN || !waitFor(m_socket, POLLOUT, deadline)) {
            return false;
        }
    }
    return true;
}

bool connection::fill(double deadline)
{
    if (!waitFor(m_socket, POLLIN, deadline)) {
        return false;
    }
    char bytes[65536];
    const auto count = ::recv(m_socket, bytes, sizeof bytes, MSG_DONTWAIT);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

response connection::readResponse(double timeout)
{
    const double deadline = now() + timeout;
    response answer;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            return {};
        }
    }
    const auto first = parseHead(m_buffer.substr(0, end), answer.headers);
    m_buffer.erase(0, end + 4);
    const auto length = answer.headers.contains("content-length") ? std::stoul(answer.headers["content-length"]) : 0;
    while (m_buffer.size() < length) {
        if (!fill(deadline)) {
            return {};
        }
    }
    answer.body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    answer.status = first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    return answer;
}

bool connection::readRequest(std::string &line, std::map<std::string, std::string> &headers, std::string &body, double timeout)
{
    const double deadline = now() + timeout;
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            return false;
        }
    }
    headers.clear();
    line = parseHead(m_buffer.substr(0, end), headers);
    m_buffer.erase(0, end + 4);
    const auto length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (m_buffer.size() < length) {
        if (!fill(deadline)) {
            return false;
        }
    }
    body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
}

bool connection::isClosed()
{
    char byte = 0;
    const auto count = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN);
}

response call(const std::string &ip, int port, const std::string &method, const std::string &path, const std::string &body, double timeout,
              const std::string &headers)
{
    connection link;
    if (!link.open(ip, port, timeout)) {
        return {.status = -1};
    }
    const auto text = method + " " + path + " HTTP/1.1\r\nHost: " + ip + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n" + headers + "Connection: close\r\n\r\n" + body;
    if (!link.send(text, timeout)) {
        return {};
    }
    return link.readResponse(timeout);
}

fleet::fleet(std::string root, std::vector<zone> zones, const bounds &limits)
    : m_root(std::move(root))
    , m_zones(std::move(zones))
    , m_bounds(limits)
    , m_net(20 + static_cast<int>(::getpid()) % 200)
{
    const char *base = std::getenv("TMPDIR");
    std::string pattern = std::string(base == nullptr ? "/tmp" : base) + "/review-2-XXXXXX";
    if (::mkdtemp(pattern.data()) == nullptr) {
        cannotRun("no temporary folder");
    }
    m_folder = pattern;
    for (int *port : {&m_front, &m_readiness, &m_control, &m_directory, &m_rpc, &m_metrics, &m_server}) {
        *port = freePort();
    }
    if (::access((m_root + "/target/hornbeampickd").c_str(), X_OK) != 0) {
        cannotRun("target/hornbeampickd is missing; run the build of the deploy file");
    }
}

fleet::~fleet()
{
    for (auto &each : machines) {
        if (each->pid > 0) {
            ::kill(each->pid, SIGKILL);
            ::waitpid(each->pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP") == nullptr) {
        const auto command = "rm -rf '" + m_folder + "'";
        (void)!std::system(command.c_str());
    }
}

const std::string &fleet::regionOf(const std::string &zoneName) const
{
    return std::ranges::find(m_zones, zoneName, &zone::name)->region;
}

std::string fleet::serverIp(const std::string &zoneName)
{
    const auto index = std::ranges::find(m_zones, zoneName, &zone::name) - m_zones.begin();
    return "127." + std::to_string(m_net) + "." + std::to_string(index + 1) + "." + std::to_string(100 + m_used["server " + zoneName]++);
}

machine &fleet::add(const std::string &zoneName, bool isCore)
{
    const auto index = std::ranges::find(m_zones, zoneName, &zone::name) - m_zones.begin();
    const int count = ++m_used[(isCore ? "core " : "edge ") + zoneName];
    auto added = std::make_unique<machine>();
    added->name = std::string(isCore ? "core-" : "edge-") + zoneName + "-" + std::to_string(count);
    added->zone = zoneName;
    added->isCore = isCore;
    added->ip = "127." + std::to_string(m_net) + "." + std::to_string(index + 1) + "." + std::to_string((isCore ? 10 : 50) + count);
    machines.push_back(std::move(added));
    return *machines.back();
}

std::vector<machine *> fleet::cores()
{
    std::vector<machine *> found;
    for (auto &each : machines) {
        if (each->isCore) {
            found.push_back(each.get());
        }
    }
    return found;
}

// The settings as the template of the deploy file renders them.
void fleet::writeSettings(const machine &which, bool isFirst)
{
    std::ofstream file(m_folder + "/" + which.name + ".yaml");
    const auto quoted = [](const std::string &text) { return "\"" + text + "\"\n"; };
    const auto endpoint = [&](int port) { return quoted(which.ip + ":" + std::to_string(port)); };
    file << "host: " << quoted(which.name) << "region: " << quoted(regionOf(which.zone)) << "failureDomain: " << quoted(which.zone);
    if (which.isCore) {
        file << "control: " << endpoint(m_control) << "directory: " << endpoint(m_directory);
    } else {
        file << "front: " << endpoint(m_front) << "readiness: " << endpoint(m_readiness);
    }
    file << "rpc: " << endpoint(m_rpc) << "metrics: " << endpoint(m_metrics) << "seeds:\n";
    // The first control host of each region.
    std::vector<std::string> regions;
    for (const auto *each : cores()) {
        if (regions.size() < 3 && std::ranges::find(regions, regionOf(each->zone)) == regions.end()) {
            regions.push_back(regionOf(each->zone));
            file << "  - \"" << each->ip << ":" << m_control << "\"\n";
        }
    }
    file << "bootstrap: " << (isFirst ? "true" : "false") << "\n";
    if (which.isCore) {
        file << "dataFolder: " << quoted(m_folder + "/" + which.name + ".data");
    }
    file << "threads: 2\nlinkMbps: 1000\nmemoryMb: " << (which.isCore ? 256 : 260) << "\ndeployment:\n  heartbeatMs: " << m_bounds.heartbeatMs
         << "\n  graceS: " << m_bounds.graceS << "\n  lookupTtlMs: 2000\n  retryRatio: 0.2\n  retrySlack: " << m_bounds.budgetSlack
         << "\n  routesApplyMs: " << m_bounds.configApplyMs << "\nfailureDomains:\n";
    for (const auto &each : m_zones) {
        file << "  - {failureDomain: \"" << each.name << "\", region: \"" << each.region << "\"}\n";
    }
}

void fleet::start(machine &which, bool isFirst)
{
    writeSettings(which, isFirst);
    const auto program = m_root + "/target/hornbeampickd";
    const auto settings = m_folder + "/" + which.name + ".yaml";
    const auto log = m_folder + "/" + which.name + ".log";
    const pid_t child = ::fork();
    if (child == 0) {
        // The daemon ends with this program, also when that is killed.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, 1);
        ::dup2(output, 2);
        rlimit descriptors {};
        ::getrlimit(RLIMIT_NOFILE, &descriptors);
        descriptors.rlim_cur = descriptors.rlim_max = std::min(maxDescriptors, descriptors.rlim_max);
        ::setrlimit(RLIMIT_NOFILE, &descriptors);
        ::execl(program.c_str(), program.c_str(), "--node", settings.c_str(), nullptr);
        ::_exit(127);
    }
    which.pid = child;
    which.startedAt = now();
    record("started " + which.name + " at " + which.ip);
}

void fleet::kill(machine &which)
{
    signal(which, SIGKILL);
    awaitEnd(which, 5);
}

void fleet::signal(machine &which, int number)
{
    record("signal " + std::to_string(number) + " to " + which.name);
    if (which.pid > 0) {
        ::kill(which.pid, number);
    }
}

bool fleet::awaitEnd(machine &which, double timeout)
{
    const double deadline = now() + timeout;
    while (which.pid > 0 && now() < deadline) {
        int status = 0;
        if (::waitpid(which.pid, &status, WNOHANG) == which.pid) {
            which.pid = 0;
            record("ended " + which.name + " with status " + std::to_string(status));
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return which.pid == 0;
}

bool fleet::isRunning(machine &which)
{
    return which.pid > 0 && !awaitEnd(which, 0.006);
}

control_caller::control_caller(fleet &machines, std::function<bool(const machine &)> isListed)
    : m_fleet(machines)
    , m_isListed(std::move(isListed))
{
}

response control_caller::attempt(const std::string &method, const std::string &path, const std::string &body)
{
    std::vector<machine *> listed;
    for (auto *each : m_fleet.cores()) {
        if (m_isListed(*each)) {
            listed.push_back(each);
        }
    }
    auto *chosen = listed[m_next++ % listed.size()];
    std::string ip = chosen->ip;
    int port = m_fleet.control();
    std::string target = path;
    std::string way = chosen->name;
    response answer;
    for (int hop = 0; hop < 3; ++hop) {
        answer = call(ip, port, method, target, body, 1.0);
        way += " " + std::to_string(answer.status);
        const auto location = answer.headers.find("location");
        if (answer.status != 307 || location == answer.headers.end()) {
            break;
        }
        // http://IP:PORT/path
        const auto rest = location->second.substr(7);
        const auto colon = rest.find(':');
        const auto slash = rest.find('/');
        ip = rest.substr(0, colon);
        port = std::atoi(rest.substr(colon + 1).c_str());
        target = rest.substr(slash);
        way += " -> " + ip;
    }
    record(method + " " + path + " at " + way);
    return answer;
}

int control_caller::order(const std::string &method, const std::string &path, const std::string &body, double timeout)
{
    const double deadline = now() + timeout;
    double pause = 0.1;
    while (now() < deadline) {
        const auto answer = attempt(method, path, body);
        if (answer.status == 200 || (answer.status >= 400 && answer.status < 500 && answer.status != 408 && answer.status != 429)) {
            return answer.status;
        }
        sleepUntil(std::min(deadline, now() + pause));
        pause = std::min(1.0, pause * 1.5);
    }
    return 0;
}

std::string configuration(int version, const std::vector<route> &routes, const std::vector<std::string> &services)
{
    std::ostringstream text;
    text << "{\"version\":\"r" << version
         << "\",\"routes\":{\"columns\":[\"name\",\"hostname\",\"path_prefix\",\"route_type\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\","
            "\"max_attempts\",\"sticky\",\"allowed_regions\",\"weighted_services\"],\"rows\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const auto &each = routes[i];
        text << (i > 0 ? "," : "") << "[\"" << each.name << "\",\"shop.example\",\"" << each.prefix << "\",\"" << each.type << "\"," << each.timeoutMs
             << ",400,1,\"" << each.service << "\",2,false,[],null]";
    }
    text << "]},\"services\":{\"columns\":[\"name\",\"health_path\",\"max_connections\",\"protocol\",\"tls\",\"warmup_s\",\"warmup_per_s\"],\"rows\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        text << (i > 0 ? "," : "") << "[\"" << services[i] << "\",\"/healthz\",360,\"h1\",false,3.0,10.0]";
    }
    text << "]},\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
    return text.str();
}

instance::instance(fleet &machines, std::string id, std::string service, std::string zoneName, int slots, int workMs)
    : m_fleet(machines)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zoneName))
    , m_ip(machines.serverIp(m_zone))
    , m_slots(slots)
    , m_workMs(workMs)
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int one = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const auto address = addressOf(m_ip, m_fleet.serverPort());
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(m_listener, 512) != 0) {
        cannotRun("no address for instance " + m_id);
    }
    m_acceptor = std::thread([this] { accept(); });
}

instance::~instance()
{
    stopHeartbeats();
    m_stopping = true;
    m_acceptor.join();
    ::close(m_listener);
    while (m_open > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
}

void instance::accept()
{
    while (!m_stopping) {
        if (!waitFor(m_listener, POLLIN, now() + 0.1)) {
            continue;
        }
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket >= 0) {
            ++m_open;
            std::thread([this, socket] {
                serve(socket);
                --m_open;
            }).detach();
        }
    }
}

void instance::serve(int socket)
{
    const int one = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    connection link(socket);
    std::string line, body;
    std::map<std::string, std::string> headers;
    while (!m_stopping) {
        if (!link.readRequest(line, headers, body, 10)) {
            return;
        }
        const auto id = headers["request-id"];
        const auto head = [&](const char *status, const std::string &more, const std::string &content) {
            return std::string("HTTP/1.1 ") + status + "\r\nRequest-Id: " + id + "\r\n" + more + "Content-Length: " + std::to_string(content.size())
                + "\r\n\r\n" + content;
        };
        if (line.starts_with("GET /healthz ")) {
            link.send("HTTP/1.1 200 OK\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n", 1);
            continue;
        }
        if (headers.contains("expect-instance") && headers["expect-instance"] != m_id) {
            link.send(head("421 Misdirected Request", "", ""), 1);
            continue;
        }
        if (++m_running > m_slots) {
            --m_running;
            link.send(head("503 Service Unavailable", "Not-Executed: 1\r\n", ""), 1);
            continue;
        }
        std::size_t place = 0;
        {
            const std::lock_guard guard(m_lock);
            place = m_runs.size();
            m_runs.push_back({.request = id, .begun = now()});
        }
        record("instance " + m_id + " runs " + id + " (" + std::to_string(body.size()) + " bytes)");
        const double end = now() + m_workMs / 1000.0;
        bool dropped = false;
        while (now() < end && !dropped) {
            sleepUntil(std::min(end, now() + 0.01));
            dropped = link.isClosed();
        }
        --m_running;
        {
            const std::lock_guard guard(m_lock);
            m_runs[place].ended = now();
            m_runs[place].dropped = dropped;
        }
        if (dropped) {
            record("instance " + m_id + " drops " + id);
            return;
        }
        link.send(head("200 OK",
                       "Server-Stamp: " + m_id + "." + id + "\r\nInstance-Load: " + std::to_string(m_running) + ",0," + std::to_string(m_slots) + "\r\n",
                       "done by " + m_id),
                  1);
    }
}

bool instance::heartbeat(machine &daemon)
{
    const auto body = "{\"service\":\"" + m_service + "\",\"address\":\"" + m_ip + ":" + std::to_string(m_fleet.serverPort()) + "\",\"zone\":\"" + m_zone
        + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots) + ",\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(++m_sequence)
        + ",\"born\":" + std::to_string(m_born) + "}";
    const auto answer = call(daemon.ip, m_fleet.control(), "POST", "/-/Instances.Heartbeat/" + m_id, body, 1.0);
    record("heartbeat of " + m_id + " at " + daemon.name + ": " + std::to_string(answer.status));
    return answer.status == 200;
}

bool instance::deregister(machine &daemon)
{
    const auto answer = call(daemon.ip, m_fleet.control(), "POST", "/-/Instances.Deregister/" + m_id, "{\"born\":" + std::to_string(m_born) + "}", 1.0);
    record("deregistration of " + m_id + " at " + daemon.name + ": " + std::to_string(answer.status));
    return answer.status == 200;
}

void instance::beginHeartbeats(machine &daemon)
{
    m_beating = true;
    m_beats = std::thread([this, &daemon] {
        while (m_beating) {
            const double next = now() + 1.5;
            heartbeat(daemon);
            while (m_beating && now() < next) {
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        }
    });
}

void instance::stopHeartbeats()
{
    m_beating = false;
    if (m_beats.joinable()) {
        m_beats.join();
    }
}

std::vector<instance::run> instance::runs()
{
    const std::lock_guard guard(m_lock);
    return m_runs;
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace review
