// Entry and control hosts as real processes, spoken to as the platform does.

#include "fakes/node_fleet.h"
#include "fakes/scripted_upstream.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

using namespace hornbeampick::testing;

namespace
{

bool echo(const received_request &request, scripted_upstream::socket &to)
{
    scripted_upstream::write(to, scripted_upstream::answer(request, "from " + request.line()));
    return true;
}

// Upstreams that keep announcing themselves, as instances do, to whatever control host takes it.
class announcer
{
public:
    announcer(node_fleet &fleet, std::size_t controlHosts)
        : m_fleet(fleet)
        , m_controlHosts(controlHosts)
        , m_thread([this] { run(); })
    {
    }
    ~announcer()
    {
        m_stopped = true;
        m_thread.join();
    }
    announcer(const announcer &) = delete;
    announcer &operator=(const announcer &) = delete;

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

struct node_bench {
    static constexpr std::size_t controlHosts = 3;

    scripted_upstream north {echo};
    scripted_upstream south {echo};
    node_fleet fleet {controlHosts, 2};
    announcer upstreams {fleet, controlHosts};

    node_bench()
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

    call_answer ask(std::size_t entry, const std::string &target = "/once/1") const
    {
        return callHttp(fleet.front(entry), "GET", target, "", {{"Request-Id", "id" + target}, {"Deadline-Ms", "2000"}});
    }

    bool serves(std::size_t entry, const std::string &target = "/once/1") const
    {
        return ask(entry, target).status == 200;
    }

    std::string readBack() const
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
    node_bench bench;
    INFO(bench.fleet.logs());
    const auto answer = bench.ask(0, "/once/a?b=c");
    REQUIRE(answer.status == 200);
    REQUIRE(answer.body == "from GET /once/a?b=c HTTP/1.1");
    const auto looked = callHttp(bench.fleet.directory(0), "GET", "/-/resolve?name=x&region=south&zone=south-a");
    REQUIRE(looked.status == 200);
    REQUIRE(looked.body.find(bench.fleet.front(1)) != std::string::npos);
    REQUIRE(looked.body.find(bench.fleet.front(0)) == std::string::npos);
    REQUIRE(bench.readBack().find("\"r5\"") != std::string::npos);
    REQUIRE(bench.ask(0, "/none/").status == 404);
}

TEST_CASE("nodes: invalid orders are refused and change nothing; the same and older ones get their yes", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    for (
        const auto *bad :
        {"", "{", "[]", R"({"version":"r9"})",
         R"({"version":"r9","routes":{"columns":["hostname","path_prefix","route_type","service","max_attempts"],"rows":[["x","/","idempotent","none",1]]},"services":{"columns":["name"],"rows":[["s"]]}})"}) {
        CAPTURE(bad);
        const auto status = callHttp(bench.fleet.control(0), "POST", "/-/Config.Put", bad).status;
        REQUIRE(status >= 400);
        REQUIRE(status < 500);
    }
    REQUIRE(bench.fleet.putRoutes(5));
    REQUIRE(bench.fleet.putRoutes(4, "-older"));
    REQUIRE(bench.fleet.putRoutes(5, "-other"));
    REQUIRE(bench.readBack().find("/again/") != std::string::npos);
    REQUIRE(callHttp(bench.fleet.control(0), "POST", "/-/Instances.Heartbeat/i", "{\"state\":7}").status == 400);
}

TEST_CASE("nodes: a new version is in force on every entry host within its bound", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    for (std::uint64_t version = 6; version < 16; ++version) {
        const std::string prefix = "-" + std::to_string(version);
        REQUIRE(bench.fleet.putRoutes(version, prefix));
        const auto begun = std::chrono::steady_clock::now();
        REQUIRE(awaitCondition([&] { return bench.serves(0, "/again" + prefix + "/") && bench.serves(1, "/again" + prefix + "/"); }));
        // The users' bound from the acknowledgement on.
        REQUIRE(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(2500));
    }
}

TEST_CASE("nodes: killed control hosts, all or the leader, lose nothing and serving goes on", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    bench.fleet.kill("control-0");
    REQUIRE(bench.serves(0));
    REQUIRE(bench.fleet.putRoutes(6));
    bench.fleet.start("control-0");
    for (std::size_t i = 0; i < node_bench::controlHosts; ++i) {
        bench.fleet.signal("control-" + std::to_string(i), SIGKILL);
    }
    for (std::size_t i = 0; i < node_bench::controlHosts; ++i) {
        bench.fleet.awaitExit("control-" + std::to_string(i));
        REQUIRE(bench.serves(0));
        bench.fleet.start("control-" + std::to_string(i));
    }
    REQUIRE(awaitCondition([&] { return bench.readBack().find("\"r6\"") != std::string::npos; }));
    bench.fleet.kill("entry-1");
    bench.fleet.start("entry-1");
    REQUIRE(awaitCondition([&] { return bench.serves(1); }));
}

TEST_CASE("nodes: after a loss of power at all hosts the upstreams are known before they announce themselves again", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    bench.upstreams.remove("n");
    bench.upstreams.remove("s");
    REQUIRE(awaitCondition([&] { return bench.fleet.leave(0, "s") == 200; }));
    const std::vector<std::string> hosts {"control-0", "control-1", "control-2", "entry-0", "entry-1"};
    for (const auto &host : hosts) {
        bench.fleet.signal(host, SIGKILL);
    }
    for (const auto &host : hosts) {
        bench.fleet.awaitExit(host);
        bench.fleet.start(host);
    }
    const auto before = bench.south.requests();
    REQUIRE(awaitCondition([&] { return bench.serves(0) && bench.serves(1); }));
    // Its leaving was accepted: that lasts, too.
    REQUIRE(bench.south.requests() == before);
}

TEST_CASE("nodes: a control host with an emptied disk is filled again and counts anew", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    bench.fleet.kill("control-1");
    bench.fleet.removeData("control-1");
    REQUIRE(bench.fleet.putRoutes(6));
    bench.fleet.start("control-1");
    // It votes again once another host may be lost.
    REQUIRE(awaitCondition([&] { return callHttp(bench.fleet.control(1), "GET", "/-/Config.Get").body.find("\"r6\"") != std::string::npos; }));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    bench.fleet.kill("control-2");
    REQUIRE(bench.fleet.putRoutes(7));
    REQUIRE(bench.readBack().find("\"r7\"") != std::string::npos);
}

TEST_CASE("nodes: once told that an upstream leaves, the yes means that no entry host sends it more", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    // Planned; without notice; without notice at a host that has not heard of it, and saying no more than its name.
    const int way = GENERATE(0, 1, 2);
    bench.upstreams.remove("n");
    const auto status = [&] {
        return way == 2 ? bench.fleet.leave(2, "n")
                        : bench.fleet.report(1, "n", bench.north.address(), way == 0 ? "draining" : "ready", 100000, "north-a", way == 1);
    };
    REQUIRE(awaitCondition([&] { return status() == 200; }));
    const auto before = bench.north.requests();
    for (int i = 0; i < 20; ++i) {
        REQUIRE(bench.serves(0));
        REQUIRE(bench.serves(1));
    }
    REQUIRE(bench.north.requests() == before);
}

TEST_CASE("nodes: an evacuated failure domain gets nothing until it is taken back", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    REQUIRE(awaitCondition([&] { return callHttp(bench.fleet.control(2), "POST", "/-/Evacuate.Start/north-a").status == 200; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto before = bench.north.requests();
    for (int i = 0; i < 20; ++i) {
        REQUIRE(bench.serves(0));
    }
    REQUIRE(bench.north.requests() == before);
    REQUIRE(awaitCondition([&] { return callHttp(bench.fleet.control(0), "POST", "/-/Evacuate.End/north-a").status == 200; }));
    REQUIRE(awaitCondition([&] {
        bench.serves(0);
        return bench.north.requests() > before;
    }));
}

TEST_CASE("nodes: a stopped entry host leaves look-ups at once, cuts nothing and ends within its grace", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    std::atomic<bool> over {false};
    std::atomic<int> cut {0};
    std::thread load([&] {
        while (!over) {
            // A refused connection is a host that is gone; an answer that breaks off is a request cut.
            const auto answer = bench.ask(0);
            cut += answer.status != 200 && !over ? 1 : 0;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const auto begun = std::chrono::steady_clock::now();
    bench.fleet.signal("entry-0", SIGTERM);
    REQUIRE(awaitCondition([&] { return !bench.ready(0); }));
    REQUIRE(awaitCondition(
        [&] { return callHttp(bench.fleet.directory(1), "GET", "/-/resolve?region=north").body.find(bench.fleet.front(0)) == std::string::npos; }));
    REQUIRE(std::chrono::steady_clock::now() - begun < std::chrono::milliseconds(1500));
    over = true;
    load.join();
    REQUIRE(cut == 0);
    REQUIRE(bench.fleet.awaitExit("entry-0") == 0);
    REQUIRE(std::chrono::steady_clock::now() - begun < std::chrono::seconds(6));
}

TEST_CASE("nodes: a control host that is stopped hands over, and orders go on", "[integration][nodes]")
{
    node_bench bench;
    INFO(bench.fleet.logs());
    for (std::uint64_t i = 0; i < node_bench::controlHosts; ++i) {
        const auto name = "control-" + std::to_string(i);
        bench.fleet.signal(name, SIGTERM);
        REQUIRE(bench.fleet.awaitExit(name) == 0);
        REQUIRE(bench.fleet.putRoutes(6 + i));
        REQUIRE(bench.serves(0));
        bench.fleet.start(name);
        REQUIRE(awaitCondition([&] { return callHttp(bench.fleet.control(i), "GET", "/-/Config.Get").status == 200; }));
    }
}
