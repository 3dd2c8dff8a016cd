// Tests what becomes of messages that end within their head, trailer or body, over real sockets: responses of upstreams and of other
// entry hosts, and requests of callers.

#include "fakes/cut_heads.h"
#include "fakes/relay_path.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <set>
#include <thread>
#include <utility>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

// When the response that is cut comes.
enum class cut_moment {
    newConnection,
    keptConnection,
    afterInterim,
};

struct cut_request {
    std::string method;
    std::string target;
    bool runOnce = true;
};

std::string textOf(cut_moment moment)
{
    switch (moment) {
    case cut_moment::newConnection:
        return "new connection";
    case cut_moment::keptConnection:
        return "kept connection";
    case cut_moment::afterInterim:
        return "after an interim response";
    }
    return {};
}

// Two upstreams, or entry hosts. The one that gets the first request at the moment given to `arm` cuts its response; all other responses
// are whole.
class cutting_pair
{
public:
    void arm(const cut_message &cut, cut_moment moment, connection_end end)
    {
        const std::lock_guard guard(m_lock);
        m_cut = cut;
        m_moment = moment;
        m_end = end;
        m_armed = true;
        m_requests = 0;
    }

    // The number of requests from the one on whose response was cut.
    [[nodiscard]] std::size_t requests() const
    {
        const std::lock_guard guard(m_lock);
        return m_requests;
    }
    // The number of requests that were received at all.
    [[nodiscard]] std::size_t allRequests() const
    {
        return m_first.requests() + m_second.requests();
    }
    [[nodiscard]] std::vector<scripted_upstream *> both()
    {
        return {&m_first, &m_second};
    }

private:
    bool answer(const received_request &request, scripted_upstream::socket &to)
    {
        std::unique_lock guard(m_lock);
        const bool isKept = !m_seen.insert(&to).second;
        const bool isCut = m_armed && (isKept || m_moment != cut_moment::keptConnection);
        m_armed = m_armed && !isCut;
        m_requests += isCut || m_requests > 0 ? 1 : 0;
        const auto cut = m_cut;
        const auto moment = m_moment;
        const auto end = m_end;
        guard.unlock();
        if (!isCut) {
            // A response to a HEAD request has no body.
            const bool isHead = request.line().starts_with("HEAD");
            const auto whole = scripted_upstream::answer(request, "mine");
            scripted_upstream::write(to, isHead ? whole.substr(0, whole.size() - 4) : whole);
            return true;
        }
        if (moment == cut_moment::afterInterim) {
            scripted_upstream::write(to, "HTTP/1.1 100 Continue\r\n\r\n");
        }
        writeAndEnd(to, cut.bytes, end);
        return false;
    }

    mutable std::mutex m_lock;
    // Guarded by m_lock.
    cut_message m_cut;
    cut_moment m_moment = cut_moment::newConnection;
    connection_end m_end = connection_end::closed;
    bool m_armed = false;
    std::size_t m_requests = 0;
    std::set<const scripted_upstream::socket *> m_seen;
    scripted_upstream m_first {[this](const received_request &request, scripted_upstream::socket &to) { return answer(request, to); }};
    scripted_upstream m_second {[this](const received_request &request, scripted_upstream::socket &to) { return answer(request, to); }};
};

// Sends a request to which the first response is cut. What may run only once is sent once and promises nothing; what may be repeated is,
// but for what another entry host may have run.
void requireNotTakenForWhole(const cut_message &cut, const cut_request &request, response_sender sender, cut_moment moment, connection_end end)
{
    CAPTURE(cut.name, request.method, request.target, textOf(sender), textOf(moment), textOf(end));
    constexpr int maxWarmRequests = 100;
    cutting_pair servers;
    relay_path path(sender, servers.both());
    caller client(path.entry());
    servers.arm(cut, moment, end);
    const auto send = [&] { return client.exchange(request.method, request.target, "", request.method == "POST" ? "x" : ""); };
    auto answer = send();
    for (int i = 0; i < maxWarmRequests && servers.requests() == 0; ++i) {
        REQUIRE(answer.result_int() == 200);
        answer = send();
    }
    const bool isRepeated = !request.runOnce && sender != response_sender::peer;
    REQUIRE(servers.requests() == (isRepeated ? 2 : 1));
    REQUIRE(answer.result_int() == (isRepeated ? 200 : 502));
    REQUIRE((!isRepeated || answer.body() == "mine"));
    // Nothing of the cut response is left for the next request.
    const auto next = client.exchange("GET", "/again/next");
    REQUIRE(next.result_int() == 200);
    REQUIRE(next.body() == "mine");
}

} // namespace

// A response that ended within its head was taken for a whole one with an empty body.
TEST_CASE("relay: a response that ends within its head is never taken for a whole one", "[relay][peers][truncated]")
{
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    const auto request = GENERATE(cut_request {"POST", "/once/cut"}, cut_request {"HEAD", "/once/cut"}, cut_request {"GET", "/again/cut", false});
    for (const auto &cut : cutResponseHeads(request.target.substr(1), response_forms::all)) {
        requireNotTakenForWhole(cut, request, response_sender::upstream, cut_moment::newConnection, end);
    }
}

TEST_CASE("relay: a response that ends within its head is not taken for a whole one, wherever it comes from", "[relay][peers][truncated]")
{
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto moment = GENERATE(cut_moment::newConnection, cut_moment::keptConnection, cut_moment::afterInterim);
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    const auto request = GENERATE(cut_request {"POST", "/once/cut"}, cut_request {"GET", "/again/cut", false});
    for (const auto &cut : cutResponseHeads(request.target.substr(1), response_forms::common)) {
        requireNotTakenForWhole(cut, request, sender, moment, end);
    }
}

TEST_CASE("relay: a held response that ends within its body or trailer is never taken for a whole one", "[relay][peers][truncated]")
{
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    const auto request = GENERATE(cut_request {"POST", "/once/cut"}, cut_request {"GET", "/again/cut", false});
    const std::string id = request.target.substr(1);
    for (const auto &cut : cutResponseBodies(id, 100)) {
        requireNotTakenForWhole(cut, request, sender, cut_moment::newConnection, end);
    }
    if (end == connection_end::reset) {
        // A body without a length ends with its connection, but not with a reset.
        const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: mark\r\n\r\n";
        requireNotTakenForWhole({"no length, before the body", head}, request, sender, cut_moment::newConnection, end);
        requireNotTakenForWhole({"no length, in the body", head + "part"}, request, sender, cut_moment::newConnection, end);
    }
}

// The head of a long response has gone to the caller before the upstream ends it. The caller must be able to tell.
TEST_CASE("relay: a long response that ends within its body or trailer does not look whole", "[relay][peers][truncated]")
{
    constexpr std::size_t longBytes = 3000000;
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    auto cuts = cutResponseBodies("once/cut", longBytes);
    if (end == connection_end::reset) {
        cuts.push_back({"no length", "HTTP/1.1 200 OK\r\nRequest-Id: once/cut\r\nServer-Stamp: mark\r\n\r\n" + std::string(longBytes, 'x')});
    }
    for (const auto &cut : cuts) {
        CAPTURE(cut.name, textOf(sender), textOf(end));
        cutting_pair servers;
        relay_path path(sender, servers.both());
        caller client(path.entry());
        servers.arm(cut, cut_moment::newConnection, end);
        const auto answer = client.exchange("POST", "/once/cut", "", "x");
        REQUIRE((answer.result_int() == 0 || answer.result_int() == 502));
        REQUIRE(servers.requests() == 1);
    }
}

TEST_CASE("relay: a request that ends within its head is not run", "[relay][peers][truncated]")
{
    const bool isPeer = GENERATE(false, true);
    const bool isKept = GENERATE(false, true);
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    const auto framing = GENERATE(as<std::string> {}, "", "Content-Length: 0\r\n", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n",
                                  "Connection: close\r\n", "Content-Length: 4\r\nExpect: 100-continue\r\n");
    CAPTURE(isPeer, isKept, textOf(end), framing);
    cutting_pair servers;
    relay_fixture fixture(servers.both());
    const auto port = isPeer ? fixture.server->peerPort() : fixture.server->port();
    std::size_t wholeRequests = 0;
    for (const auto &cut : cutsOf("POST /once/cut HTTP/1.1", "Host: x\r\nRequest-Id: once/cut\r\nDeadline-Ms: 2500\r\n" + framing)) {
        CAPTURE(cut.name);
        caller client(port);
        if (isKept) {
            REQUIRE(client.exchange("GET", "/again/first").result_int() == 200);
            ++wholeRequests;
        }
        writeAndEnd(client.socket(), cut.bytes, end);
        if (end == connection_end::closed) {
            const auto status = client.read().result_int();
            REQUIRE((status == 0 || status == 400));
        }
    }
    // A connection that was made later is served later than these, or by another thread.
    caller last(port);
    REQUIRE(last.exchange("GET", "/again/last").result_int() == 200);
    std::this_thread::sleep_for(milliseconds(20));
    REQUIRE(servers.allRequests() == wholeRequests + 1);
}
