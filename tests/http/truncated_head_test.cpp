// Tests what becomes of messages that end within their head, trailer or body, over real sockets: responses to the client for upstreams, and
// requests to the HTTP server.

#include "http/http_server.h"
#include "http/upstream_client.h"

#include "fakes/cut_heads.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <thread>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

const std::string requestId = "r-1";

// When the response that is cut comes.
enum class cut_moment {
    newConnection,
    keptConnection,
    afterInterim,
};

attempt_result sendOnce(upstream_client &client, const std::string &address, const std::string &method, const std::string &body = {})
{
    asio::io_context context;
    proxied_request request;
    request.method = method;
    request.target = "/";
    request.headers = {{"Request-Id", requestId}};
    request.body = body;
    request.deadline = std::chrono::steady_clock::now() + milliseconds(2000);
    auto sent = asio::co_spawn(context, client.send(address, request), asio::use_future);
    context.run();
    return sent.get();
}

// Sends a request to which the response is cut, on a connection as `moment` says, and requires that the attempt broke.
void requireBroken(const cut_message &cut, const std::string &method, cut_moment moment, connection_end end)
{
    CAPTURE(cut.name, method, static_cast<int>(moment), textOf(end));
    const std::size_t wholeRequests = moment == cut_moment::keptConnection ? 1 : 0;
    std::atomic<std::size_t> seen {0};
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        if (seen++ < wholeRequests) {
            scripted_upstream::write(to, scripted_upstream::answer(request, "mine"));
            return true;
        }
        if (moment == cut_moment::afterInterim) {
            scripted_upstream::write(to, "HTTP/1.1 100 Continue\r\n\r\n");
        }
        writeAndEnd(to, cut.bytes, end);
        return false;
    });
    const auto client = makeUpstreamClient({});
    for (std::size_t i = 0; i < wholeRequests; ++i) {
        REQUIRE(sendOnce(*client, upstream.address(), "GET").end == attempt_status::answered);
    }
    const auto result = sendOnce(*client, upstream.address(), method);
    REQUIRE(result.end == attempt_status::broke);
    REQUIRE(result.status == 0);
    REQUIRE(seen == wholeRequests + 1);
    REQUIRE(upstream.connections() == 1);
}

class handler_mock final : public http_handler
{
public:
    std::atomic<std::size_t> handled {0};

    asio::awaitable<http_response> handle(http_request) override
    {
        ++handled;
        co_return http_response {};
    }
    [[nodiscard]] bool mayAbandon(const http_request &) const override
    {
        return false;
    }
    [[nodiscard]] http_response makeErrorResponse(errc) const override
    {
        return {.status = 400, .headers = {}, .body = {}};
    }
};

} // namespace

// A response that ended within its head was taken for a whole one with an empty body.
TEST_CASE("upstream_client: a response that ends within its head breaks the attempt", "[http][truncated]")
{
    const auto moment = GENERATE(cut_moment::newConnection, cut_moment::keptConnection, cut_moment::afterInterim);
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    const auto method = GENERATE(as<std::string> {}, "GET", "HEAD");
    for (const auto &cut : cutResponseHeads(requestId, response_forms::all)) {
        requireBroken(cut, method, moment, end);
    }
}

TEST_CASE("upstream_client: a response is broken after each byte of its head", "[http][truncated]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    for (std::size_t size = 0; size < head.size(); ++size) {
        requireBroken({"after " + std::to_string(size) + " bytes", head.substr(0, size)}, "GET", cut_moment::newConnection, connection_end::closed);
    }
}

TEST_CASE("upstream_client: a response that ends within its body or trailer breaks the attempt", "[http][truncated]")
{
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    auto cuts = cutResponseBodies(requestId, 100);
    if (end == connection_end::reset) {
        // A body without a length ends with its connection, but not with a reset.
        cuts.push_back({"no length, before the body", "HTTP/1.1 200 OK\r\n\r\n"});
        cuts.push_back({"no length, in the body", "HTTP/1.1 200 OK\r\n\r\npart"});
    }
    for (const auto &cut : cuts) {
        requireBroken(cut, "GET", cut_moment::newConnection, end);
    }
}

// A request whose write fails is not answered, whatever the upstream has sent before.
TEST_CASE("upstream_client: a response without a length that is reset during a long request breaks the attempt", "[http][truncated]")
{
    const auto part = GENERATE(as<std::string> {}, "", "part");
    CAPTURE(part);
    scripted_upstream upstream(
        [&](const received_request &, scripted_upstream::socket &to) {
            writeAndEnd(to, "HTTP/1.1 200 OK\r\n\r\n" + part, connection_end::reset);
            return false;
        },
        request_part::head);
    const auto client = makeUpstreamClient({});
    const auto result = sendOnce(*client, upstream.address(), "POST", std::string(2 * scripted_upstream::maxUnreadBytes, 'x'));
    REQUIRE(result.end == attempt_status::broke);
    REQUIRE(result.status == 0);
    REQUIRE(result.body.empty());
}

// An interim response was taken for the final one, with an empty body, and the final one never read.
TEST_CASE("upstream_client: the response that follows interim ones is the final one", "[http][interim]")
{
    const auto method = GENERATE(as<std::string> {}, "GET", "HEAD");
    const auto interim = GENERATE(as<std::string> {}, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    const std::string body = method == "HEAD" ? "" : "mine";
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, interim + interim + scripted_upstream::answer(request, body));
        return true;
    });
    const auto client = makeUpstreamClient({});
    for (std::size_t i = 0; i < 2; ++i) {
        const auto result = sendOnce(*client, upstream.address(), method);
        REQUIRE(result.end == attempt_status::answered);
        REQUIRE(result.status == 200);
        REQUIRE(result.body == body);
    }
    REQUIRE(upstream.connections() == 1);
}

TEST_CASE("upstream_client: interim responses without end break the attempt", "[http][interim]")
{
    scripted_upstream upstream([](const received_request &, scripted_upstream::socket &to) {
        scripted_upstream::writeEndlessly(to, "", "HTTP/1.1 100 Continue\r\n\r\n", milliseconds(1));
        return false;
    });
    const auto client = makeUpstreamClient({});
    const auto startedAt = std::chrono::steady_clock::now();
    REQUIRE(sendOnce(*client, upstream.address(), "GET").end == attempt_status::broke);
    REQUIRE(std::chrono::steady_clock::now() - startedAt < milliseconds(1000));
}

TEST_CASE("http_server: a request that ends within its head or body is not run", "[http][truncated]")
{
    const bool isKept = GENERATE(false, true);
    const auto end = GENERATE(connection_end::closed, connection_end::reset);
    const auto framing = GENERATE(as<std::string> {}, "", "Content-Length: 0\r\n", "Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n",
                                  "Connection: close\r\n", "Content-Length: 4\r\nExpect: 100-continue\r\n");
    CAPTURE(isKept, textOf(end), framing);
    handler_mock handler;
    asio::io_context context;
    auto server = makeHttpServer({.address = "127.0.0.1"}, context, handler);
    REQUIRE(server);
    std::thread thread([&] { context.run(); });
    std::vector<unsigned> statuses;
    std::size_t wholeRequests = 0;
    const std::string start = "POST / HTTP/1.1";
    const std::string fields = "Host: x\r\n" + framing;
    auto cuts = cutsOf(start, fields);
    if (framing == "Content-Length: 4\r\n") {
        cuts.push_back({"in the body", start + "\r\n" + fields + "\r\nxxx"});
    } else if (framing == "Transfer-Encoding: chunked\r\n") {
        cuts.push_back({"after the last chunk", start + "\r\n" + fields + "\r\n1\r\nx\r\n0\r\n"});
        cuts.push_back({"in a trailer", start + "\r\n" + fields + "\r\n1\r\nx\r\n0\r\nX-Last: val"});
    }
    for (const auto &cut : cuts) {
        asio::io_context callerContext;
        asio::ip::tcp::socket socket(callerContext);
        socket.connect({asio::ip::address_v4::loopback(), server.value()->port()});
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        boost::system::error_code error;
        if (isKept) {
            asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), error);
            http::read(socket, buffer, answer, error);
            ++wholeRequests;
        }
        writeAndEnd(socket, cut.bytes, end);
        if (end == connection_end::closed) {
            http::response<http::string_body> last;
            http::read(socket, buffer, last, error);
            statuses.push_back(error ? 0 : last.result_int());
        }
    }
    const auto limit = std::chrono::steady_clock::now() + seconds(5);
    while (server.value()->openConnections() > 0 && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    const auto open = server.value()->openConnections();
    context.stop();
    thread.join();
    REQUIRE(open == 0);
    REQUIRE(std::ranges::all_of(statuses, [](unsigned status) { return status == 0 || status == 400; }));
    REQUIRE(handler.handled == wholeRequests);
}
