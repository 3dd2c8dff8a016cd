// Tests the relay over real sockets, with upstreams whose responses the tests write byte by byte.

#include "relay/relay_server.h"

#include "fakes/relay_fixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

// Waits until a connection to the relay is refused; returns false when that does not happen within 20 s.
bool awaitConnectionRefused(const relay_fixture &fixture)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < end) {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        boost::system::error_code error;
        socket.connect({asio::ip::address_v4::loopback(), fixture.server->port()}, error);
        if (error == asio::error::connection_refused) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

bool echo(const received_request &request, scripted_upstream::socket &to)
{
    scripted_upstream::write(to, scripted_upstream::answer(request, "from " + request.line()));
    return true;
}

std::string notRunResponse(const received_request &request)
{
    return "HTTP/1.1 503 Busy\r\nRequest-Id: " + request.field("Request-Id") + "\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n";
}

// Bytes that a faulty upstream sends in response to a request: `head` once, then `piece` without end.
struct endless_form {
    std::string name;
    std::function<std::string(const std::string &id)> head;
    std::string piece;
    // The head, or each piece by itself, shows that no response to the request follows.
    bool isKnownFromHead = false;
};

std::function<std::string(const std::string &id)> withHead(const std::string &statusLine, const std::string &moreFields)
{
    return [=](const std::string &id) { return "HTTP/1.1 " + statusLine + "\r\nRequest-Id: " + id + "\r\n" + moreFields + "\r\n"; };
}

std::function<std::string(const std::string &id)> fixed(const std::string &bytes)
{
    return [=](const std::string &) { return bytes; };
}

std::vector<endless_form> brokenForms()
{
    const std::string stamp = "Server-Stamp: mark\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string veryLong = "Content-Length: 1000000000000\r\n";
    const std::string other = "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: mark\r\n";
    const auto startOf = [=](const std::string &body) {
        return [=](const std::string &id) { return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: mark\r\n" + chunked + "\r\n" + body; };
    };
    return {
        {.name = "status line", .head = fixed("HTTP/1.1 200 "), .piece = "x"},
        {.name = "header fields", .head = fixed("HTTP/1.1 200 OK\r\n"), .piece = "X-Field: longer value\r\n"},
        {.name = "interim responses", .head = fixed(""), .piece = "HTTP/1.1 100 Continue\r\n\r\n", .isKnownFromHead = true},
        {.name = "chunk extension", .head = startOf("5;a="), .piece = "x"},
        {.name = "trailer fields", .head = startOf("0\r\n"), .piece = "X-Trailer: value\r\n"},
        {.name = "body for another request", .head = fixed(other + "\r\n"), .piece = "x", .isKnownFromHead = true},
        {.name = "body for another request, with a length", .head = fixed(other + veryLong + "\r\n"), .piece = "x", .isKnownFromHead = true},
        {.name = "body for another request, in chunks", .head = fixed(other + chunked + "\r\n"), .piece = "4\r\nbody\r\n"},
        {.name = "body without stamp", .head = withHead("200 OK", ""), .piece = "x", .isKnownFromHead = true},
        {.name = "body without stamp, in chunks", .head = withHead("200 OK", chunked), .piece = "4\r\nbody\r\n", .isKnownFromHead = true},
        {.name = "refusal", .head = withHead("503 Busy", stamp + "Not-Executed: full\r\n"), .piece = "x", .isKnownFromHead = true},
        {.name = "refusal in chunks", .head = withHead("503 Busy", "Not-Executed: full\r\n" + chunked), .piece = "4\r\nbody\r\n", .isKnownFromHead = true},
        {.name = "refusal with a length", .head = withHead("429 Busy", "Not-Executed: full\r\n" + veryLong), .piece = "x", .isKnownFromHead = true},
    };
}

std::vector<endless_form> endlessBodies()
{
    const std::string stamp = "Server-Stamp: mark\r\n";
    return {
        {.name = "until the connection ends", .head = withHead("200 OK", stamp), .piece = "x"},
        {.name = "with a length", .head = withHead("200 OK", stamp + "Content-Length: 1000000000000\r\n"), .piece = "x"},
        {.name = "in chunks", .head = withHead("200 OK", stamp + "Transfer-Encoding: chunked\r\n"), .piece = "4\r\nbody\r\n"},
        {.name = "in chunks with extensions",
         .head = withHead("200 OK", stamp + "Transfer-Encoding: chunked\r\n"),
         .piece = "1;a=" + std::string(4000, 'x') + "\r\nx\r\n"},
    };
}

// Sends requests that may be repeated until `form` has come in response to some of them, and requires that another upstream serves all
// of them well before their deadline.
void requireServedByAnother(const endless_form &form, milliseconds pause)
{
    std::atomic<std::size_t> written {0};
    auto endless = std::make_unique<scripted_upstream>([&](const received_request &request, scripted_upstream::socket &to) {
        written += scripted_upstream::writeEndlessly(to, form.head(request.field("Request-Id")), form.piece, pause);
        return false;
    });
    scripted_upstream good(echo);
    relay_fixture fixture({endless.get(), &good});
    caller client(fixture);
    for (int i = 0; i < 6; ++i) {
        const auto startedAt = std::chrono::steady_clock::now();
        REQUIRE(client.exchange("GET", "/again/" + std::to_string(i)).result_int() == 200);
        REQUIRE(std::chrono::steady_clock::now() - startedAt < milliseconds(1000));
    }
    const auto requests = endless->requests();
    REQUIRE(requests > 0);
    endless.reset();
    REQUIRE(written < requests * scripted_upstream::maxUnreadBytes);
}

bool eventually(const std::function<bool()> &condition)
{
    const auto end = std::chrono::steady_clock::now() + seconds(5);
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
    return condition();
}

} // namespace

TEST_CASE("relay: method, target, body and header go through unchanged, but for one connection's fields", "[relay]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    caller client(fixture);
    const auto answer = client.exchange("PUT", "/once/a%20b?c=d&e=%2f",
                                        "X-Other: Kept As Is\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nExpect-Instance: forged\r\n", "the body");
    REQUIRE(answer.result_int() == 200);
    REQUIRE(answer["Server-Stamp"] == "mark");
    REQUIRE(answer.body() == "from PUT /once/a%20b?c=d&e=%2f HTTP/1.1");
    const auto received = upstream.last();
    REQUIRE(received.body == "the body");
    REQUIRE(received.field("X-Other") == "Kept As Is");
    REQUIRE(received.field("X-Hop").empty());
    REQUIRE(received.field("Host") == "x");
    REQUIRE(received.field("Expect-Instance") == "i-0");
    REQUIRE(received.head.find("forged") == std::string::npos);
    const auto left = std::stoi(received.field("Deadline-Ms"));
    REQUIRE(left > 2000);
    REQUIRE(left <= 2500);
    REQUIRE(client.exchange("GET", "/again/2").result_int() == 200);
    REQUIRE(upstream.connections() == 1);
}

TEST_CASE("relay: bodies pass in chunks, both ways, held or long", "[relay]")
{
    scripted_upstream upstream([](const received_request &request, scripted_upstream::socket &to) {
        std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (std::size_t at = 0; at < request.body.size(); at += 50000) {
            const auto piece = request.body.substr(at, 50000);
            std::array<char, 16> size {};
            std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
            answer += size.data() + piece + "\r\n";
        }
        scripted_upstream::write(to, answer + "0\r\n\r\n");
        return true;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    for (const std::size_t size : {10U, 70000U, 3000000U}) {
        CAPTURE(size);
        std::string body(size, 'x');
        for (std::size_t i = 0; i < size; i += 7) {
            body[i] = static_cast<char>('a' + i % 26);
        }
        std::array<char, 16> length {};
        std::snprintf(length.data(), length.size(), "%zx\r\n", size);
        client.send("POST /once/c HTTP/1.1\r\nHost: x\r\nRequest-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(length.data()) + body
                    + "\r\n0\r\n\r\n");
        const auto answer = client.read();
        REQUIRE(answer.result_int() == 200);
        REQUIRE(answer.body() == body);
        REQUIRE(upstream.last().body == body);
    }
}

TEST_CASE("relay: HEAD has a length and no body; an answer without a length ends with its connection", "[relay]")
{
    scripted_upstream upstream([](const received_request &request, scripted_upstream::socket &to) {
        if (request.line().starts_with("HEAD")) {
            scripted_upstream::write(to,
                                     "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\nContent-Length: 42\r\n\r\n");
            return true;
        }
        scripted_upstream::write(to, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\n\r\nuntil the end");
        return false;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    const auto head = client.exchange("HEAD", "/again/h");
    REQUIRE(head.result_int() == 200);
    REQUIRE(head["Content-Length"] == "42");
    const auto whole = client.exchange("GET", "/again/e");
    REQUIRE(whole.result_int() == 200);
    REQUIRE(whole.body() == "until the end");
}

TEST_CASE("relay: an answer that breaks off never looks whole", "[relay]")
{
    const std::size_t length = GENERATE(100U, 200000U);
    scripted_upstream upstream([length](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to,
                                 "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id")
                                     + "\r\nServer-Stamp: mark\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(length - 10, 'x'));
        return false;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    const auto answer = client.exchange("GET", "/once/b");
    REQUIRE(answer.result_int() != 200);
}

TEST_CASE("relay: bytes beyond an answer end the connection and reach nobody", "[relay]")
{
    scripted_upstream upstream([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, scripted_upstream::answer(request, "mine") + "HTTP/1.1 200 OK\r\nServer-Stamp: mark\r\nContent-Length: 5\r\n\r\nwrong");
        return true;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    for (int i = 0; i < 3; ++i) {
        const auto answer = client.exchange("GET", "/once/" + std::to_string(i));
        REQUIRE(answer.result_int() == 200);
        REQUIRE(answer.body() == "mine");
    }
    REQUIRE(upstream.connections() == 3);
}

TEST_CASE("relay: a late answer to an earlier request is passed over, by its id", "[relay]")
{
    scripted_upstream upstream([](const received_request &request, scripted_upstream::socket &to) {
        const std::string late = "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Stamp: mark\r\nContent-Length: 5\r\n\r\nother";
        scripted_upstream::write(to, late + scripted_upstream::answer(request, "mine"));
        return true;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    const auto answer = client.exchange("POST", "/once/l", "", "x");
    REQUIRE(answer.result_int() == 200);
    REQUIRE(answer.body() == "mine");
    REQUIRE(upstream.requests() == 1);
}

TEST_CASE("relay: a success without the upstream's mark is not passed on", "[relay]")
{
    scripted_upstream upstream([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nContent-Length: 2\r\n\r\nno");
        return true;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    REQUIRE(client.exchange("GET", "/once/m").result_int() == 502);
}

// A faulty upstream sends bytes that are no response without end. The attempt must end as soon as that is known: neither memory nor
// time up to the deadline may be spent on them, and a request that may be repeated goes to another upstream.
TEST_CASE("relay: bytes without end that are no response end the attempt at once", "[relay][endless]")
{
    const auto form = GENERATE(from_range(brokenForms()));
    CAPTURE(form.name);
    requireServedByAnother(form, milliseconds(0));
}

TEST_CASE("relay: a head after which no response can follow ends the attempt at once, however slowly the rest comes", "[relay][endless]")
{
    const auto form = GENERATE(filter([](const endless_form &each) { return each.isKnownFromHead; }, from_range(brokenForms())));
    CAPTURE(form.name);
    requireServedByAnother(form, milliseconds(20));
}

// The upstream's response cannot be told from a proper one before the deadline. It may be relayed until then and must not look
// complete. A peer whose bytes are always there never makes a read wait, and the timer of a stream does not fire between reads.
TEST_CASE("relay: a response without end is cut off at the deadline and does not look complete", "[relay][endless]")
{
    const auto form = GENERATE(from_range(endlessBodies()));
    CAPTURE(form.name);
    const milliseconds pause {GENERATE(0, 20)};
    CAPTURE(pause.count());
    scripted_upstream endless([&](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::writeEndlessly(to, form.head(request.field("Request-Id")), form.piece, pause);
        return false;
    });
    relay_fixture fixture({&endless});
    caller client(fixture);
    const auto startedAt = std::chrono::steady_clock::now();
    client.send("GET /short/e HTTP/1.1\r\nHost: x\r\nRequest-Id: e\r\nDeadline-Ms: 2500\r\nConnection: close\r\n\r\n");
    const auto end = client.readToEnd();
    REQUIRE(std::chrono::steady_clock::now() - startedAt < milliseconds(800));
    REQUIRE_FALSE(end.ends_with("0\r\n\r\n"));
}

// When a read ends within the first two bytes of a field, the parser has consumed all fields before it, and does not count them.
TEST_CASE("relay: the header limit holds however the header fields arrive", "[relay][endless]")
{
    std::string fields;
    for (int i = 0; i < 30; ++i) {
        fields += "-Field: value\r\nX";
    }
    requireServedByAnother({.name = "split", .head = fixed("HTTP/1.1 200 OK\r\nX"), .piece = fields}, milliseconds(1));
}

// The relay waits for the caller to read, and the connection to the upstream stays open.
TEST_CASE("relay: a caller that does not read holds an upstream no longer than its deadline", "[relay][endless]")
{
    std::promise<milliseconds> held;
    scripted_upstream endless([&](const received_request &request, scripted_upstream::socket &to) {
        const auto startedAt = std::chrono::steady_clock::now();
        scripted_upstream::writeEndlessly(to, endlessBodies().front().head(request.field("Request-Id")), "x");
        held.set_value(std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startedAt));
        return false;
    });
    relay_fixture fixture({&endless});
    caller client(fixture);
    client.send("GET /short/e HTTP/1.1\r\nHost: x\r\nRequest-Id: e\r\nDeadline-Ms: 2500\r\n\r\n");
    auto result = held.get_future();
    const bool isReleased = result.wait_for(milliseconds(800)) == std::future_status::ready;
    client.close();
    REQUIRE(isReleased);
    REQUIRE(result.get() >= milliseconds(200));
}

TEST_CASE("relay: what an upstream did not run goes to the next, also when it may run once", "[relay]")
{
    scripted_upstream full([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    });
    scripted_upstream other(echo);
    relay_fixture fixture({&full, &other});
    caller client(fixture);
    for (int i = 0; i < 6; ++i) {
        REQUIRE(client.exchange("POST", "/once/" + std::to_string(i), "", "x").result_int() == 200);
    }
    REQUIRE(full.requests() > 0);
    REQUIRE(other.requests() == 6);
}

// A faulty upstream writes an earlier refusal once more on a kept connection. Taken for the response to the current request, which
// runs, it would make the relay send that request to another upstream, or promise its caller that it has not run.
TEST_CASE("relay: a refusal that is written once more is not taken for the response to another request", "[relay][repeated]")
{
    const auto [status, repeatsId, pause] = GENERATE(table<std::string, bool, int>({
        {"503 Busy", true, 0},
        {"429 Busy", true, 0},
        {"421 Misdirected", true, 0},
        {"503 Busy", true, 50},
        {"503 Busy", false, 0},
        {"421 Misdirected", false, 0},
        {"400 No id", false, 0},
    }));
    CAPTURE(status, repeatsId, pause);
    const auto refusal = [](const std::string &statusLine, const std::string &id) {
        return "HTTP/1.1 " + statusLine + "\r\n" + (id.empty() ? std::string() : "Request-Id: " + id + "\r\n")
            + "Not-Executed: full\r\nContent-Length: 0\r\n\r\n";
    };
    std::atomic<int> ran {0};
    scripted_upstream upstream([&, status = status, repeatsId = repeatsId, pause = pause](const received_request &request, scripted_upstream::socket &to) {
        const auto id = request.field("Request-Id");
        if (id == "once/refused") {
            // An upstream that has answered 421 gets no requests for a while, and would not show the copy.
            scripted_upstream::write(to, refusal("503 Busy", id));
            return true;
        }
        ++ran;
        scripted_upstream::write(to, refusal(status, repeatsId ? "once/refused" : ""));
        std::this_thread::sleep_for(milliseconds(pause));
        return echo(request, to);
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    REQUIRE(client.exchange("POST", "/once/refused", "", "x").result_int() == 503);
    REQUIRE(client.exchange("POST", "/once/ran", "", "x").result_int() == (repeatsId ? 200 : 502));
    REQUIRE(ran == 1);
    // After a broken connection the relay probes the address.
    REQUIRE((upstream.connections() == 1 || !repeatsId));
}

// The caller's requests have the same id or none, so the id does not tell the copy from the response.
TEST_CASE("relay: a refusal that is written once more is not taken for the response to a request with the same id", "[relay][repeated]")
{
    const auto id = GENERATE(as<std::string> {}, "Request-Id: same\r\n", "");
    CAPTURE(id);
    const std::string refusal = "HTTP/1.1 503 Busy\r\n" + id + "Not-Executed: full\r\nContent-Length: 0\r\n\r\n";
    std::atomic<int> ran {0};
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        if (request.line().find("/once/refused") != std::string::npos) {
            scripted_upstream::write(to, refusal);
            return true;
        }
        ++ran;
        const std::string copy = upstream.connections() == 1 ? refusal : std::string();
        scripted_upstream::write(to, copy + "HTTP/1.1 200 OK\r\n" + id + "Server-Stamp: mark\r\nContent-Length: 4\r\n\r\nmine");
        return true;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    client.send("POST /once/refused HTTP/1.1\r\nHost: x\r\n" + id + "Content-Length: 1\r\n\r\nx");
    REQUIRE(client.read().result_int() == 503);
    client.send("POST /once/ran HTTP/1.1\r\nHost: x\r\n" + id + "Content-Length: 1\r\n\r\nx");
    const auto answer = client.read();
    REQUIRE(ran == 1);
    REQUIRE(answer.result_int() == 200);
    REQUIRE(answer.body() == "mine");
}

// The copy arrives while the body is still being sent. The rest of the body must follow, or upstream and relay wait for each other.
TEST_CASE("relay: a late or interim response in the middle of a long body does not stop the body", "[relay][repeated]")
{
    const auto early = GENERATE(as<std::string> {}, "HTTP/1.1 503 Busy\r\nRequest-Id: earlier\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 100 Continue\r\n\r\n");
    CAPTURE(early);
    constexpr std::size_t bodyBytes = 3000000;
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::thread server([&] {
        tcp::socket socket(context);
        acceptor.accept(socket);
        std::string received;
        std::array<char, 65536> piece {};
        boost::system::error_code error;
        while (!error && received.size() < bodyBytes) {
            const auto count = socket.read_some(asio::buffer(piece), error);
            if (received.empty()) {
                scripted_upstream::write(socket, early);
            }
            received.append(piece.data(), count);
        }
        scripted_upstream::write(socket, "HTTP/1.1 200 OK\r\nRequest-Id: e\r\nServer-Stamp: mark\r\nContent-Length: 4\r\n\r\nmine");
        while (!error) {
            socket.read_some(asio::buffer(piece), error);
        }
    });
    relay_fixture fixture;
    const std::vector<known_upstream> known {{.report = {.service = service_name("s"),
                                                         .instance = instance_name("e"),
                                                         .address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                                                         .domain = domain_name("home-a"),
                                                         .incarnation = 1,
                                                         .slots = 8}}};
    fixture.steering.setUpstreams(known);
    caller client(fixture);
    client.send("POST /once/e HTTP/1.1\r\nHost: x\r\nRequest-Id: e\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(100000, 'x'));
    std::this_thread::sleep_for(milliseconds(50));
    client.send(std::string(bodyBytes - 100000, 'y'));
    const auto answer = client.read();
    client.close();
    fixture.server->stop();
    server.join();
    REQUIRE(answer.result_int() == 200);
    REQUIRE(answer.body() == "mine");
}

// A response that is too long to be held is passed on as it comes, and its connection is reused afterwards.
TEST_CASE("relay: a second copy of a long response reaches nobody, whenever it comes", "[relay][repeated][download]")
{
    const bool beforeNextRequest = GENERATE(true, false);
    CAPTURE(beforeNextRequest);
    constexpr std::size_t longBytes = 200000;
    std::mutex lock;
    std::string previous;
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        const auto response = scripted_upstream::answer(request, request.line() + std::string(longBytes, 'x'));
        std::string copy;
        {
            const std::lock_guard guard(lock);
            copy = std::exchange(previous, response);
        }
        if (beforeNextRequest) {
            scripted_upstream::write(to, response + response);
        } else {
            scripted_upstream::write(to, copy + response);
        }
        return true;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    for (int i = 0; i < 6; ++i) {
        CAPTURE(i);
        const auto target = "/again/" + std::to_string(i);
        const auto response = client.exchange("GET", target);
        // A long response to another request ends the attempt, and there is no second upstream here.
        const bool isGivenUp = !beforeNextRequest && response.result_int() == 502;
        REQUIRE((response.result_int() == 200 || isGivenUp));
        REQUIRE((isGivenUp || response.body() == "GET " + target + " HTTP/1.1" + std::string(longBytes, 'x')));
    }
}

TEST_CASE("relay: when nobody ran it the refusal says so and when to come back", "[relay]")
{
    scripted_upstream full([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    });
    relay_fixture fixture({&full});
    caller client(fixture);
    const auto answer = client.exchange("POST", "/once/1", "", "x");
    REQUIRE(answer.result_int() == 503);
    REQUIRE(std::stod(std::string(answer["Retry-After"])) > 0);
}

TEST_CASE("relay: after a broken connection only what may run twice is sent again", "[relay]")
{
    std::atomic<int> seen {0};
    scripted_upstream broken([&](const received_request &, scripted_upstream::socket &) {
        ++seen;
        return false;
    });
    scripted_upstream good(echo);
    relay_fixture fixture({&broken, &good});
    caller client(fixture);
    int failed = 0;
    for (int i = 0; i < 6; ++i) {
        const auto answer = client.exchange("POST", "/once/" + std::to_string(i), "", "x");
        failed += answer.result_int() == 502 ? 1 : 0;
        REQUIRE((answer.result_int() == 502 || answer.result_int() == 200));
    }
    REQUIRE(failed == seen);
    REQUIRE(failed > 0);
    REQUIRE(good.requests() + broken.requests() == 6);
    for (int i = 0; i < 6; ++i) {
        REQUIRE(client.exchange("GET", "/again/" + std::to_string(i)).result_int() == 200);
    }
}

TEST_CASE("relay: a caller that leaves frees the upstream at once; what runs once runs on", "[relay]")
{
    std::atomic<bool> closed {false};
    std::atomic<bool> done {false};
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        const bool left = scripted_upstream::awaitClose(to, milliseconds(700));
        closed = left;
        done = true;
        scripted_upstream::write(to, scripted_upstream::answer(request, "late"));
        return true;
    });
    relay_fixture fixture({&upstream});
    const bool again = GENERATE(true, false);
    {
        caller client(fixture);
        client.send(std::string(again ? "GET /again/g" : "POST /once/g") + " HTTP/1.1\r\nHost: x\r\nRequest-Id: g\r\n\r\n");
        REQUIRE(eventually([&] { return upstream.requests() == 1; }));
        client.close();
    }
    REQUIRE(eventually([&] { return done.load(); }));
    REQUIRE(closed == again);
}

TEST_CASE("relay: the operator's time ends the wait with an answer that promises nothing", "[relay]")
{
    scripted_upstream upstream([](const received_request &, scripted_upstream::socket &to) {
        scripted_upstream::awaitClose(to, milliseconds(2000));
        return false;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    const auto startedAt = std::chrono::steady_clock::now();
    REQUIRE(client.exchange("POST", "/short/t", "", "x").result_int() == 504);
    const auto elapsed = std::chrono::steady_clock::now() - startedAt;
    REQUIRE(elapsed >= milliseconds(300));
    // The specification allows half a second beyond the operator's timeout.
    REQUIRE(elapsed < milliseconds(800));
    REQUIRE(std::stoi(upstream.last().field("Deadline-Ms")) <= 300);
}

TEST_CASE("relay: an early answer to a long body reaches the caller, and the connection carries nothing else", "[relay]")
{
    scripted_upstream upstream([](const received_request &, scripted_upstream::socket &) { return true; });
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    std::thread server([&] {
        tcp::socket socket(context);
        acceptor.accept(socket);
        std::array<char, 4096> piece {};
        socket.read_some(asio::buffer(piece));
        scripted_upstream::write(socket, "HTTP/1.1 400 No\r\nRequest-Id: e\r\nServer-Stamp: mark\r\nContent-Length: 5\r\n\r\nearly");
        boost::system::error_code error;
        while (!error) {
            socket.read_some(asio::buffer(piece), error);
        }
    });
    relay_fixture fixture;
    const std::vector<known_upstream> known {{.report = {.service = service_name("s"),
                                                         .instance = instance_name("e"),
                                                         .address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                                                         .domain = domain_name("home-a"),
                                                         .incarnation = 1,
                                                         .slots = 8}}};
    fixture.steering.setUpstreams(known);
    caller client(fixture);
    client.send("POST /once/e HTTP/1.1\r\nHost: x\r\nRequest-Id: e\r\nContent-Length: 20000000\r\n\r\n" + std::string(100000, 'x'));
    std::thread rest([&] {
        boost::system::error_code error;
        const std::string piece(65536, 'y');
        for (int i = 0; i < 100 && !error; ++i) {
            asio::write(client.socket(), asio::buffer(piece), error);
        }
    });
    const auto answer = client.read();
    REQUIRE(answer.result_int() == 400);
    REQUIRE(answer.body() == "early");
    REQUIRE_FALSE(answer.keep_alive());
    rest.join();
    client.close();
    server.join();
}

TEST_CASE("relay: a caller that asks whether to send its body is told to", "[relay]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    caller client(fixture);
    client.send("POST /once/x HTTP/1.1\r\nHost: x\r\nRequest-Id: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    const auto interim = client.read();
    REQUIRE(interim.result_int() == 100);
    client.send("body");
    REQUIRE(client.read().result_int() == 200);
    REQUIRE(upstream.last().body == "body");
    REQUIRE(upstream.last().field("Expect").empty());
}

TEST_CASE("relay: input that is no request gets a 4xx and a closed connection; the next caller is served", "[relay]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    const auto bad = GENERATE(as<std::string> {}, "GET /once/ HTTP/1.1\r\n\r\n", "GET /once/ HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "nonsense\r\n\r\n",
                              "POST /once/ HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
                              "POST /once/ HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                              "POST /once/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    CAPTURE(bad);
    caller client(fixture);
    client.send(bad);
    const auto answer = client.read();
    REQUIRE(answer.result_int() >= 400);
    REQUIRE(answer.result_int() < 500);
    REQUIRE(upstream.requests() == 0);
    caller next(fixture);
    REQUIRE(next.exchange("GET", "/once/1").result_int() == 200);
}

// The body of a request with a transfer coding that the parser does not know was taken for the next request on the connection, and run.
TEST_CASE("relay: a request with an unknown transfer coding is refused, and its body runs nothing", "[relay][framing]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    const auto coding
        = GENERATE(as<std::string> {}, "identity", "xchunked", "chunked, identity", "gzip", "gzip, chunked", "", "chunked\r\nTransfer-Encoding: chunked");
    CAPTURE(coding);
    caller client(fixture);
    const std::string inside = "POST /once/inside HTTP/1.1\r\nHost: x\r\nRequest-Id: inside\r\nContent-Length: 0\r\n\r\n";
    client.send("POST /once/outside HTTP/1.1\r\nHost: x\r\nRequest-Id: outside\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + inside);
    REQUIRE(client.read().result_int() == 400);
    REQUIRE(client.read().result_int() == 0);
    REQUIRE(upstream.requests() == 0);
}

// A response whose body cannot be delimited was passed on as a whole one when the upstream closed the connection.
TEST_CASE("relay: a response with an unknown transfer coding is not passed on", "[relay][framing]")
{
    scripted_upstream upstream([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(
            to, "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\nTransfer-Encoding: gzip\r\n\r\ncoded");
        return false;
    });
    relay_fixture fixture({&upstream});
    caller client(fixture);
    REQUIRE(client.exchange("GET", "/once/1").result_int() == 502);
}

// A caller's body that never gets past a chunk header or the trailer fields was kept in memory until the deadline.
TEST_CASE("relay: a chunk header or trailer beyond the header limit gets a 4xx at once", "[relay][endless]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    const auto start = GENERATE(as<std::string> {}, "5;a=", "0\r\nX-Trailer: ");
    CAPTURE(start);
    caller client(fixture);
    const auto startedAt = std::chrono::steady_clock::now();
    client.send("POST /once/c HTTP/1.1\r\nHost: x\r\nRequest-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n" + start + std::string(100000, 'x'));
    REQUIRE(client.read().result_int() == 431);
    REQUIRE(std::chrono::steady_clock::now() - startedAt < milliseconds(1000));
    REQUIRE(upstream.requests() == 0);
}

TEST_CASE("relay: the header limit holds for callers however the header fields arrive", "[relay][endless]")
{
    relay_fixture fixture;
    caller client(fixture);
    std::string fields;
    for (int i = 0; i < 30; ++i) {
        fields += "-Field: value\r\nX";
    }
    const auto startedAt = std::chrono::steady_clock::now();
    scripted_upstream::writeEndlessly(client.socket(), "GET /once/c HTTP/1.1\r\nHost: x\r\nX", fields, milliseconds(1));
    REQUIRE(std::chrono::steady_clock::now() - startedAt < milliseconds(1500));
}

// As with upstreams, the time limits must hold for a caller whose bytes are always there.
TEST_CASE("relay: a caller that sends without end is disconnected in time", "[relay][endless]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    const std::string head = "POST /short/c HTTP/1.1\r\nHost: x\r\nRequest-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "1;a=" + std::string(4000, 'x') + "\r\nx\r\n";
    const auto [start, piece] = GENERATE_COPY(table<std::string, std::string>({
        // Until the deadline, then while the connection lingers.
        {head, chunk},
        // While the connection lingers after a 400.
        {"nonsense\r\n\r\n", "x"},
    }));
    CAPTURE(start);
    caller client(fixture);
    const auto startedAt = std::chrono::steady_clock::now();
    scripted_upstream::writeEndlessly(client.socket(), start, piece);
    REQUIRE(std::chrono::steady_clock::now() - startedAt < milliseconds(1000));
    REQUIRE(upstream.requests() == 0);
}

TEST_CASE("relay: unknown routes are 404; before any routes are known it is 503", "[relay]")
{
    relay_fixture fixture;
    caller client(fixture);
    REQUIRE(client.exchange("GET", "/none/1").result_int() == 404);
    relay_fixture blank({}, false);
    caller early(blank);
    const auto answer = early.exchange("GET", "/once/1");
    REQUIRE(answer.result_int() == 503);
    REQUIRE_FALSE(answer["Retry-After"].empty());
}

TEST_CASE("relay: while it drains every answer ends its connection, and new ones are served", "[relay]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    caller kept(fixture);
    REQUIRE(kept.exchange("GET", "/once/1").keep_alive());
    fixture.server->beginDrain({{.grace = milliseconds(6000)}, fixture.clock.now()});
    const auto last = kept.exchange("GET", "/once/2");
    REQUIRE(last.result_int() == 200);
    REQUIRE_FALSE(last.keep_alive());
    caller late(fixture);
    REQUIRE(late.exchange("GET", "/once/3").result_int() == 200);
}

TEST_CASE("relay: a draining host refuses at once a request that could outlive it", "[relay]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    caller client(fixture);
    // The route's timeout is 3 s, and the host, whose drain began 1.3 s ago, ends in less than 1 s.
    fixture.server->beginDrain({{.grace = milliseconds(2600)}, fixture.clock.now() - milliseconds(1300)});
    const auto refused = client.exchange("POST", "/once/1", "", "x");
    REQUIRE(refused.result_int() == 503);
    REQUIRE_FALSE(refused.keep_alive());
    REQUIRE(upstream.requests() == 0);
    caller next(fixture);
    REQUIRE(next.exchange("POST", "/short/1", "", "x").result_int() == 200);
    REQUIRE(upstream.requests() == 1);
}

// A draining host asked for the whole body of a request that it was going to refuse.
TEST_CASE("relay: a draining host refuses a request that could outlive it before it reads the body", "[relay]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream});
    const std::string expectation = GENERATE("", "Expect: 100-continue\r\n");
    CAPTURE(expectation);
    caller client(fixture);
    fixture.server->beginDrain({{.grace = milliseconds(2600)}, fixture.clock.now() - milliseconds(1300)});
    const auto sentAt = fixture.clock.now();
    client.send("POST /once/x HTTP/1.1\r\nHost: x\r\nRequest-Id: x\r\n" + expectation + "Content-Length: 4\r\n\r\n");
    const auto refused = client.read();
    REQUIRE(refused.result_int() == 503);
    REQUIRE_FALSE(refused["Retry-After"].empty());
    REQUIRE(fixture.clock.now() - sentAt < milliseconds(1500));
    REQUIRE(upstream.requests() == 0);
}

// What a draining host no longer retries may have run, and must not be refused as not run.
TEST_CASE("relay: a request that may have run is never refused as not run, also when its retry comes too late in a drain", "[relay]")
{
    const bool upstreamAnswers = GENERATE(false, true);
    CAPTURE(upstreamAnswers);
    relay_server *server = nullptr;
    system_clock_source clock;
    const auto failLate = [&](const received_request &request, scripted_upstream::socket &to) {
        // The second half of the time to the host's end begins while the first attempt runs.
        server->beginDrain({{.grace = milliseconds(2600)}, clock.now() - milliseconds(1300)});
        if (upstreamAnswers) {
            scripted_upstream::write(
                to, "HTTP/1.1 500 Failed\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\nContent-Length: 0\r\n\r\n");
        }
        return upstreamAnswers;
    };
    scripted_upstream first(failLate);
    scripted_upstream second(failLate);
    relay_fixture fixture({&first, &second});
    server = fixture.server.get();
    caller client(fixture);
    REQUIRE(client.exchange("GET", "/again/1").result_int() == (upstreamAnswers ? 500 : 502));
    REQUIRE(first.requests() + second.requests() == 1);
}

TEST_CASE("relay: once it takes no more, what is carried is answered, and all else is refused as not run", "[relay]")
{
    std::promise<void> reached;
    std::promise<void> released;
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        if (request.line().find("/once/slow") != std::string::npos) {
            reached.set_value();
            released.get_future().wait();
        }
        return echo(request, to);
    });
    relay_fixture fixture({&upstream});
    caller kept(fixture);
    REQUIRE(kept.exchange("GET", "/once/1").result_int() == 200);
    unsigned slow = 0;
    std::thread carried([&] {
        caller client(fixture);
        slow = client.exchange("GET", "/once/slow").result_int();
    });
    reached.get_future().wait();
    fixture.server->beginDrain({{.grace = milliseconds(6000)}, fixture.clock.now()});
    fixture.server->stopAccepting();
    const auto refused = kept.exchange("GET", "/once/2");
    REQUIRE(refused.result_int() == 503);
    REQUIRE_FALSE(refused.keep_alive());
    REQUIRE_FALSE(refused["Retry-After"].empty());
    // The relay closes the listening socket asynchronously, on its own thread.
    REQUIRE(awaitConnectionRefused(fixture));
    released.set_value();
    carried.join();
    REQUIRE(slow == 200);
    REQUIRE(upstream.requests() == 2);
}

TEST_CASE("relay: an isolated host passes requests on to another one, whole, and the upstream's response back", "[relay][peers]")
{
    scripted_upstream upstream(echo);
    relay_fixture connected({&upstream});
    relay_fixture isolated({&upstream});
    isolated.isolate(connected);
    caller client(isolated);
    const auto answer = client.exchange("PUT", "/once/a?b=c", "X-Other: kept\r\nHornbeampick-Attempts: 9\r\n", "the body");
    REQUIRE(answer.result_int() == 200);
    REQUIRE(answer["Server-Stamp"] == "mark");
    REQUIRE(answer.body() == "from PUT /once/a?b=c HTTP/1.1");
    const auto received = upstream.last();
    REQUIRE(received.body == "the body");
    REQUIRE(received.field("X-Other") == "kept");
    REQUIRE(received.field("Expect-Instance") == "i-0");
    REQUIRE(received.head.find("Hornbeampick") == std::string::npos);
    const std::string longBody(300000, 'y');
    REQUIRE(client.exchange("POST", "/once/long", "", longBody).result_int() == 200);
    REQUIRE(upstream.last().body == longBody);
}

TEST_CASE("relay: a request is passed on once only, and refused as not run where no host reaches an upstream", "[relay][peers]")
{
    scripted_upstream upstream(echo);
    relay_fixture first({&upstream});
    relay_fixture second({&upstream});
    first.isolate(second);
    second.isolate(first);
    caller client(first);
    const auto answer = client.exchange("POST", "/once/1", "", "x");
    REQUIRE(answer.result_int() == 503);
    REQUIRE_FALSE(answer["Retry-After"].empty());
    REQUIRE(upstream.requests() == 0);
}

TEST_CASE("relay: what another entry host may have run is not sent again, and promises nothing", "[relay][peers]")
{
    scripted_upstream broken([](const received_request &, scripted_upstream::socket &) { return false; });
    relay_fixture connected({&broken});
    relay_fixture isolated;
    isolated.isolate(connected);
    caller client(isolated);
    REQUIRE(client.exchange("POST", "/once/1", "", "x").result_int() == 502);
    REQUIRE(broken.requests() == 1);
}

TEST_CASE("relay: what another entry host surely did not run is refused as not run", "[relay][peers]")
{
    scripted_upstream full([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    });
    relay_fixture connected({&full});
    relay_fixture isolated;
    isolated.isolate(connected);
    caller client(isolated);
    REQUIRE(client.exchange("POST", "/once/1", "", "x").result_int() == 503);
    // A host without routes, or with older ones, refuses as well.
    relay_fixture blank({&full}, false);
    relay_fixture other;
    other.isolate(blank);
    caller next(other);
    REQUIRE(next.exchange("POST", "/once/1", "", "x").result_int() == 503);
}

TEST_CASE("relay: requests of other entry hosts keep the sender's number of attempts and version of the routes", "[relay][peers]")
{
    scripted_upstream broken([](const received_request &, scripted_upstream::socket &) { return false; });
    scripted_upstream alsoBroken([](const received_request &, scripted_upstream::socket &) { return false; });
    relay_fixture fixture({&broken, &alsoBroken});
    caller peer(fixture.server->peerPort());
    REQUIRE(peer.exchange("GET", "/again/1", "Hornbeampick-Attempts: 1\r\n").result_int() == 502);
    REQUIRE(broken.requests() + alsoBroken.requests() == 1);
    const auto newer = peer.exchange("GET", "/again/2", "Hornbeampick-Routes-Version: 2\r\n");
    REQUIRE(newer.result_int() == 503);
    REQUIRE(newer["Request-Id"] == "again/2");
    REQUIRE_FALSE(newer["Not-Executed"].empty());
    REQUIRE(broken.requests() + alsoBroken.requests() == 1);
}

// The routes may change while a request waits or after an upstream has refused it.
TEST_CASE("relay: a retry keeps to the regions that the routes in force allow", "[relay][home]")
{
    published<route_index> *inForce = nullptr;
    const auto refuseAndRestrict = [&](const received_request &request, scripted_upstream::socket &to) {
        auto table = std::make_shared<routing_table>(inForce->get()->table());
        ++table->version;
        for (auto &each : table->routes) {
            each.allowedRegions = {region_name("away")};
        }
        inForce->set(std::make_shared<const route_index>(table));
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    };
    scripted_upstream first(refuseAndRestrict);
    scripted_upstream second(refuseAndRestrict);
    relay_fixture fixture({&first, &second});
    inForce = &fixture.routes;
    caller client(fixture);
    const auto answer = client.exchange("GET", "/again/1");
    REQUIRE(answer.result_int() == 503);
    REQUIRE(first.requests() + second.requests() == 1);
}

// A route with a shorter prefix matches once a longer one is removed; its regions are those of other requests.
TEST_CASE("relay: a retry keeps the regions of its route when another route matches by then", "[relay][home]")
{
    relay_fixture *relay = nullptr;
    const auto refuseAndRemove = [&](const received_request &request, scripted_upstream::socket &to) {
        auto table = std::make_shared<routing_table>(relay->routes.get()->table());
        ++table->version;
        table->routes.front().name = "other";
        table->routes.front().pathPrefix = "/";
        table->routes.front().allowedRegions = {region_name("away")};
        table->routes.resize(1);
        relay->routes.set(std::make_shared<const route_index>(table));
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    };
    scripted_upstream first(refuseAndRemove);
    scripted_upstream second(refuseAndRemove);
    relay_fixture fixture({&first, &second});
    relay = &fixture;
    auto restricted = std::make_shared<routing_table>(fixture.routes.get()->table());
    for (auto &each : restricted->routes) {
        each.allowedRegions = {region_name("home")};
    }
    fixture.routes.set(std::make_shared<const route_index>(restricted));
    caller client(fixture);
    REQUIRE(client.exchange("GET", "/again/1").result_int() == 503);
    REQUIRE(first.requests() + second.requests() == 2);
}

TEST_CASE("relay: what one entry host may have run goes to no other", "[relay][peers]")
{
    scripted_upstream broken([](const received_request &, scripted_upstream::socket &) { return false; });
    scripted_upstream alsoBroken([](const received_request &, scripted_upstream::socket &) { return false; });
    relay_fixture a({&broken});
    relay_fixture b({&alsoBroken});
    relay_fixture isolated;
    isolated.isolate(a);
    isolated.peers.set({{.address = "127.0.0.1:" + std::to_string(a.server->peerPort()), .region = region_name("home")},
                        {.address = "127.0.0.1:" + std::to_string(b.server->peerPort()), .region = region_name("home")}});
    caller client(isolated);
    REQUIRE(client.exchange("POST", "/once/1", "", "x").result_int() == 502);
    REQUIRE(broken.requests() + alsoBroken.requests() == 1);
}

TEST_CASE("relay: a request of another entry host is not passed on", "[relay][peers]")
{
    scripted_upstream nextHost(echo);
    relay_fixture isolated;
    isolated.reachability.beginProbe();
    isolated.reachability.onProbe(probe_outcome::refused, 3);
    isolated.peers.set({{.address = nextHost.address(), .region = region_name("home")}});
    caller peer(isolated.server->peerPort());
    REQUIRE(peer.exchange("POST", "/once/1", "", "x").result_int() == 503);
    REQUIRE(nextHost.requests() == 0);
    caller own(isolated);
    REQUIRE(own.exchange("POST", "/once/1", "", "x").result_int() == 200);
    REQUIRE(nextHost.requests() == 1);
}

TEST_CASE("relay: without a retry token a request reaches one upstream, however many entry hosts it is passed to", "[relay][peers]")
{
    const auto busy = [](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    };
    scripted_upstream full1(busy);
    scripted_upstream full2(busy);
    scripted_upstream full3(busy);
    relay_fixture a({&full1});
    relay_fixture b({&full2});
    relay_fixture c({&full3});
    relay_fixture isolated;
    isolated.isolate(a);
    isolated.peers.set({{.address = "127.0.0.1:" + std::to_string(a.server->peerPort()), .region = region_name("home")},
                        {.address = "127.0.0.1:" + std::to_string(b.server->peerPort()), .region = region_name("home")},
                        {.address = "127.0.0.1:" + std::to_string(c.server->peerPort()), .region = region_name("home")}});
    for (auto *each : {&a, &b, &c, &isolated}) {
        while (each->retries.take(service_name("s"))) { }
    }
    caller client(isolated);
    const auto status = client.exchange("POST", "/once/1", "", "x").result_int();
    const auto arrivals = full1.requests() + full2.requests() + full3.requests();
    INFO("status " << status << " arrivals " << arrivals);
    REQUIRE(arrivals == 1);
}

// The budget of a service ran out on retries that no upstream received, while some of its upstreams were down.
TEST_CASE("relay: a retry that reaches no upstream gives back its token", "[relay][retries]")
{
    scripted_upstream full([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    });
    scripted_upstream down(echo);
    relay_fixture fixture({&full, &down});
    down.close();
    const service_name service("s");
    while (fixture.retries.take(service)) { }
    fixture.retries.refund(service);
    caller client(fixture);
    REQUIRE(client.exchange("POST", "/once/1", "", "x").result_int() == 503);
    REQUIRE(full.requests() == 1);
    REQUIRE(fixture.retries.take(service));
}

TEST_CASE("relay: the connection of an earlier response is not reused for another entry host", "[relay][peers]")
{
    relay_fixture *self = nullptr;
    std::atomic<bool> isolate {true};
    scripted_upstream first([&](const received_request &request, scripted_upstream::socket &to) {
        if (!isolate) {
            scripted_upstream::write(to, scripted_upstream::answer(request, "first " + request.line() + " expect=" + request.field("Expect-Instance")));
            return true;
        }
        self->reachability.beginProbe();
        self->reachability.onProbe(probe_outcome::refused, 3);
        isolate = false;
        scripted_upstream::write(to,
                                 "HTTP/1.1 500 E\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: m\r\nContent-Length: 200000\r\n\r\n"
                                     + std::string(200000, 'z'));
        return true;
    });
    const auto busy = [](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, notRunResponse(request));
        return true;
    };
    scripted_upstream full(busy);
    relay_fixture peer({&full});
    relay_fixture fixture({&first});
    self = &fixture;
    fixture.peers.set({{.address = "127.0.0.1:" + std::to_string(peer.server->peerPort()), .region = region_name("home")}});
    caller client(fixture);
    const auto one = client.exchange("GET", "/again/1");
    std::this_thread::sleep_for(milliseconds(150));
    const auto two = client.exchange("GET", "/again/2");
    INFO("one " << one.result_int() << " two " << two.result_int() << " body " << two.body().substr(0, 60) << " head " << first.last().head);
    REQUIRE(two.result_int() == 503);
    REQUIRE(first.requests() == 1);
}

TEST_CASE("relay: requests beyond the capacity of the host's link are rejected at once", "[relay][link]")
{
    scripted_upstream upstream(echo);
    relay_fixture fixture({&upstream}, true, 0.05);
    caller client(fixture);
    int rejected = 0;
    for (int i = 0; i < 20; ++i) {
        const auto answer = client.exchange("POST", "/once/" + std::to_string(i), "", "x");
        rejected += answer.result_int() == 503 ? 1 : 0;
        REQUIRE((answer.result_int() == 200 || !answer["Retry-After"].empty()));
    }
    REQUIRE(rejected > 10);
    REQUIRE(upstream.requests() + static_cast<std::size_t>(rejected) == 20);
}

TEST_CASE("relay: a host that loses all its upstreams at once reports none of them as dead", "[relay]")
{
    std::vector<std::unique_ptr<scripted_upstream>> upstreams;
    std::vector<scripted_upstream *> views;
    std::atomic<bool> cut {false};
    for (int i = 0; i < 4; ++i) {
        upstreams.push_back(std::make_unique<scripted_upstream>([&, i](const received_request &request, scripted_upstream::socket &to) {
            if (!cut) {
                return echo(request, to);
            }
            // The cut: every upstream refuses new connections and the open ones end. The one that serves the request ends last, so that no
            // other can be reached any more when the relay notices.
            std::thread([&] {
                for (std::size_t other = 0; other < upstreams.size(); ++other) {
                    if (other != static_cast<std::size_t>(i)) {
                        upstreams[other]->close();
                    }
                }
                upstreams[static_cast<std::size_t>(i)]->close();
            }).join();
            return false;
        }));
        views.push_back(upstreams.back().get());
    }
    relay_fixture fixture(views);
    caller client(fixture);
    for (int i = 0; i < 12; ++i) {
        REQUIRE(client.exchange("GET", "/again/warm" + std::to_string(i)).result_int() == 200);
    }
    cut = true;
    const auto first = client.exchange("GET", "/again/popular").result_int();
    INFO("first " << first << " deaths " << fixture.deaths.count);
    REQUIRE(fixture.deaths.count == 0);
}

TEST_CASE("relay: a request that upstreams die of goes to none after the third", "[relay]")
{
    relay_fixture fixture;
    std::size_t reached = 0;
    for (int round = 0; round < 6; ++round) {
        std::unique_ptr<scripted_upstream> dying;
        dying = std::make_unique<scripted_upstream>([&](const received_request &, scripted_upstream::socket &) {
            std::thread([&] { dying->close(); }).join();
            return false;
        });
        const std::vector<known_upstream> known {{.report = {.service = service_name("s"),
                                                             .instance = instance_name("d" + std::to_string(round)),
                                                             .address = dying->address(),
                                                             .domain = domain_name("home-a"),
                                                             .incarnation = 1,
                                                             .slots = 8}}};
        fixture.steering.setUpstreams(known);
        caller client(fixture);
        const auto answer = client.exchange("POST", "/once/poison", "", "same");
        reached += dying->requests();
        if (round >= 3) {
            REQUIRE(answer.result_int() == 503);
        }
        auto gone = known;
        gone.front().report.state = upstream_state::gone;
        fixture.steering.setUpstreams(gone);
    }
    REQUIRE(reached == 3);
    REQUIRE(fixture.deaths.count == 3);
}

// An instance that leaves says so in every response, and a request that reaches it later than `drain_ms` after one of them has been
// passed on breaks a rule. The control hosts can still report it as ready by then.
TEST_CASE("relay: an upstream that says in any response that it leaves gets no further request", "[relay]")
{
    using script = std::function<std::string(const received_request &)>;
    const auto [name, respond] = GENERATE(table<std::string, script>({
        {"success", [](const received_request &request) { return scripted_upstream::answer(request, "x", "Server-Leaving: 1\r\n"); }},
        {"failure",
         [](const received_request &request) {
             return "HTTP/1.1 500 No\r\nRequest-Id: " + request.field("Request-Id")
                 + "\r\nServer-Stamp: mark\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
         }},
        {"refusal",
         [](const received_request &request) {
             return "HTTP/1.1 503 Busy\r\nRequest-Id: " + request.field("Request-Id")
                 + "\r\nNot-Executed: full\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
         }},
        {"late response to an earlier request",
         [](const received_request &request) {
             return "HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Stamp: mark\r\nServer-Leaving: 1\r\nContent-Length: 5\r\n\r\nother"
                 + scripted_upstream::answer(request, "x");
         }},
        {"late response without a length",
         [](const received_request &) { return std::string("HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Leaving: 1\r\n\r\nother"); }},
        {"truncated response",
         [](const received_request &request) {
             return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id")
                 + "\r\nServer-Stamp: mark\r\nServer-Leaving: 1\r\nContent-Length: 9\r\n\r\nx";
         }},
    }));
    CAPTURE(name);
    const bool closes = name == "late response without a length" || name == "truncated response";
    scripted_upstream leaving([respond = respond, closes](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to, respond(request));
        return !closes;
    });
    scripted_upstream other(echo);
    relay_fixture fixture({&leaving});
    caller(fixture).exchange("GET", "/once/0");
    REQUIRE(leaving.requests() == 1);
    for (int round = 1; round <= 12; ++round) {
        // Control hosts that have not heard of it yet report the same incarnation as ready.
        fixture.steering.setUpstreams(reportsOf({&leaving, &other}, 1, round));
        // Each caller has a connection of its own, so that all threads of the relay take part.
        REQUIRE(caller(fixture).exchange("GET", "/once/" + std::to_string(round)).body().starts_with("from"));
    }
    REQUIRE(leaving.requests() == 1);
    fixture.steering.setUpstreams(reportsOf({&leaving}, 2));
    caller(fixture).exchange("GET", "/once/again");
    REQUIRE(leaving.requests() == 2);
}

// The response can take long. What its header says holds from the header on.
TEST_CASE("relay: an upstream that leaves gets no further request while its response is still being sent", "[relay]")
{
    const std::size_t sentBytes = GENERATE(10U, 100000U);
    std::promise<void> released;
    scripted_upstream leaving([&](const received_request &request, scripted_upstream::socket &to) {
        if (request.line().find("/once/slow") == std::string::npos) {
            return echo(request, to);
        }
        scripted_upstream::write(to,
                                 "HTTP/1.1 200 OK\r\nRequest-Id: " + request.field("Request-Id")
                                     + "\r\nServer-Stamp: mark\r\nServer-Leaving: 1\r\nContent-Length: " + std::to_string(sentBytes + 1) + "\r\n\r\n"
                                     + std::string(sentBytes, 'x'));
        released.get_future().wait();
        scripted_upstream::write(to, "y");
        return true;
    });
    relay_fixture fixture({&leaving});
    auto slow = std::async(std::launch::async, [&] { return caller(fixture).exchange("GET", "/once/slow"); });
    // It is the only upstream.
    const bool refused = eventually([&] { return caller(fixture).exchange("GET", "/once/next").result_int() == 503; });
    released.set_value();
    const auto response = slow.get();
    REQUIRE(refused);
    REQUIRE(response.result_int() == 200);
    REQUIRE(response["Server-Leaving"] == "1");
    REQUIRE(response.body() == std::string(sentBytes, 'x') + "y");
}

// A 421 comes from another instance that has the address now; what it says of itself concerns no other.
TEST_CASE("relay: what another instance at the address says of itself does not concern the upstream", "[relay]")
{
    std::atomic<bool> misdirected {true};
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        if (!misdirected) {
            return echo(request, to);
        }
        scripted_upstream::write(to, "HTTP/1.1 421 No\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    relay_fixture fixture({&upstream});
    REQUIRE(caller(fixture).exchange("GET", "/once/1").result_int() == 503);
    misdirected = false;
    fixture.steering.setUpstreams(reportsOf({&upstream}, 1, 1));
    REQUIRE(caller(fixture).exchange("GET", "/once/2").result_int() == 200);
}

// An instance that turns a request away with 503 and Retry-After wants nothing from this host for so long; more than two requests that
// reach it before then break a rule.
TEST_CASE("relay: an upstream that answers 503 with Retry-After gets no request before then", "[relay]")
{
    const auto [name, head] = GENERATE(table<std::string, std::string>({
        {"refusal", "HTTP/1.1 503 Busy\r\nNot-Executed: full\r\nRetry-After: 60\r\n"},
        {"refusal without the stamp", "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\n"},
        {"failure", "HTTP/1.1 503 Busy\r\nServer-Stamp: mark\r\nRetry-After: 59.5\r\n"},
        {"late response to an earlier request", "HTTP/1.1 503 Busy\r\nRequest-Id: earlier\r\nNot-Executed: full\r\nRetry-After: 60\r\n"},
    }));
    CAPTURE(name);
    const bool isLate = name.starts_with("late");
    scripted_upstream busy([head = head, isLate](const received_request &request, scripted_upstream::socket &to) {
        const auto id = isLate ? std::string() : "Request-Id: " + request.field("Request-Id") + "\r\n";
        scripted_upstream::write(to, head + id + "Content-Length: 0\r\n\r\n" + (isLate ? scripted_upstream::answer(request, "x") : std::string()));
        return true;
    });
    scripted_upstream other(echo);
    relay_fixture fixture({&busy});
    caller(fixture).exchange("GET", "/once/0");
    REQUIRE(busy.requests() == 1);
    for (int round = 1; round <= 12; ++round) {
        fixture.steering.setUpstreams(reportsOf({&busy, &other}, 1, round));
        // Each caller has a connection of its own, so that all threads of the relay take part.
        REQUIRE(caller(fixture).exchange("GET", "/once/" + std::to_string(round)).body().starts_with("from"));
    }
    REQUIRE(busy.requests() == 1);
    fixture.steering.setUpstreams(reportsOf({&busy}, 2));
    caller(fixture).exchange("GET", "/once/again");
    REQUIRE(busy.requests() == 2);
}

TEST_CASE("relay: an upstream gets requests again when the time of its Retry-After has passed", "[relay]")
{
    scripted_upstream busy([](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(
            to, "HTTP/1.1 503 Busy\r\nRequest-Id: " + request.field("Request-Id") + "\r\nNot-Executed: full\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    relay_fixture fixture({&busy});
    const auto startedAt = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] {
        caller(fixture).exchange("GET", "/once/1");
        return busy.requests() == 2;
    }));
    REQUIRE(std::chrono::steady_clock::now() - startedAt >= milliseconds(500));
}

TEST_CASE("relay: while the only upstream wants no requests they are refused at once as not run, and told when to return", "[relay]")
{
    const auto [retryAfter, shortest, longest] = GENERATE(table<std::string, double, double>({
        {"1", 0.5, 1.5},
        // Longer than the callers wait.
        {"3600", 1, 2.5},
        {"1e300", 1, 2.5},
    }));
    CAPTURE(retryAfter);
    scripted_upstream busy([retryAfter = retryAfter](const received_request &request, scripted_upstream::socket &to) {
        scripted_upstream::write(to,
                                 "HTTP/1.1 503 Busy\r\nRequest-Id: " + request.field("Request-Id") + "\r\nNot-Executed: full\r\nRetry-After: " + retryAfter
                                     + "\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    relay_fixture fixture({&busy});
    for (int i = 0; i < 6; ++i) {
        const auto refused = caller(fixture).exchange("POST", "/once/" + std::to_string(i), "", "x");
        REQUIRE(refused.result_int() == 503);
        const auto wait = std::stod(std::string(refused["Retry-After"]));
        REQUIRE(wait >= shortest);
        REQUIRE(wait <= longest);
    }
    REQUIRE(busy.requests() == 1);
}

TEST_CASE("relay: a Retry-After that is no time, or comes with another status, keeps no request from an upstream", "[relay]")
{
    const auto head
        = GENERATE(as<std::string> {}, "503 Busy\r\nRetry-After: Fri, 04 Dec 2026 23:59:59 GMT", "503 Busy\r\nRetry-After: -5", "503 Busy\r\nRetry-After: 0",
                   "503 Busy\r\nRetry-After: nan", "429 Busy\r\nRetry-After: 60", "200 OK\r\nRetry-After: 60", "421 Other\r\nRetry-After: 60");
    CAPTURE(head);
    std::atomic<bool> first {true};
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        if (!first.exchange(false)) {
            return echo(request, to);
        }
        scripted_upstream::write(to,
                                 "HTTP/1.1 " + head + "\r\nRequest-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    relay_fixture fixture({&upstream});
    caller(fixture).exchange("POST", "/once/1", "", "x");
    // A 421 ends the use of the upstream until it reports again.
    fixture.steering.setUpstreams(reportsOf({&upstream}, 1, 1));
    REQUIRE(caller(fixture).exchange("POST", "/once/2", "", "x").result_int() == 200);
}

TEST_CASE("relay: requests in progress at an upstream that wants no more are answered", "[relay]")
{
    std::promise<void> reached;
    std::promise<void> released;
    scripted_upstream upstream([&](const received_request &request, scripted_upstream::socket &to) {
        if (request.line().find("/once/slow") != std::string::npos) {
            reached.set_value();
            released.get_future().wait();
            return echo(request, to);
        }
        scripted_upstream::write(
            to, "HTTP/1.1 503 Busy\r\nRequest-Id: " + request.field("Request-Id") + "\r\nNot-Executed: full\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n");
        return true;
    });
    relay_fixture fixture({&upstream});
    auto slow = std::async(std::launch::async, [&] { return caller(fixture).exchange("GET", "/once/slow").result_int(); });
    reached.get_future().wait();
    const auto refused = caller(fixture).exchange("GET", "/once/1").result_int();
    released.set_value();
    REQUIRE(slow.get() == 200);
    REQUIRE(refused == 503);
}
