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
