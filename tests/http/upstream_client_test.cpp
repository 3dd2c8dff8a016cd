// Tests the client for upstreams over real sockets, with upstreams whose responses the tests write byte by byte.

#include "http/upstream_client.h"

#include "fakes/scripted_upstream.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;

// Sends one request and returns what became of it.
attempt_result sendOnce(upstream_client &client, const std::string &address, milliseconds timeout)
{
    asio::io_context context;
    proxied_request request;
    request.method = "GET";
    request.target = "/";
    request.deadline = std::chrono::steady_clock::now() + timeout;
    auto sent = asio::co_spawn(context, client.send(address, request), asio::use_future);
    context.run();
    return sent.get();
}

} // namespace

// A faulty upstream repeats part of a response without end. The client must neither keep what it cannot parse nor go on until the
// deadline.
TEST_CASE("upstream_client: a response that does not end in its head, a chunk header or the trailer breaks at once", "[http][endless]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto [head, piece] = GENERATE_COPY(table<std::string, std::string>(
        {{"HTTP/1.1 200 ", "x"}, {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"}, {chunked + "5;a=", "x"}, {chunked + "0\r\n", "X-Trailer: value\r\n"}}));
    CAPTURE(head);
    std::atomic<std::size_t> written {0};
    auto upstream = std::make_unique<scripted_upstream>([&, head = head, piece = piece](const received_request &, scripted_upstream::socket &to) {
        written += scripted_upstream::writeEndlessly(to, head, piece);
        return false;
    });
    const auto client = makeUpstreamClient({});
    const auto startedAt = std::chrono::steady_clock::now();
    const auto result = sendOnce(*client, upstream->address(), milliseconds(2500));
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    upstream.reset();
    REQUIRE(result.end == attempt_status::broke);
    REQUIRE(elapsed < milliseconds(1000));
    REQUIRE(written < scripted_upstream::maxUnreadBytes);
}

// A peer whose bytes are always there never makes a read wait, and the timer of a stream does not fire between reads.
TEST_CASE("upstream_client: a response without end is given up at the deadline", "[http][endless]")
{
    const std::string piece = GENERATE(as<std::string> {}, "1\r\nx\r\n", "1;a=" + std::string(4000, 'x') + "\r\nx\r\n");
    CAPTURE(piece.size());
    scripted_upstream upstream([&](const received_request &, scripted_upstream::socket &to) {
        scripted_upstream::writeEndlessly(to, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", piece);
        return false;
    });
    const auto client = makeUpstreamClient({});
    const auto startedAt = std::chrono::steady_clock::now();
    const auto result = sendOnce(*client, upstream.address(), milliseconds(300));
    REQUIRE(std::chrono::steady_clock::now() - startedAt < milliseconds(800));
    REQUIRE((result.end == attempt_status::timedOut || result.end == attempt_status::broke));
}

// Responses of these upstreams carry no id. On a kept connection, a copy of an earlier refusal would be taken for the response to the
// next request, which runs, and that request would be sent to another upstream as well.
TEST_CASE("upstream_client: a refusal that is written once more is not taken for the response to another request", "[http][repeated]")
{
    const auto status = GENERATE(as<std::string> {}, "503 Busy", "429 Busy");
    CAPTURE(status);
    const std::string refusal = "HTTP/1.1 " + status + "\r\nHornbeampick-Outcome: not-run\r\nContent-Length: 0\r\n\r\n";
    std::atomic<int> seen {0};
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        const bool isFirst = ++seen == 1;
        scripted_upstream::write(to, isFirst || upstream.connections() == 1 ? refusal : scripted_upstream::answer(request, "mine"));
        return true;
    });
    const auto client = makeUpstreamClient({});
    REQUIRE(sendOnce(*client, upstream.address(), milliseconds(1000)).end == attempt_status::shed);
    const auto result = sendOnce(*client, upstream.address(), milliseconds(1000));
    REQUIRE(seen == 2);
    REQUIRE(result.end == attempt_status::answered);
    REQUIRE(result.body == "mine");
}
