// Runs entry and control hosts as real processes and calls them through the platform's interfaces.

#include "fakes/node_fleet.h"
#include "fakes/scripted_upstream.h"
#include "replica/formation.h"
#include "rpc/control_client.h"
#include "soak/fault_block.h"

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <thread>

using namespace hornbeampick::testing;

namespace
{

// Runs requests whose path contains "slow" for this long.
constexpr std::chrono::milliseconds slowRunTime {2500};

// Closes the connection after requests whose path contains "last".
bool echo(const received_request &request, scripted_upstream::socket &to)
{
    if (request.line().find("slow") != std::string::npos) {
        std::this_thread::sleep_for(slowRunTime);
    }
    const bool isLast = request.line().find("last") != std::string::npos;
    scripted_upstream::write(to, scripted_upstream::answer(request, "from " + request.line(), isLast ? "Connection: close\r\n" : ""));
    return !isLast;
}

// A connection of a caller that stays open between requests.
class kept_connection
{
public:
    explicit kept_connection(const std::string &address)
        : m_socket(m_context)
    {
        const auto colon = address.rfind(':');
        m_socket.connect({boost::asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    }

    // Returns the status of the answer; 0 when the connection ends without one.
    unsigned send(const std::string &target, int deadlineMs)
    {
        namespace http = boost::beast::http;
        boost::system::error_code error;
        boost::asio::write(m_socket,
                           boost::asio::buffer("GET " + target + " HTTP/1.1\r\nHost: x\r\nRequest-Id: id" + target
                                               + "\r\nDeadline-Ms: " + std::to_string(deadlineMs) + "\r\n\r\n"),
                           error);
        http::response<http::string_body> answer;
        http::read(m_socket, m_buffer, answer, error);
        return error ? 0 : answer.result_int();
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
};

// Sends the heartbeats of all upstreams periodically, each to the first control host that accepts it, as real instances do.
class heartbeat_sender
{
public:
    heartbeat_sender(node_fleet &fleet, std::size_t controlHosts)
        : m_fleet(fleet)
        , m_controlHosts(controlHosts)
        , m_thread([this] { run(); })
    {
    }
    ~heartbeat_sender()
    {
        m_stopped = true;
        m_thread.join();
    }
    heartbeat_sender(const heartbeat_sender &) = delete;
    heartbeat_sender &operator=(const heartbeat_sender &) = delete;

    void add(const std::string &instance, const std::string &address, const std::string &domain)
    {
        const std::lock_guard guard(m_lock);
        m_upstreams.push_back({instance, address, domain});
    }
    void remove(const std::string &instance)
    {
        const std::lock_guard guard(m_lock);
        std::erase_if(m_upstreams, [&](const upstream &each) { return each.instance == instance; });
    }

private:
    struct upstream {
        std::string instance;
        std::string address;
        std::string domain;
    };

    void run()
    {
        while (!m_stopped) {
            std::vector<upstream> all;
            {
                const std::lock_guard guard(m_lock);
                all = m_upstreams;
            }
            ++m_sequence;
            for (const auto &each : all) {
                for (std::size_t host = 0; host < m_controlHosts; ++host) {
                    if (m_fleet.report(host, each.instance, each.address, "ready", m_sequence, each.domain) == 200) {
                        break;
                    }
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
        }
    }

    node_fleet &m_fleet;
    std::size_t m_controlHosts;
    std::mutex m_lock;
    std::vector<upstream> m_upstreams;
    std::atomic<std::uint64_t> m_sequence {0};
    std::atomic<bool> m_stopped {false};
    std::thread m_thread;
};

struct node_fixture {
    static constexpr std::size_t controlHosts = 3;

    scripted_upstream north {echo};
    scripted_upstream south {echo};
    node_fleet fleet;
    heartbeat_sender upstreams {fleet, controlHosts};

    explicit node_fixture(const node_fleet_options &options = {.controlHosts = controlHosts, .entryHosts = 2})
        : fleet(options)
    {
        fleet.startAll();
        upstreams.add("n", north.address(), "north-a");
        upstreams.add("s", south.address(), "south-a");
        REQUIRE(fleet.putRoutes(5));
        REQUIRE(awaitCondition([&] { return ready(0) && ready(1) && serves(0) && serves(1); }));
    }

    bool ready(std::size_t entry) const
    {
        return callHttp(fleet.readiness(entry), "GET", "/-/readyz").status == 200;
    }

    call_answer send(std::size_t entry, const std::string &target = "/once/1") const
    {
        return callHttp(fleet.front(entry), "GET", target, "", {{"Request-Id", "id" + target}, {"Deadline-Ms", "2000"}});
    }

    bool serves(std::size_t entry, const std::string &target = "/once/1") const
    {
        return send(entry, target).status == 200;
    }

    // Sets whether new connections of an entry host to upstreams are refused. Requires the fault library.
    void setUpstreamsUnreachable(std::size_t entry, bool unreachable) const
    {
        setFaults(entry, {.upstreamsUnreachable = unreachable ? 1 : 0});
    }

    // Replaces the faults of an entry host. Requires the fault library.
    void setFaults(std::size_t entry, const hornbeampick::soak::fault_block &block) const
    {
        std::ofstream file(fleet.faultFileOf("entry-" + std::to_string(entry)), std::ios::binary | std::ios::in | std::ios::out);
        file.write(reinterpret_cast<const char *>(&block), sizeof(block));
    }

    // Returns true when look-ups of callers in the region of an entry host name that host.
    bool isNamed(std::size_t entry) const
    {
        const auto region = node_fleet::regionOf(entry);
        return callHttp(fleet.directory(1), "GET", "/-/resolve?name=x&region=" + region).body.find(fleet.front(entry)) != std::string::npos;
    }

    // Puts routes of the hostnames south and any, of which those of south are restricted to the region south.
    bool putRestrictedRoutes(std::uint64_t version) const
    {
        const std::string body = R"({"version":"r)" + std::to_string(version)
            + R"(","routes":{"columns":["name","hostname","path_prefix","route_type","timeout_ms","service","max_attempts","allowed_regions"],"rows":[)"
            + R"(["s","south","/","idempotent",3000,"s",2,["south"]],["a","any","/","idempotent",3000,"s",2,[]]]},)"
            + R"("services":{"columns":["name"],"rows":[["s"]]}})";
        std::size_t turn = 0;
        return awaitCondition([&] { return callHttp(fleet.control(turn++ % controlHosts), "POST", "/-/Config.Put", body).status == 200; });
    }

    unsigned sendTo(std::size_t entry, const std::string &hostname) const
    {
        return callHttp(fleet.front(entry), "GET", "/1", "", {{"Host", hostname}, {"Request-Id", "id"}, {"Deadline-Ms", "2000"}}).status;
    }

    std::string readConfiguration() const
    {
        for (std::size_t host = 0; host < controlHosts; ++host) {
            const auto answer = callHttp(fleet.control(host), "GET", "/-/Config.Get");
            if (answer.status == 200) {
                return answer.body;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE("nodes: from three seeds to a served request, a look-up and the configuration read back", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    const auto answer = fixture.send(0, "/once/a?b=c");
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == "from GET /once/a?b=c HTTP/1.1");
    const auto lookup = callHttp(fixture.fleet.directory(0), "GET", "/-/resolve?name=x&region=south&zone=south-a");
    REQUIRE(lookup.status == 200);
    REQUIRE(lookup.body.find(fixture.fleet.front(1)) != std::string::npos);
    REQUIRE(lookup.body.find(fixture.fleet.front(0)) == std::string::npos);
    REQUIRE(fixture.readConfiguration().find("\"r5\"") != std::string::npos);
    REQUIRE(fixture.send(0, "/none/").status == 404);
}

TEST_CASE("nodes: invalid orders are refused and change nothing; the same and older ones get their yes", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    for (
        const auto *bad :
        {"", "{", "[]", R"({"version":"r9"})",
         R"({"version":"r9","routes":{"columns":["hostname","path_prefix","route_type","service","max_attempts"],"rows":[["x","/","idempotent","none",1]]},"services":{"columns":["name"],"rows":[["s"]]}})"}) {
        CAPTURE(bad);
        const auto status = callHttp(fixture.fleet.control(0), "POST", "/-/Config.Put", bad).status;
        REQUIRE(status >= 400);
        REQUIRE(status < 500);
    }
    REQUIRE(fixture.fleet.putRoutes(5));
    REQUIRE(fixture.fleet.putRoutes(4, "-older"));
    REQUIRE(fixture.fleet.putRoutes(5, "-other"));
    REQUIRE(fixture.readConfiguration().find("/again/") != std::string::npos);
    REQUIRE(callHttp(fixture.fleet.control(0), "POST", "/-/Instances.Heartbeat/i", "{\"state\":7}").status == 400);
}

// An entry under the name of a healthy upstream, with a huge number, replaced its report, and its later heartbeats counted as outdated.
TEST_CASE("nodes: an entry with a number out of range is refused, and the upstream of that name goes on", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    struct odd_number {
        std::string field;
        std::string value;
    };
    const std::vector<odd_number> numbers {
        {"seq", "9223372036854775807"},
        {"seq", "18446744073709551616"},
        {"seq", "1e18"},
        {"seq", "1e400"},
        {"seq", "-1"},
        {"born", "9223372036854775807"},
        {"born", "1e18"},
        {"born", "18446744073709551616"},
        {"born", "1e400"},
        {"born", "-1"},
        {"slots", "4e9"},
        {"slots", "1e18"},
        {"slots", "-1"},
        {"slots", "1e400"},
        {"slots", "65537"},
        {"warmup_left_ms", "4e9"},
        {"warmup_left_ms", "86400000"},
        {"warmup_left_ms", "-1"},
        {"warmup_left_ms", "1e400"},
    };
    for (const auto &odd : numbers) {
        std::map<std::string, std::string> fields {{"seq", "1000000"}, {"born", "1790000000000"}, {"slots", "6"}, {"warmup_left_ms", "0"}};
        fields[odd.field] = odd.value;
        std::string body = R"({"service":"s","address":"10.255.255.1:9","zone":"north-a","state":"ready")";
        for (const auto &[field, value] : fields) {
            body.append(",\"").append(field).append("\":").append(value);
        }
        CAPTURE(odd.field, odd.value);
        CHECK(callHttp(fixture.fleet.control(0), "POST", "/-/Instances.Heartbeat/n", body + "}").status == 400);
        if (odd.field == "born") {
            CHECK(callHttp(fixture.fleet.control(0), "POST", "/-/Instances.Deregister/n", R"({"born":)" + odd.value + "}").status == 400);
        }
    }
    const auto before = fixture.north.requests();
    CHECK(awaitCondition([&] {
        fixture.serves(0);
        return fixture.north.requests() >= before + 5;
    }));
}

// A name that is not UTF-8 made each message, file and entry of the log that contained it unreadable: after a restart a control host had
// forgotten all announcements.
TEST_CASE("nodes: names in calls that are not plain text are refused, and the others hold", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    const auto post = [&](const std::string &target, const std::string &body) { return callHttp(fixture.fleet.control(0), "POST", target, body).status; };
    const std::string heartbeat
        = R"({"service":"t","address":"10.0.0.1:80","zone":"north-a","slots":6,"state":"ready","warmup_left_ms":0,"seq":1,"born":1790000000000})";
    const auto name = GENERATE(as<std::string> {}, "\xff\xfe", std::string(300, 'i'));
    CAPTURE(name);
    CHECK(post("/-/Instances.Heartbeat/" + name, heartbeat) == 400);
    CHECK(post("/-/Instances.Deregister/" + name, "") == 400);
    CHECK(post("/-/Evacuate.Start/" + name, "") == 400);
    CHECK(fixture.fleet.putRoutes(6, "-6"));
    CHECK(awaitCondition([&] { return fixture.serves(0, "/again-6/") && fixture.serves(1, "/again-6/"); }));
    // The acknowledgement of an upstream that leaves means that the announcements are saved.
    fixture.upstreams.remove("n");
    fixture.upstreams.remove("s");
    REQUIRE(awaitCondition([&] { return fixture.fleet.leave(0, "s") == 200; }));
    const std::vector<std::string> hosts {"control-0", "control-1", "control-2", "entry-0", "entry-1"};
    for (const auto &host : hosts) {
        fixture.fleet.signal(host, SIGKILL);
    }
    for (const auto &host : hosts) {
        fixture.fleet.awaitExit(host);
        fixture.fleet.start(host);
    }
    CHECK(awaitCondition([&] { return fixture.serves(0) && fixture.serves(1); }));
}

// An address that is not "ip:port" was accepted. A name in place of the IP became 0.0.0.0, which is the entry host itself.
TEST_CASE("nodes: an entry without an address to connect to is refused, and the others hold", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    for (const std::string address :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:x", "10.0.0.1:", "10.0.0.1", "10.0.0.1:80x", "10.0.0.1:+80",
          "10.0.0.1 :80", "a.example:80", "[::1]:80", "::1:80", "0.0.0.0:80", "10.0.0:80", "10.0.0.1.1:80", "10.0.0.256:80", ":80", ""}) {
        CAPTURE(address);
        CHECK(fixture.fleet.report(0, "odd", address, "ready", 1, "north-a") == 400);
    }
    for (int i = 0; i < 40; ++i) {
        CHECK(fixture.serves(i % 2));
    }
}

// An entry that names no known service, at the address of a healthy upstream and with a later start, took the address over: the healthy
// upstream counted as gone.
TEST_CASE("nodes: an entry of an unknown service does not take the address of an upstream in use", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    const std::string odd = R"({"service":"unknown","address":")" + fixture.north.address() + R"(","zone":"nowhere","slots":6,"state":"ready","seq":1,"born":)"
        + std::to_string(node_fleet::firstIncarnation + 1000) + "}";
    for (std::size_t host = 0; host < node_fixture::controlHosts; ++host) {
        // Acceptable nevertheless: a later configuration may name the service.
        CHECK(callHttp(fixture.fleet.control(host), "POST", "/-/Instances.Heartbeat/odd", odd).status == 200);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto before = fixture.north.requests();
    for (int i = 0; i < 20; ++i) {
        CHECK(fixture.serves(0));
    }
    CHECK(fixture.north.requests() >= before + 5);
}

TEST_CASE("nodes: a new version is in force on every entry host within its bound", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    for (std::uint64_t version = 6; version < 16; ++version) {
        const std::string prefix = "-" + std::to_string(version);
        REQUIRE(fixture.fleet.putRoutes(version, prefix));
        const auto startedAt = std::chrono::steady_clock::now();
        REQUIRE(awaitCondition([&] { return fixture.serves(0, "/again" + prefix + "/") && fixture.serves(1, "/again" + prefix + "/"); }));
        // The specified bound, counted from the acknowledgement.
        REQUIRE(std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(2500));
    }
}

TEST_CASE("nodes: killed control hosts, all or the leader, lose nothing and serving goes on", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    fixture.fleet.kill("control-0");
    REQUIRE(fixture.serves(0));
    REQUIRE(fixture.fleet.putRoutes(6));
    fixture.fleet.start("control-0");
    for (std::size_t i = 0; i < node_fixture::controlHosts; ++i) {
        fixture.fleet.signal("control-" + std::to_string(i), SIGKILL);
    }
    for (std::size_t i = 0; i < node_fixture::controlHosts; ++i) {
        fixture.fleet.awaitExit("control-" + std::to_string(i));
        REQUIRE(fixture.serves(0));
        fixture.fleet.start("control-" + std::to_string(i));
    }
    REQUIRE(awaitCondition([&] { return fixture.readConfiguration().find("\"r6\"") != std::string::npos; }));
    fixture.fleet.kill("entry-1");
    fixture.fleet.start("entry-1");
    REQUIRE(awaitCondition([&] { return fixture.serves(1); }));
}

TEST_CASE("nodes: after a loss of power at all hosts the upstreams are known before they announce themselves again", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    fixture.upstreams.remove("n");
    fixture.upstreams.remove("s");
    REQUIRE(awaitCondition([&] { return fixture.fleet.leave(0, "s") == 200; }));
    const std::vector<std::string> hosts {"control-0", "control-1", "control-2", "entry-0", "entry-1"};
    for (const auto &host : hosts) {
        fixture.fleet.signal(host, SIGKILL);
    }
    for (const auto &host : hosts) {
        fixture.fleet.awaitExit(host);
        fixture.fleet.start(host);
    }
    const auto before = fixture.south.requests();
    REQUIRE(awaitCondition([&] { return fixture.serves(0) && fixture.serves(1); }));
    // The accepted deregistration must survive the restart as well.
    REQUIRE(fixture.south.requests() == before);
}

TEST_CASE("nodes: a control host with an emptied disk is filled again and counts anew", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    fixture.fleet.kill("control-1");
    fixture.fleet.removeData("control-1");
    REQUIRE(fixture.fleet.putRoutes(6));
    fixture.fleet.start("control-1");
    // Once it votes again, the loss of another host leaves a quorum.
    REQUIRE(awaitCondition([&] { return callHttp(fixture.fleet.control(1), "GET", "/-/Config.Get").body.find("\"r6\"") != std::string::npos; }));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    fixture.fleet.kill("control-2");
    REQUIRE(fixture.fleet.putRoutes(7));
    REQUIRE(fixture.readConfiguration().find("\"r7\"") != std::string::npos);
}

TEST_CASE("nodes: once told that an upstream leaves, the yes means that no entry host sends it more", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    // 0: draining; 1: deregistration without a prior draining report; 2: the same at a host that does not know the upstream, with only
    // its name.
    const int scenario = GENERATE(0, 1, 2);
    fixture.upstreams.remove("n");
    const auto status = [&] {
        return scenario == 2 ? fixture.fleet.leave(2, "n")
                             : fixture.fleet.report(1, "n", fixture.north.address(), scenario == 0 ? "draining" : "ready", 100000, "north-a", scenario == 1);
    };
    REQUIRE(awaitCondition([&] { return status() == 200; }));
    const auto before = fixture.north.requests();
    for (int i = 0; i < 20; ++i) {
        REQUIRE(fixture.serves(0));
        REQUIRE(fixture.serves(1));
    }
    REQUIRE(fixture.north.requests() == before);
}

TEST_CASE("nodes: an evacuated failure domain gets nothing until it is taken back", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    REQUIRE(awaitCondition([&] { return callHttp(fixture.fleet.control(2), "POST", "/-/Evacuate.Start/north-a").status == 200; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto before = fixture.north.requests();
    for (int i = 0; i < 20; ++i) {
        REQUIRE(fixture.serves(0));
    }
    REQUIRE(fixture.north.requests() == before);
    REQUIRE(awaitCondition([&] { return callHttp(fixture.fleet.control(0), "POST", "/-/Evacuate.End/north-a").status == 200; }));
    REQUIRE(awaitCondition([&] {
        fixture.serves(0);
        return fixture.north.requests() > before;
    }));
}

TEST_CASE("nodes: a stopped entry host leaves look-ups at once, cuts nothing and ends within its grace", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    std::atomic<bool> finished {false};
    std::atomic<int> failedRequests {0};
    std::thread load([&] {
        while (!finished) {
            // A draining host must neither refuse a connection nor cut off a response: either counts as a failed request.
            const auto answer = fixture.send(0);
            failedRequests += answer.status != 200 && !finished ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const auto startedAt = std::chrono::steady_clock::now();
    fixture.fleet.signal("entry-0", SIGTERM);
    REQUIRE(awaitCondition([&] { return !fixture.ready(0); }));
    REQUIRE(awaitCondition(
        [&] { return callHttp(fixture.fleet.directory(1), "GET", "/-/resolve?region=north").body.find(fixture.fleet.front(0)) == std::string::npos; }));
    REQUIRE(std::chrono::steady_clock::now() - startedAt < std::chrono::milliseconds(1500));
    finished = true;
    load.join();
    REQUIRE(failedRequests == 0);
    REQUIRE(fixture.fleet.awaitExit("entry-0") == 0);
    REQUIRE(std::chrono::steady_clock::now() - startedAt < std::chrono::seconds(6));
}

// A draining entry host took requests whose deadline lay beyond its own end, and ended while they ran.
TEST_CASE("nodes: a stopping entry host answers every request that it passes on", "[integration][nodes]")
{
    using std::chrono::milliseconds;
    node_fixture fixture({.controlHosts = node_fixture::controlHosts, .entryHosts = 2, .lookupLifetime = milliseconds(2000)});
    INFO(fixture.fleet.logs());
    struct planned_request {
        milliseconds sentAfterStop;
        std::string target;
        int deadlineMs;
    };
    const std::vector<planned_request> plan {
        {milliseconds(300), "/once/slow-1", 3000},  {milliseconds(1500), "/once/slow-2", 3000}, {milliseconds(2200), "/once/slow-3", 3000},
        {milliseconds(3400), "/once/slow-4", 3000}, {milliseconds(3700), "/once/slow-5", 3000}, {milliseconds(3000), "/once/short", 1000},
    };
    struct outcome {
        unsigned status = 0;
        std::chrono::steady_clock::duration took {};
    };
    std::vector<outcome> outcomes(plan.size());
    std::vector<std::unique_ptr<kept_connection>> connections;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        connections.push_back(std::make_unique<kept_connection>(fixture.fleet.front(0)));
        REQUIRE(connections.back()->send("/once/before-" + std::to_string(i), 3000) == 200);
    }
    const auto passedOnBefore = fixture.north.requests() + fixture.south.requests();
    const auto stoppedAt = std::chrono::steady_clock::now();
    fixture.fleet.signal("entry-0", SIGTERM);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        callers.emplace_back([&, i] {
            std::this_thread::sleep_until(stoppedAt + plan[i].sentAfterStop);
            const auto sentAt = std::chrono::steady_clock::now();
            outcomes[i].status = connections[i]->send(plan[i].target, plan[i].deadlineMs);
            outcomes[i].took = std::chrono::steady_clock::now() - sentAt;
        });
    }
    for (auto &each : callers) {
        each.join();
    }
    REQUIRE(fixture.fleet.awaitExit("entry-0") == 0);
    REQUIRE(std::chrono::steady_clock::now() - stoppedAt < std::chrono::seconds(6));
    std::size_t served = 0;
    for (std::size_t i = 0; i < plan.size(); ++i) {
        CAPTURE(plan[i].target, outcomes[i].status);
        // A request that cannot finish in time is refused at once, so that the caller can go elsewhere.
        REQUIRE((outcomes[i].status == 200 || (outcomes[i].status == 503 && outcomes[i].took < milliseconds(1000))));
        served += outcomes[i].status == 200 ? 1 : 0;
    }
    REQUIRE(outcomes.front().status == 200);
    REQUIRE(outcomes.back().status == 200);
    REQUIRE(fixture.north.requests() + fixture.south.requests() - passedOnBefore == served);
}

// Requests that a host takes after its last look at their number are cut off when it ends.
TEST_CASE("nodes: a stopping entry host takes nothing more once look-ups have expired, though it still runs", "[integration][nodes]")
{
    using std::chrono::milliseconds;
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    kept_connection running(fixture.fleet.front(0));
    kept_connection late(fixture.fleet.front(0));
    REQUIRE(running.send("/once/before-1", 3000) == 200);
    REQUIRE(late.send("/once/before-2", 3000) == 200);
    fixture.fleet.signal("entry-0", SIGTERM);
    REQUIRE(awaitCondition([&] { return !fixture.ready(0); }));
    const auto stoppedAt = std::chrono::steady_clock::now();
    unsigned runningStatus = 0;
    std::thread caller([&] {
        std::this_thread::sleep_until(stoppedAt + milliseconds(300));
        runningStatus = running.send("/once/slow", 3000);
    });
    // Look-ups live for 1 s, and connections are accepted for twice that time. A request with this deadline could still end in time.
    std::this_thread::sleep_until(stoppedAt + milliseconds(2300));
    const auto lateStatus = late.send("/once/late", 500);
    const auto newStatus = fixture.send(0).status;
    caller.join();
    REQUIRE(lateStatus == 503);
    REQUIRE(newStatus == 0);
    REQUIRE(runningStatus == 200);
    REQUIRE(fixture.fleet.awaitExit("entry-0") == 0);
}

// A request waited for a new connection to its upstream while the time in which it could still start ran out, and was sent all the same.
TEST_CASE("nodes: a stopping entry host sends nothing that waited too long for a connection", "[integration][nodes]")
{
    using std::chrono::milliseconds;
    node_fixture fixture(
        {.controlHosts = node_fixture::controlHosts, .entryHosts = 2, .preload = HORNBEAMPICK_FAULT_LIBRARY, .lookupLifetime = milliseconds(2000)});
    INFO(fixture.fleet.logs());
    kept_connection caller(fixture.fleet.front(0));
    // Leaves the thread that serves this caller without open connections to upstreams.
    for (int i = 0; i < 10; ++i) {
        REQUIRE(caller.send("/once/last-" + std::to_string(i), 3000) == 200);
    }
    const auto before = fixture.north.requests() + fixture.south.requests();
    fixture.fleet.signal("entry-0", SIGTERM);
    fixture.setFaults(0, {.upstreamConnectDelayMs = 600});
    REQUIRE(awaitCondition([&] { return !fixture.ready(0); }));
    // The host takes requests with late deadlines for 2.7 s.
    const auto sentAt = std::chrono::steady_clock::now() + milliseconds(2300);
    std::this_thread::sleep_until(sentAt);
    REQUIRE(caller.send("/once/1", 5000) == 503);
    // It was refused after the wait for a connection, not on arrival.
    REQUIRE(std::chrono::steady_clock::now() >= sentAt + milliseconds(600));
    REQUIRE(fixture.north.requests() + fixture.south.requests() == before);
    REQUIRE(fixture.fleet.awaitExit("entry-0") == 0);
}

// An entry host without a path to any upstream tried them one after another, and its callers got 503.
TEST_CASE("nodes: an entry host that is cut off from all upstreams serves through another one", "[integration][nodes]")
{
    node_fixture fixture({.controlHosts = node_fixture::controlHosts, .entryHosts = 3, .preload = HORNBEAMPICK_FAULT_LIBRARY});
    INFO(fixture.fleet.logs());
    REQUIRE(awaitCondition([&] { return fixture.isNamed(0) && fixture.isNamed(2); }));
    fixture.setUpstreamsUnreachable(0, true);
    // Callers' first tries must succeed again within the specified time, here with three seconds.
    const auto cutAt = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() - cutAt < std::chrono::milliseconds(2500)) {
        fixture.send(0);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    const auto before = fixture.north.requests() + fixture.south.requests();
    constexpr int tries = 40;
    int served = 0;
    for (int i = 0; i < tries; ++i) {
        served += fixture.serves(0, (i % 2 == 0 ? "/once/" : "/retry/") + std::to_string(i)) ? 1 : 0;
    }
    REQUIRE(served == tries);
    REQUIRE(fixture.north.requests() + fixture.south.requests() - before == tries);
    REQUIRE(fixture.ready(0));
    REQUIRE(awaitCondition([&] { return !fixture.isNamed(0); }));
    fixture.setUpstreamsUnreachable(0, false);
    REQUIRE(awaitCondition([&] { return fixture.isNamed(0); }));
    REQUIRE(fixture.serves(0));
}

TEST_CASE("nodes: a control host that is stopped hands over, and orders go on", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    for (std::uint64_t i = 0; i < node_fixture::controlHosts; ++i) {
        const auto name = "control-" + std::to_string(i);
        fixture.fleet.signal(name, SIGTERM);
        REQUIRE(fixture.fleet.awaitExit(name) == 0);
        REQUIRE(fixture.fleet.putRoutes(6 + i));
        REQUIRE(fixture.serves(0));
        fixture.fleet.start(name);
        REQUIRE(awaitCondition([&] { return callHttp(fixture.fleet.control(i), "GET", "/-/Config.Get").status == 200; }));
    }
}

// A formation call that arrived after the replica's thread had ended was never answered, and the process waited for it for ever.
TEST_CASE("nodes: a control host ends although formation calls arrive while it stops", "[integration][nodes]")
{
    using namespace hornbeampick;
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    const auto client = makeGrpcControlClient({.certificate = {}, .key = {}, .authority = {}, .plainText = true}, nullptr);
    const auto stoppedAt = std::chrono::steady_clock::now();
    fixture.fleet.signal("control-0", SIGTERM);
    for (int i = 0; i < 20; ++i) {
        std::this_thread::sleep_for(milliseconds(10));
        client->form(fixture.fleet.rpc(0), {.sender = {.host = host_name("x"), .disk = 7, .address = "127.0.0.1:1"}, .config = std::nullopt, .join = false},
                     [](const form_reply &) {});
    }
    while (fixture.fleet.isRunning("control-0") && std::chrono::steady_clock::now() - stoppedAt < seconds(4)) {
        std::this_thread::sleep_for(milliseconds(20));
    }
    client->cancelAll();
    CHECK_FALSE(fixture.fleet.isRunning("control-0"));
    fixture.fleet.kill("control-0");
}

// An entry host that was stopped before it had polled any control host announced itself with the first answer, while it drained.
TEST_CASE("nodes: an entry host that is stopped before it knows any upstream is never named in look-ups", "[integration][nodes]")
{
    using std::chrono::milliseconds;
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    const std::vector<std::string> controlHosts {"control-0", "control-1", "control-2"};
    fixture.fleet.signal("entry-0", SIGTERM);
    REQUIRE(fixture.fleet.awaitExit("entry-0") == 0);
    REQUIRE_FALSE(fixture.isNamed(0));
    for (const auto &name : controlHosts) {
        fixture.fleet.signal(name, SIGSTOP);
    }
    fixture.fleet.start("entry-0");
    REQUIRE(awaitCondition([&] { return callHttp(fixture.fleet.readiness(0), "GET", "/-/readyz").status == 503; }));
    fixture.fleet.signal("entry-0", SIGTERM);
    std::this_thread::sleep_for(milliseconds(100));
    for (const auto &name : controlHosts) {
        fixture.fleet.signal(name, SIGCONT);
    }
    bool isNamed = false;
    while (fixture.fleet.isRunning("entry-0")) {
        isNamed = isNamed || fixture.isNamed(0);
        std::this_thread::sleep_for(milliseconds(50));
    }
    REQUIRE_FALSE(isNamed);
}

// A deregistration that waited for entry hosts when its control host was stopped got no answer at all.
// A faulty upstream sends bytes without end, in a head or in a body. A host that keeps them all runs out of memory, and the requests of other
// callers end with it.
TEST_CASE("nodes: upstreams that send bytes without end cost an entry host little memory, and other callers nothing", "[integration][nodes][endless]")
{
    constexpr std::size_t allowedGrowth = 48 * 1024 * 1024;
    constexpr std::size_t callers = 30;
    const std::string head = "HTTP/1.1 200 OK\r\nServer-Stamp: mark\r\nRequest-Id: ";
    // What follows the request's id, and what is repeated.
    const auto [form, piece] = GENERATE_COPY(table<std::string, std::string>({
        {"\r\nX-Field: ", std::string(60000, 'x')},
        {"\r\nX-Field: v", "\r\nX-Field: v"},
        {"\r\n\r\n", std::string(60000, 'x')},
        {"\r\nTransfer-Encoding: chunked\r\n\r\n5;a=", std::string(60000, 'x')},
        {"\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
        {"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", std::string(60000, 'x')},
        {"\r\nContent-Length: 99999999999\r\n\r\n", std::string(60000, 'x')},
    }));
    CAPTURE(form.substr(2));
    scripted_upstream endless([&](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::writeEndlessly(to, head + request.field("Request-Id") + form, piece);
        return false;
    });
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    fixture.upstreams.add("e", endless.address(), "north-a");
    REQUIRE(awaitCondition([&] {
        (void)fixture.send(0, "/retry/probe");
        return endless.requests() > 0;
    }));
    const auto before = fixture.fleet.peakMemory("entry-0");
    std::vector<std::thread> all;
    std::atomic<std::size_t> answered {0};
    for (std::size_t i = 0; i < callers; ++i) {
        all.emplace_back([&, i] {
            for (int turn = 0; turn < 5; ++turn) {
                answered += fixture.send(0, "/retry/" + std::to_string(100 * i + turn)).status == 200 ? 1 : 0;
            }
        });
    }
    for (auto &each : all) {
        each.join();
    }
    const auto grown = fixture.fleet.peakMemory("entry-0") - before;
    INFO("requests to the endless upstream: " << endless.requests() << ", answered: " << answered << ", peak growth in bytes: " << grown);
    CHECK(grown < allowedGrowth);
    CHECK(fixture.fleet.isRunning("entry-0"));
    CHECK(answered > 0);
    fixture.upstreams.remove("e");
    CHECK(awaitCondition([&] { return fixture.serves(0) && fixture.serves(1); }));
}

// A control host that had just started took the entry hosts that it had heard of for all there are, and confirmed a departure that an entry host
// on the other side of a cut never learned.
TEST_CASE("nodes: a control host that starts without a leader confirms no departure", "[integration][nodes]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    fixture.fleet.signal("entry-1", SIGSTOP);
    for (const auto *name : {"control-0", "control-2", "control-1"}) {
        fixture.fleet.kill(name);
    }
    fixture.upstreams.remove("n");
    fixture.fleet.start("control-1");
    const auto status = [&](int sequence) { return fixture.fleet.report(1, "n", fixture.north.address(), "draining", 100000 + sequence, "north-a"); };
    REQUIRE(awaitCondition([&] { return status(0) != 0; }));
    for (int i = 1; i < 30; ++i) {
        CHECK(status(i) == 503);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    fixture.fleet.signal("entry-1", SIGCONT);
    fixture.fleet.start("control-0");
    CHECK(awaitCondition([&] { return status(100) == 200; }));
}

TEST_CASE("nodes: a control host that is stopped answers the deregistration in progress", "[integration][nodes]")
{
    using std::chrono::milliseconds;
    const bool isAcknowledged = GENERATE(false, true);
    CAPTURE(isAcknowledged);
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    // A control host confirms nothing until it has been in touch with a leader for a while.
    REQUIRE(awaitCondition([&] { return fixture.fleet.leave(0, "another") == 200; }));
    fixture.upstreams.remove("s");
    fixture.fleet.signal("entry-1", SIGSTOP);
    unsigned status = 0;
    std::thread leaving([&] { status = fixture.fleet.leave(0, "s"); });
    std::this_thread::sleep_for(milliseconds(150));
    const auto stoppedAt = std::chrono::steady_clock::now();
    fixture.fleet.signal("control-0", SIGTERM);
    if (isAcknowledged) {
        std::this_thread::sleep_for(milliseconds(150));
        fixture.fleet.signal("entry-1", SIGCONT);
    }
    leaving.join();
    fixture.fleet.signal("entry-1", SIGCONT);
    REQUIRE(status == (isAcknowledged ? 200 : 503));
    REQUIRE(fixture.fleet.awaitExit("control-0") == 0);
    REQUIRE(std::chrono::steady_clock::now() - stoppedAt < std::chrono::seconds(3));
}

// A control host names hosts of other regions while it knows none of the caller's region.
TEST_CASE("nodes: a look-up for a restricted hostname names no host outside the allowed regions", "[integration][nodes][home]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    REQUIRE(fixture.putRestrictedRoutes(6));
    const auto lookUp = [&](const std::string &hostname, const std::string &region) {
        return callHttp(fixture.fleet.directory(0), "GET", "/-/resolve?name=" + hostname + "&region=" + region).body;
    };
    const auto names = [&](const std::string &body, std::size_t entry) { return body.find(fixture.fleet.front(entry)) != std::string::npos; };
    REQUIRE(awaitCondition([&] { return names(lookUp("south", "south"), 1) && names(lookUp("any", "north"), 0); }));
    fixture.fleet.kill("entry-1");
    REQUIRE(awaitCondition([&] { return names(lookUp("any", "south"), 0); }));
    REQUIRE_FALSE(names(lookUp("south", "south"), 0));
    // The caller's own region is no other region.
    REQUIRE(names(lookUp("south", "north"), 0));
}

// The allowed regions may have changed since the entry host last heard of the routes.
TEST_CASE("nodes: an entry host that hears no control host refuses restricted requests as not run", "[integration][nodes][home]")
{
    node_fixture fixture;
    INFO(fixture.fleet.logs());
    REQUIRE(fixture.putRestrictedRoutes(6));
    REQUIRE(awaitCondition([&] { return fixture.sendTo(0, "south") == 200 && fixture.sendTo(0, "any") == 200; }));
    for (std::size_t host = 0; host < node_fixture::controlHosts; ++host) {
        fixture.fleet.kill("control-" + std::to_string(host));
    }
    REQUIRE(awaitCondition([&] { return fixture.sendTo(0, "south") == 503; }));
    REQUIRE(fixture.sendTo(0, "any") == 200);
    const auto before = fixture.north.requests() + fixture.south.requests();
    const auto refused = callHttp(fixture.fleet.front(0), "GET", "/1", "", {{"Host", "south"}, {"Request-Id", "id"}, {"Deadline-Ms", "2000"}});
    REQUIRE(refused.body.find("routes-outdated") != std::string::npos);
    REQUIRE_FALSE(refused.retryAfter.empty());
    REQUIRE(fixture.north.requests() + fixture.south.requests() == before);
    for (std::size_t host = 0; host < node_fixture::controlHosts; ++host) {
        fixture.fleet.start("control-" + std::to_string(host));
    }
    REQUIRE(awaitCondition([&] { return fixture.sendTo(0, "south") == 200; }));
}
