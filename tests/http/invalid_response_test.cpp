// Tests what becomes of responses whose status line is not that of a final response, or whose header has a field without a valid name, at the
// client for upstreams, over real sockets.

#include "http/upstream_client.h"

#include "fakes/field_lines.h"
#include "fakes/scripted_upstream.h"
#include "fakes/status_lines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;

attempt_result sendOnce(upstream_client &client, const std::string &address, const std::string &method)
{
    asio::io_context context;
    proxied_request request;
    request.method = method;
    request.target = "/";
    request.headers = {{"Request-Id", "r-1"}};
    request.deadline = std::chrono::steady_clock::now() + milliseconds(2000);
    auto sent = asio::co_spawn(context, client.send(address, request), asio::use_future);
    context.run();
    return sent.get();
}

std::string withBody(const std::string &head, const std::string &body)
{
    return head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Responses with a status from 600 on were taken for answers, and those below 200 for interim responses, whose body was read as the next
// response.
TEST_CASE("upstream_client: a response whose status line is not that of a final response breaks the attempt", "[http][invalid]")
{
    const auto line = GENERATE(from_range(invalidStatusLines()));
    const auto method = GENERATE(as<std::string> {}, "GET", "HEAD");
    const auto interim = GENERATE(as<std::string> {}, "", "HTTP/1.1 100 Continue\r\n\r\n");
    const auto more = GENERATE(as<std::string> {}, "", "\r\nHornbeampick-Outcome: not-run");
    CAPTURE(line, method, interim, more);
    const bool isFollowed = GENERATE(false, true);
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, interim + withBody(line + more, isFollowed ? scripted_upstream::answer(request, "inside") : "wrong"));
        return true;
    });
    const auto client = makeUpstreamClient({});
    for (std::size_t sent = 1; sent <= 2; ++sent) {
        const auto result = sendOnce(*client, upstream.address(), method);
        REQUIRE(result.end == attempt_status::broke);
        REQUIRE(result.status == 0);
        REQUIRE(result.body.empty());
        // The connection is not used again.
        REQUIRE(upstream.connections() == sent);
    }
}

TEST_CASE("upstream_client: unusual but valid status lines are those of answers", "[http][invalid]")
{
    const auto line = GENERATE(from_range(validStatusLines()));
    CAPTURE(line.text);
    scripted_upstream upstream([&](const received_request &, scripted_upstream::socket &to) {
        scripted_upstream::write(to, withBody(line.text, "odd"));
        return true;
    });
    const auto client = makeUpstreamClient({});
    const auto result = sendOnce(*client, upstream.address(), "GET");
    REQUIRE(result.end == attempt_status::answered);
    REQUIRE(result.status == line.status);
    REQUIRE(result.body == "odd");
}

// Header lines that begin with a blank were joined with the line before.
TEST_CASE("upstream_client: a response with a header field without a valid name breaks the attempt", "[http][invalid]")
{
    const auto line = GENERATE(from_range(invalidFieldLines()));
    const auto method = GENERATE(as<std::string> {}, "GET", "POST", "HEAD");
    const bool hasLength = GENERATE(true, false);
    CAPTURE(line, method, hasLength);
    scripted_upstream upstream([&](const received_request &, scripted_upstream::socket &to) {
        const std::string head = "HTTP/1.1 200 OK\r\nX-Other: o\r\n" + line;
        scripted_upstream::write(to, hasLength ? withBody(head, "wrong") : head + "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n");
        return hasLength;
    });
    const auto client = makeUpstreamClient({});
    const auto result = sendOnce(*client, upstream.address(), method);
    CHECK(result.end == attempt_status::broke);
    CHECK(result.status == 0);
    CHECK(result.body.empty());
    CHECK(upstream.requests() == 1);
}

TEST_CASE("upstream_client: unusual but valid header fields, and bodies that look like invalid ones, are those of answers", "[http][invalid]")
{
    const auto line = GENERATE(from_range(validFieldLines()));
    const auto body = GENERATE(as<std::string> {}, " X-Note: a\r\n", "a\r\n X-Note: a\r\n\r\n b");
    CAPTURE(line, body);
    scripted_upstream upstream([&](const received_request &, scripted_upstream::socket &to) {
        scripted_upstream::write(to, withBody("HTTP/1.1 200 OK\r\n" + line, body));
        return true;
    });
    const auto client = makeUpstreamClient({});
    const auto result = sendOnce(*client, upstream.address(), "GET");
    CHECK(result.end == attempt_status::answered);
    CHECK(result.body == body);
}
