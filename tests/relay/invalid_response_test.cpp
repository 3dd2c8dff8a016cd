// Tests what becomes of responses whose status line is not that of a final response, or whose header has a field without a valid name, over
// real sockets: responses of upstreams and of other entry hosts.

#include "fakes/field_lines.h"
#include "fakes/relay_path.h"
#include "fakes/status_lines.h"

#include <catch2/catch.hpp>
#include <mutex>
#include <thread>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

struct sent_request {
    std::string method;
    std::string target;
    bool runOnce = true;
    std::string body;
};

// Two upstreams, or entry hosts, of which the one that gets the first request responds to it with the given bytes; all other responses
// are valid.
class invalid_pair
{
public:
    // `makeFirst` makes the first response from the request and a valid response to it.
    using maker = std::function<std::string(const received_request &, const std::string &)>;

    // With `closesFirst`, the connection ends after the first response.
    explicit invalid_pair(maker makeFirst, bool closesFirst = false)
        : m_makeFirst(std::move(makeFirst))
        , m_closesFirst(closesFirst)
    {
    }

    [[nodiscard]] std::size_t requests() const
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
        const bool isFirst = !m_answered.exchange(true);
        const auto valid = scripted_upstream::answer(request, "mine");
        scripted_upstream::write(to, isFirst ? m_makeFirst(request, valid) : valid);
        return !isFirst || !m_closesFirst;
    }

    maker m_makeFirst;
    bool m_closesFirst;
    std::atomic<bool> m_answered {false};
    scripted_upstream m_first {[this](const received_request &request, scripted_upstream::socket &to) { return answer(request, to); }};
    scripted_upstream m_second {[this](const received_request &request, scripted_upstream::socket &to) { return answer(request, to); }};
};

// Sends a request to which the first response is made by `makeFirst`, and requires that it is not passed on: what may run only once is sent
// once and answered with 502; what may be repeated is, but for what another entry host may have run.
void requireNotPassedOn(const sent_request &request, response_sender sender, const invalid_pair::maker &makeFirst, bool closesFirst = false)
{
    invalid_pair servers(makeFirst, closesFirst);
    relay_path path(sender, servers.both());
    caller client(path.entry());
    const auto answer = client.exchange(request.method, request.target, "", request.body);
    const bool isRepeated = !request.runOnce && sender != response_sender::peer;
    CHECK(servers.requests() == (isRepeated ? 2 : 1));
    CHECK(answer.result_int() == (isRepeated ? 200 : 502));
    CHECK(answer.body() != "inside");
    // Nothing of the invalid response is left for the next request.
    const auto next = caller(path.entry()).exchange("GET", "/again/next");
    CHECK(next.result_int() == 200);
    CHECK(next.body() == "mine");
}

std::string fieldsFor(const received_request &request, const std::string &body)
{
    return "\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Where a line stands among the fields of a header.
enum class field_position {
    first,
    inside,
    last,
};

// Returns `response` with a line of its own among its fields; `inside`, another field is before it that means nothing to the relay.
std::string withFieldLine(std::string response, const std::string &line, field_position position)
{
    const auto at = response.find(position == field_position::last ? "\r\n\r\n" : "\r\n");
    return response.insert(at, (position == field_position::inside ? "\r\nX-Other: o\r\n" : "\r\n") + line);
}

} // namespace

// Responses with a status from 600 on were passed on, and those below 200, 101 among them, taken for interim responses.
TEST_CASE("relay: a response whose status line is not that of a final response is never passed on", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(invalidStatusLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto request = GENERATE(sent_request {"POST", "/once/i", true, "x"}, sent_request {"GET", "/again/i", false, ""});
    CAPTURE(line, textOf(sender), request.method);
    requireNotPassedOn(request, sender, [&](const received_request &received, const std::string &) { return line + fieldsFor(received, "wrong"); });
}

// The body of a response that was taken for an interim one was read as the next response.
TEST_CASE("relay: the body of a response with an invalid status line is not taken for a response", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(invalidStatusLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    CAPTURE(line, textOf(sender));
    requireNotPassedOn({"POST", "/once/i", true, "x"}, sender, [&](const received_request &received, const std::string &) {
        return line + fieldsFor(received, scripted_upstream::answer(received, "inside"));
    });
}

// Only a valid response guarantees that the request has not been executed.
TEST_CASE("relay: a refusal with an invalid status line guarantees nothing", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(invalidStatusLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::peer);
    CAPTURE(line, textOf(sender));
    requireNotPassedOn({"POST", "/once/i", true, "x"}, sender,
                       [&](const received_request &received, const std::string &) { return line + "\r\nNot-Executed: 1" + fieldsFor(received, ""); });
}

// The upstream responds while the request's body is still being sent.
TEST_CASE("relay: a response with an invalid status line ends a long request", "[relay][invalid]")
{
    constexpr std::size_t longBytes = 3000000;
    const auto line = GENERATE(from_range(invalidStatusLines()));
    CAPTURE(line);
    requireNotPassedOn({"POST", "/once/i", true, std::string(longBytes, 'x')}, response_sender::upstream,
                       [&](const received_request &received, const std::string &) { return line + fieldsFor(received, "wrong"); });
}

// An upstream that always responds so must not be preferred because it is fast.
TEST_CASE("relay: an invalid status counts against the upstream like a malformed response", "[relay][invalid]")
{
    constexpr int requestCount = 100;
    const auto requestsToInvalid = [](const std::string &line) {
        scripted_upstream invalid([&](const received_request &received, scripted_upstream::socket &to) {
            scripted_upstream::write(to, line + fieldsFor(received, "wrong"));
            return true;
        });
        scripted_upstream valid([](const received_request &received, scripted_upstream::socket &to) {
            scripted_upstream::write(to, scripted_upstream::answer(received, "mine"));
            return true;
        });
        relay_fixture fixture({&invalid, &valid});
        caller client(fixture);
        for (int i = 0; i < requestCount; ++i) {
            client.exchange("POST", "/once/" + std::to_string(i), "", "x");
        }
        return invalid.requests();
    };
    const auto malformed = requestsToInvalid("HTTP/1.1 20 OK");
    const auto line = GENERATE(as<std::string> {}, "HTTP/1.1 000 None", "HTTP/1.1 600 Over", "HTTP/1.1 101 Switching Protocols");
    const auto outOfRange = requestsToInvalid(line);
    CAPTURE(line, malformed, outOfRange);
    REQUIRE(malformed < requestCount / 4);
    REQUIRE(outOfRange < requestCount / 4);
}

TEST_CASE("relay: unusual but valid status lines are passed on", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(validStatusLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto interim = GENERATE(as<std::string> {}, "", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 199 Odd\r\n\r\n");
    CAPTURE(line.text, textOf(sender), interim);
    invalid_pair servers([&](const received_request &received, const std::string &) { return interim + line.text + fieldsFor(received, "odd"); });
    relay_path path(sender, servers.both());
    const auto answer = caller(path.entry()).exchange("POST", "/once/v", "", "x");
    CHECK(servers.requests() == 1);
    CHECK(answer.result_int() == line.status);
    CHECK(answer.body() == "odd");
}

// Header lines that begin with a blank were joined with the line before and passed on.
TEST_CASE("relay: a response with a header field without a valid name is never passed on", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(invalidFieldLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto request = GENERATE(sent_request {"POST", "/once/i", true, "x"}, sent_request {"GET", "/again/i", false, ""});
    const auto position = GENERATE(field_position::first, field_position::inside, field_position::last);
    CAPTURE(line, textOf(sender), request.method, static_cast<int>(position));
    requireNotPassedOn(request, sender, [&](const received_request &received, const std::string &) {
        return withFieldLine(scripted_upstream::answer(received, "wrong"), line, position);
    });
}

// Nothing but the invalid line says where the body ends. Its framing was passed on as part of the body.
TEST_CASE("relay: a response whose framing field has no valid name is never passed on", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(invalidFieldLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto request = GENERATE(sent_request {"POST", "/once/i", true, "x"}, sent_request {"GET", "/again/i", false, ""});
    CAPTURE(line, textOf(sender), request.method);
    const auto makeFirst = [&](const received_request &received, const std::string &) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + received.field("Request-Id") + "\r\nServer-Stamp: mark\r\n" + line + "\r\n\r\n5\r\nwrong\r\n0\r\n\r\n";
    };
    requireNotPassedOn(request, sender, makeFirst, true);
}

// Only a valid response guarantees that the request has not been executed.
TEST_CASE("relay: a refusal with a header field without a valid name guarantees nothing", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(invalidFieldLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::peer);
    CAPTURE(line, textOf(sender));
    requireNotPassedOn({"POST", "/once/i", true, "x"}, sender, [&](const received_request &received, const std::string &) {
        return withFieldLine("HTTP/1.1 503 Busy\r\nNot-Executed: 1" + fieldsFor(received, ""), line, field_position::inside);
    });
}

// The blank that begins a line may arrive apart from the line before.
TEST_CASE("relay: a response with a folded header field is not passed on however its bytes arrive", "[relay][invalid]")
{
    const auto blank = GENERATE(as<std::string> {}, " ", "\t");
    const std::string folded = "X-Note: a\r\n" + blank + "X-Other: b";
    const std::size_t cut = GENERATE(range(std::size_t {0}, std::size_t {24}));
    CAPTURE(blank, cut);
    scripted_upstream upstream([&](const received_request &received, scripted_upstream::socket &to) {
        const auto response = withFieldLine(scripted_upstream::answer(received, "wrong"), folded, field_position::inside);
        const auto at = std::min(response.find("X-Note") + cut, response.size());
        scripted_upstream::write(to, response.substr(0, at));
        std::this_thread::sleep_for(milliseconds(5));
        scripted_upstream::write(to, response.substr(at));
        return true;
    });
    relay_fixture fixture({&upstream});
    CHECK(caller(fixture).exchange("POST", "/once/i", "", "x").result_int() == 502);
}

TEST_CASE("relay: unusual but valid header fields, and bodies that look like invalid ones, are passed on", "[relay][peers][invalid]")
{
    const auto line = GENERATE(from_range(validFieldLines()));
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto position = GENERATE(field_position::first, field_position::inside, field_position::last);
    const auto body = GENERATE(as<std::string> {}, " X-Note: a\r\n", "\tX-Note: a\r\n", "a\r\n X-Note: a\r\n\r\n b");
    CAPTURE(line, textOf(sender), static_cast<int>(position), body);
    invalid_pair servers(
        [&](const received_request &received, const std::string &) { return withFieldLine(scripted_upstream::answer(received, body), line, position); });
    relay_path path(sender, servers.both());
    const auto answer = caller(path.entry()).exchange("POST", "/once/v", "", "x");
    CHECK(servers.requests() == 1);
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == body);
}
