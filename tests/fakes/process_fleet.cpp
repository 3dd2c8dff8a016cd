#include "process_fleet.h"

#include "upstream_fake.h"

#include <array>
#include <atomic>
#include <boost/process.hpp>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <mutex>
#include <sstream>
#include <stdexcept>

namespace hornbeampick::testing
{

namespace
{

namespace process = boost::process;

struct host_location {
    const char *name;
    const char *region;
    const char *domain;
    bool disk;
};

constexpr std::array<host_location, process_fleet::hostCount> hostLocations {{
    {"antwerpen-a1", "Antwerpen", "antwerpen-a", true},
    {"antwerpen-a2", "Antwerpen", "antwerpen-a", false},
    {"antwerpen-b1", "Antwerpen", "antwerpen-b", false},
    {"gent-a1", "Gent", "gent-a", true},
    {"gent-b1", "Gent", "gent-b", false},
    {"luik-a1", "Luik", "luik-a", true},
    {"luik-b1", "Luik", "luik-b", false},
}};

constexpr const char *defaultServices = "services:\n  - {name: lookup, idempotent: true, timeoutMs: 3000}\n  - {name: weigh-in, timeoutMs: 3000}\n";

// Returns the value of the last occurrence of a JSON number or string field in `text`; empty if absent.
std::string lastField(const std::string &text, const std::string &name)
{
    const auto at = text.rfind("\"" + name + "\":");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = text.find_first_not_of("\"", at + name.size() + 3);
    return text.substr(start, text.find_first_of(",\"}", start) - start);
}

std::string contentOf(const std::filesystem::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

std::error_code &ignoredError()
{
    static std::error_code ignored;
    return ignored;
}

void pauseFor(std::chrono::milliseconds time)
{
    std::mutex lock;
    std::condition_variable never;
    std::unique_lock guard(lock);
    never.wait_for(guard, time, [] { return false; });
}

void require(bool condition, const std::string &what)
{
    if (!condition) {
        throw std::runtime_error(what);
    }
}

} // namespace

struct process_fleet::host {
    // The daemon gets a new free port at each start; the address of the proxy stays the same.
    std::atomic<int> httpPort {1};
    std::unique_ptr<fault_proxy> proxy = std::make_unique<fault_proxy>("127.0.0.1:1");
    std::string name;
    process::child child;
};

process_fleet::process_fleet(const process_fleet_options &options)
    : m_options(options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "hornbeampick-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    for (const auto &location : hostLocations) {
        m_hosts.push_back(std::make_unique<host>());
        m_hosts.back()->name = location.name;
    }
    if (m_options.tls) {
        makeKeys("first");
        useKeys("first", {"first"});
    }
    for (std::size_t i = 0; i < hostCount; ++i) {
        write(name(i) + ".yaml", settingsOf(i));
        start(i);
    }
}

process_fleet::~process_fleet()
{
    for (std::size_t i = 0; i < hostCount; ++i) {
        if (isRunning(i)) {
            kill(i);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void process_fleet::start(std::size_t index)
{
    auto &started = *m_hosts[index];
    const auto log = m_folder / (started.name + ".log");
    std::filesystem::rename(log, m_folder / (started.name + ".log.1"), ignoredError());
    started.child = process::child(HORNBEAMPICK_DAEMON, "--settings", (m_folder / (started.name + ".yaml")).string(),
                                   process::std_err > (m_folder / (started.name + ".err")).string());
    const bool hasStarted = await([&] { return contentOf(log).find("\"event\":\"started\"") != std::string::npos; });
    require(hasStarted, started.name + " logged no start event before the deadline\n" + logs());
    const std::string content = contentOf(log);
    const auto line = content.substr(0, content.find('\n', content.find("\"event\":\"started\"")));
    const std::string http = lastField(line, "http");
    started.httpPort = std::stoi(http.substr(http.rfind(':') + 1));
    started.proxy->setTarget("127.0.0.1:" + lastField(line, "rpcPort"));
}

void process_fleet::kill(std::size_t index)
{
    signal(index, SIGKILL);
    m_hosts[index]->child.wait();
}

int process_fleet::stop(std::size_t index)
{
    signal(index, SIGTERM);
    m_hosts[index]->child.wait();
    return m_hosts[index]->child.exit_code();
}

void process_fleet::signal(std::size_t index, int number)
{
    ::kill(m_hosts[index]->child.id(), number);
}

bool process_fleet::isRunning(std::size_t index)
{
    return m_hosts[index]->child.valid() && m_hosts[index]->child.running();
}

void process_fleet::removeData(std::size_t index)
{
    std::filesystem::remove_all(m_folder / ("data-" + name(index)));
}

const std::string &process_fleet::name(std::size_t index) const
{
    return m_hosts[index]->name;
}

std::string process_fleet::http(std::size_t index) const
{
    return "127.0.0.1:" + std::to_string(m_hosts[index]->httpPort);
}

fault_proxy &process_fleet::rpcProxy(std::size_t index)
{
    return *m_hosts[index]->proxy;
}

std::string process_fleet::status(std::size_t index) const
{
    return sendHttpRequest(http(index), "GET", "/v1/status", {}, {}, std::chrono::milliseconds(1000)).body;
}

tool_run process_fleet::tool(const std::string &arguments)
{
    std::string hosts;
    for (const auto &each : m_hosts) {
        hosts += (hosts.empty() ? "" : ",") + each->proxy->address();
    }
    const auto folder = m_folder / "first";
    const std::string keys = m_options.tls ? " --certificate " + (folder / "operator.pem").string() + " --key " + (folder / "operator.key").string()
            + " --authority " + (folder / "authority.pem").string()
                                           : " --plain-text --operator tester";
    return runTool(hosts, keys, arguments);
}

tool_run process_fleet::toolAt(std::size_t index, const std::string &keySet, const std::vector<std::string> &trusted, const std::string &arguments)
{
    const auto folder = m_folder / keySet;
    const std::string authority = write("tool-authority.pem", bundleOf(trusted));
    const std::string keys
        = " --certificate " + (folder / "operator.pem").string() + " --key " + (folder / "operator.key").string() + " --authority " + authority;
    return runTool(m_hosts[index]->proxy->address(), keys, arguments);
}

tool_run process_fleet::runTool(const std::string &hosts, const std::string &keys, const std::string &arguments)
{
    process::ipstream output;
    process::child child(std::string(HORNBEAMPICK_TOOL) + " --hosts " + hosts + keys + " " + arguments, (process::std_out & process::std_err) > output);
    std::ostringstream text;
    text << output.rdbuf();
    child.wait();
    return {.exitCode = child.exit_code(), .output = text.str()};
}

std::string process_fleet::write(const std::string &file, const std::string &content)
{
    const auto path = m_folder / file;
    std::ofstream(path) << content;
    return path.string();
}

std::string process_fleet::logs() const
{
    constexpr std::size_t maxLogBytes = 3000;
    std::string all;
    for (const auto &each : m_hosts) {
        const std::string content = contentOf(m_folder / (each->name + ".log")) + contentOf(m_folder / (each->name + ".err"));
        all += "== " + each->name + "\n" + (content.size() > maxLogBytes ? content.substr(content.size() - maxLogBytes) : content);
    }
    return all;
}

void process_fleet::awaitReady()
{
    const auto isReady = [this](std::size_t index) {
        const std::string text = status(index);
        std::size_t alive = 0;
        for (auto at = text.find("\"state\":\"alive\""); at != std::string::npos; at = text.find("\"state\":\"alive\"", at + 1)) {
            ++alive;
        }
        const auto lookup = sendHttpRequest(http(index), "GET", "/v1/entry?service=weigh-in&client=127.0.0.1", {}, {}, std::chrono::milliseconds(1000));
        return alive == hostCount && lookup.body.find("\"operationEpoch\":\"r.") != std::string::npos;
    };
    const bool allReady = await([&] {
        for (std::size_t i = 0; i < hostCount; ++i) {
            if (!isReady(i)) {
                return false;
            }
        }
        return true;
    });
    require(allReady, "fleet not ready before the deadline: hosts not alive, no leader, or claim epochs not open\n" + logs());
}

void process_fleet::makeKeys(const std::string &keySet)
{
    std::filesystem::create_directory(m_folder / keySet);
    const std::string folder = (m_folder / keySet).string();
    const auto run = [](const std::string &command) {
        require(process::system(command, process::std_err > process::null, process::std_out > process::null) == 0, command);
    };
    run("openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=authority-" + keySet + " -keyout " + folder + "/authority.key -out " + folder
        + "/authority.pem");
    write(keySet + "/extensions", "subjectAltName=IP:127.0.0.1\n");
    const auto sign = [&](const std::string &subject) {
        const std::string base = folder + "/" + subject;
        run("openssl req -newkey rsa:2048 -nodes -subj /CN=" + subject + " -keyout " + base + ".key -out " + base + ".csr");
        run("openssl x509 -req -days 2 -CA " + folder + "/authority.pem -CAkey " + folder + "/authority.key -CAcreateserial -extfile " + folder
            + "/extensions -in " + base + ".csr -out " + base + ".pem");
    };
    sign("host");
    sign("operator");
}

void process_fleet::useKeys(const std::string &keySet, const std::vector<std::string> &trusted)
{
    replace("authority.pem", bundleOf(trusted));
    replace("host.key", contentOf(m_folder / keySet / "host.key"));
    replace("host.pem", contentOf(m_folder / keySet / "host.pem"));
}

std::string process_fleet::bundleOf(const std::vector<std::string> &keySets) const
{
    std::string bundle;
    for (const auto &each : keySets) {
        bundle += contentOf(m_folder / each / "authority.pem");
    }
    return bundle;
}

void process_fleet::replace(const std::string &file, const std::string &content)
{
    const std::string stagedFile = write(file + ".new", content);
    std::filesystem::rename(stagedFile, m_folder / file);
}

std::string process_fleet::tlsSettings() const
{
    if (!m_options.tls) {
        return "tls: {plainText: true}\n";
    }
    const std::string folder = m_folder.string();
    return "tls: {certificate: " + folder + "/host.pem, key: " + folder + "/host.key, authority: " + folder + "/authority.pem}\n";
}

std::string process_fleet::settingsOf(std::size_t index) const
{
    const auto &location = hostLocations.at(index);
    const auto &self = *m_hosts[index];
    std::ostringstream text;
    text << "host: " << location.name << "\nregion: " << location.region << "\nfailureDomain: " << location.domain << "\n"
         << "http: {address: 127.0.0.1, port: 0}\n"
         << "rpc: {address: 127.0.0.1, port: 0, advertised: '" << self.proxy->address() << "'}\n"
         << "seeds:\n";
    for (std::size_t i = 0; i < hostCount; ++i) {
        if (hostLocations.at(i).disk && i != index) {
            text << "  - " << m_hosts[i]->proxy->address() << "\n";
        }
    }
    if (location.disk) {
        text << "dataFolder: " << (m_folder / ("data-" + self.name)).string() << "\n";
    }
    text << "voters:\n";
    for (std::size_t i = 0; i < hostCount; ++i) {
        if (hostLocations.at(i).disk) {
            text << "  - {host: " << hostLocations.at(i).name << ", address: '" << m_hosts[i]->proxy->address() << "'}\n";
        }
    }
    text << "regions:\n"
         << "  - {name: Antwerpen, failureDomains: [antwerpen-a, antwerpen-b]}\n"
         << "  - {name: Gent, failureDomains: [gent-a, gent-b]}\n"
         << "  - {name: Luik, failureDomains: [luik-a, luik-b]}\n"
         << (m_options.services.empty() ? defaultServices : m_options.services) << tlsSettings() << m_options.extraSettings
         << "log: {file: " << (m_folder / (self.name + ".log")).string() << ", traceFile: " << (m_folder / (self.name + ".trace")).string() << "}\n";
    return text.str();
}

bool await(const std::function<bool()> &condition, std::chrono::seconds deadline)
{
    const auto end = std::chrono::steady_clock::now() + deadline;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        pauseFor(std::chrono::milliseconds(50));
    }
    return true;
}

} // namespace hornbeampick::testing
