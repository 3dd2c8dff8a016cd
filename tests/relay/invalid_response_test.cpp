// Tests what becomes of responses whose status line is not that of a final response, over real sockets: responses of upstreams and of other
// entry hosts.

#include "fakes/relay_path.h"
#include "fakes/status_lines.h"

#include <catch2/catch.hpp>
#include <mutex>

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

    explicit invalid_pair(maker makeFirst)
        : m_makeFirst(std::move(makeFirst))
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
        return true;
    }

    maker m_makeFirst;
    std::atomic<bool> m_answered {false};
    scripted_upstream m_first {[this](const received_request &request, scripted_upstream::socket &to) { return answer(request, to); }};
    scripted_upstream m_second {[this](const received_request &request, scripted_upstream::socket &to) { return answer(request, to); }};
};

// Sends a request to which the first response is made by `makeFirst`, and requires that it is not passed on: what may run only once is sent
// once and answered with 502; what may be repeated is, but for what another entry host may have run.
void requireNotPassedOn(const sent_request &request, response_sender sender, const invalid_pair::maker &makeFirst)
{
    invalid_pair servers(makeFirst);
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
