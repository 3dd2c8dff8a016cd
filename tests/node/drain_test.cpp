// Stops entry hosts, as real processes, while requests of many kinds are in progress there.

#include "fakes/node_fleet.h"
#include "fakes/scripted_upstream.h"
#include "soak/fault_block.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <mutex>
#include <set>
#include <thread>

using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t longBodyBytes = 400000;
// Pieces and pauses in which long bodies are sent.
constexpr std::size_t bodyPieces = 8;

// Runs a request to /once/MILLISECONDS/… for that time, and notes its Request-Id. A path that ends with "long" gets a long body in pieces.
class noting_upstream
{
public:
    [[nodiscard]] std::string address() const
    {
        return m_upstream.address();
    }
    [[nodiscard]] bool hasReceived(const std::string &id) const
    {
        const std::lock_guard guard(m_lock);
        return m_ids.count(id) > 0;
    }

private:
    bool serve(const received_request &request, scripted_upstream::socket &to)
    {
        {
            const std::lock_guard guard(m_lock);
            m_ids.insert(request.field("Request-Id"));
        }
        const auto line = request.line();
        const milliseconds runTime(std::stoi(line.substr(line.find("/once/") + 6)));
        if (line.find("long ") == std::string::npos) {
            std::this_thread::sleep_for(runTime);
            scripted_upstream::write(to, scripted_upstream::answer(request, "done"));
            return true;
        }
        const auto whole = scripted_upstream::answer(request, std::string(longBodyBytes, 'x'));
        const auto pieceBytes = whole.size() / bodyPieces + 1;
        for (std::size_t at = 0; at < whole.size(); at += pieceBytes) {
            std::this_thread::sleep_for(runTime / bodyPieces);
            scripted_upstream::write(to, whole.substr(at, pieceBytes));
        }
        return true;
    }

    mutable std::mutex m_lock;
    std::set<std::string> m_ids;
    scripted_upstream m_upstream {[this](const received_request &request, scripted_upstream::socket &to) { return serve(request, to); }};
};

// A connection to an entry host over which a test sends bytes of its own.
class caller_connection
{
public:
    explicit caller_connection(const std::string &address)
    {
        const auto colon = address.rfind(':');
        m_socket.connect({asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
    }
    // Bytes that cannot be sent are lost, as with a real caller.
    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }
    // Returns the status of the next answer; 0 when the connection ends before it is complete.
    unsigned readStatus()
    {
        std::size_t headEnd = 0;
        while ((headEnd = m_received.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore()) {
                return 0;
            }
        }
        const auto field = m_received.find("Content-Length: ");
        const std::size_t length = field < headEnd ? std::stoul(m_received.substr(field + 16)) : 0;
        while (m_received.size() < headEnd + 4 + length) {
            if (!readMore()) {
                return 0;
            }
        }
        const auto status = static_cast<unsigned>(std::stoul(m_received.substr(9, 3)));
        m_received.erase(0, headEnd + 4 + length);
        return status;
    }

private:
    bool readMore()
    {
        std::array<char, 16384> piece {};
        boost::system::error_code error;
        m_received.append(piece.data(), m_socket.read_some(asio::buffer(piece), error));
        return !error;
    }

    asio::io_context m_context;
    asio::ip::tcp::socket m_socket {m_context};
    std::string m_received;
};

// Returns the head of a request, whose Request-Id is its path.
std::string headOf(const std::string &path, std::size_t bodyBytes = 0)
{
    return (bodyBytes > 0 ? "POST " : "GET ") + path + " HTTP/1.1\r\nHost: x\r\nRequest-Id: " + path + "\r\nDeadline-Ms: 8000\r\n"
        + (bodyBytes > 0 ? "Content-Length: " + std::to_string(bodyBytes) + "\r\n" : std::string()) + "\r\n";
}

struct drain_fixture {
    noting_upstream upstream;
    node_fleet fleet;
    std::atomic<bool> finished {false};
    std::thread heartbeats;
    steady_clock::time_point stoppedAt {};

    explicit drain_fixture(std::size_t entryHosts = 1)
        : fleet({.controlHosts = 1,
                 .entryHosts = entryHosts,
                 .preload = HORNBEAMPICK_FAULT_LIBRARY,
                 .lookupLifetime = milliseconds(2000),
                 .routeTimeout = milliseconds(8000)})
    {
        fleet.startAll();
        heartbeats = std::thread([this] {
            for (std::uint64_t sequence = 1; !finished; ++sequence) {
                fleet.report(0, "n", upstream.address(), "ready", sequence, "north-a");
                std::this_thread::sleep_for(milliseconds(200));
            }
        });
        const bool routed = fleet.putRoutes(5);
        const bool ready = routed && awaitCondition([&] {
                               for (std::size_t entry = 0; entry < entryHosts; ++entry) {
                                   caller_connection probe(fleet.front(entry));
                                   probe.send(headOf("/once/0/ready"));
                                   if (probe.readStatus() != 200) {
                                       return false;
                                   }
                               }
                               return true;
                           });
        if (!ready) {
            finished = true;
            heartbeats.join();
            FAIL(fleet.logs());
        }
    }
    ~drain_fixture()
    {
        finished = true;
        if (heartbeats.joinable()) {
            heartbeats.join();
        }
    }
    drain_fixture(const drain_fixture &) = delete;
    drain_fixture &operator=(const drain_fixture &) = delete;

    unsigned exchange(std::size_t entry, const std::string &path)
    {
        caller_connection caller(fleet.front(entry));
        caller.send(headOf(path));
        return caller.readStatus();
    }

    void stop(std::size_t entry)
    {
        stoppedAt = steady_clock::now();
        fleet.signal("entry-" + std::to_string(entry), SIGTERM);
    }
    void awaitAfterStop(milliseconds time) const
    {
        std::this_thread::sleep_until(stoppedAt + time);
    }
    void setUpstreamsUnreachable(std::size_t entry)
    {
        const hornbeampick::soak::fault_block block {.upstreamsUnreachable = 1};
        std::ofstream file(fleet.faultFileOf("entry-" + std::to_string(entry)), std::ios::binary | std::ios::in | std::ios::out);
        file.write(reinterpret_cast<const char *>(&block), sizeof(block));
    }
};

// A request on a connection that was opened before the stop, in its own thread.
struct planned_request {
    milliseconds sentAfterStop;
    std::string path;
    unsigned status = 0;
    steady_clock::duration took {};
    std::unique_ptr<caller_connection> connection {};
    std::thread thread {};
};

} // namespace

// Requests that were sent late, with time left until long after the end of the host, were cut off while their upstream ran them.
TEST_CASE("nodes: a stopping entry host does not take a request that usually runs for longer than it has left", "[integration][nodes][drain]")
{
    drain_fixture fixture;
    // Enough requests for the host to learn their usual run time, few enough at once to run without a wait.
    for (int round = 0; round < 3; ++round) {
        std::vector<std::thread> usual;
        for (int i = 0; i < 4; ++i) {
            usual.emplace_back([&fixture, path = "/once/2900/usual-" + std::to_string(4 * round + i)] { fixture.exchange(0, path); });
        }
        for (auto &each : usual) {
            each.join();
        }
    }
    std::vector<planned_request> plan;
    for (const int sentAfter : {100, 400, 1500, 2000, 2300, 2600, 2900, 3800}) {
        plan.push_back({.sentAfterStop = milliseconds(sentAfter), .path = "/once/2900/" + std::to_string(sentAfter)});
        plan.back().connection = std::make_unique<caller_connection>(fixture.fleet.front(0));
    }
    fixture.stop(0);
    for (auto &each : plan) {
        each.thread = std::thread([&] {
            fixture.awaitAfterStop(each.sentAfterStop);
            const auto sentAt = steady_clock::now();
            each.connection->send(headOf(each.path));
            each.status = each.connection->readStatus();
            each.took = steady_clock::now() - sentAt;
        });
    }
    for (auto &each : plan) {
        each.thread.join();
    }
    INFO(fixture.fleet.logs());
    REQUIRE(fixture.fleet.awaitExit("entry-0") == 0);
    for (const auto &each : plan) {
        CAPTURE(each.path, each.status);
        const bool hasRun = fixture.upstream.hasReceived(each.path);
        CHECK(each.status == (hasRun ? 200 : 503));
        CHECK((hasRun || each.took < milliseconds(500)));
    }
    REQUIRE(plan.front().status == 200);
}

TEST_CASE("nodes: requests of every shape are answered whole or refused as not run while an entry host stops", "[integration][nodes][drain]")
{
    drain_fixture fixture;
    INFO(fixture.fleet.logs());
    const auto front = fixture.fleet.front(0);
    const std::string longBody(longBodyBytes, 'b');
    caller_connection pipelining(front);
    caller_connection bodyAfter(front);
    caller_connection bodyLate(front);
    caller_connection longUpload(front);
    caller_connection longDownload(front);
    caller_connection waiting(front);
    caller_connection late(front);
    bodyAfter.send(headOf("/once/100/body-after", 4));
    bodyLate.send(headOf("/once/100/body-late", 4));
    longUpload.send(headOf("/once/100/upload", longBodyBytes));
    longUpload.send(longBody.substr(0, longBodyBytes / 2));
    std::this_thread::sleep_for(milliseconds(100));
    fixture.stop(0);
    longDownload.send(headOf("/once/2400/long"));
    pipelining.send(headOf("/once/700/pipelined-1") + headOf("/once/0/pipelined-2"));
    fixture.awaitAfterStop(milliseconds(300));
    fixture.fleet.signal("entry-0", SIGHUP);
    pipelining.send(headOf("/once/0/pipelined-3"));
    fixture.awaitAfterStop(milliseconds(600));
    fixture.fleet.signal("entry-0", SIGTERM);
    bodyAfter.send("body");
    CHECK(bodyAfter.readStatus() == 200);
    longUpload.send(longBody.substr(longBodyBytes / 2));
    CHECK(longUpload.readStatus() == 200);
    CHECK(pipelining.readStatus() == 200);
    CHECK(pipelining.readStatus() == 0);
    CHECK_FALSE(fixture.upstream.hasReceived("/once/0/pipelined-2"));
    CHECK_FALSE(fixture.upstream.hasReceived("/once/0/pipelined-3"));
    fixture.awaitAfterStop(milliseconds(1900));
    fixture.fleet.signal("entry-0", SIGTERM);
    waiting.send(headOf("/once/300/waiting"));
    CHECK(waiting.readStatus() == 200);
    CHECK(longDownload.readStatus() == 200);
    fixture.awaitAfterStop(milliseconds(3300));
    fixture.fleet.signal("entry-0", SIGHUP);
    bodyLate.send("body");
    CHECK(bodyLate.readStatus() == 503);
    CHECK_FALSE(fixture.upstream.hasReceived("/once/100/body-late"));
    late.send(headOf("/once/0/late"));
    CHECK(late.readStatus() == 503);
    CHECK_FALSE(fixture.upstream.hasReceived("/once/0/late"));
    REQUIRE(fixture.fleet.awaitExit("entry-0") == 0);
    REQUIRE_FALSE(fixture.fleet.hasLogged("entry-0", "request-aborted"));
    REQUIRE(steady_clock::now() - fixture.stoppedAt < std::chrono::seconds(6));
}

TEST_CASE("nodes: requests that an isolated entry host passes on are served while the host that takes them stops", "[integration][nodes][peers][drain]")
{
    drain_fixture fixture(3);
    INFO(fixture.fleet.logs());
    const std::size_t stopping = GENERATE(0, 1);
    CAPTURE(stopping);
    fixture.setUpstreamsUnreachable(1);
    const auto served = [&](const std::string &path) { return fixture.exchange(1, path) == 200; };
    int probes = 0;
    REQUIRE(awaitCondition([&] {
        const bool isServed = served("/once/0/probe-" + std::to_string(++probes));
        return isServed && fixture.fleet.hasLogged("entry-1", R"("event":"upstreams-unreachable")");
    }));
    // As long as every host gets some of the requests.
    constexpr milliseconds interval {50};
    // Callers of the host that is stopped itself go elsewhere when look-ups have expired.
    const milliseconds length = stopping == 1 ? milliseconds(2000) : milliseconds(5800);
    std::vector<planned_request> plan;
    for (milliseconds sentAfter = interval; sentAfter < length; sentAfter += interval) {
        plan.push_back({.sentAfterStop = sentAfter, .path = "/once/400/" + std::to_string(sentAfter.count())});
    }
    fixture.stop(stopping);
    for (auto &each : plan) {
        each.thread = std::thread([&] {
            fixture.awaitAfterStop(each.sentAfterStop);
            each.status = fixture.exchange(1, each.path);
        });
    }
    for (auto &each : plan) {
        each.thread.join();
    }
    for (const auto &each : plan) {
        CAPTURE(each.path, each.status, fixture.upstream.hasReceived(each.path));
        CHECK(each.status == 200);
    }
    REQUIRE(fixture.fleet.awaitExit("entry-" + std::to_string(stopping)) == 0);
}
