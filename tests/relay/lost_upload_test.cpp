// Tests what becomes of responses to long requests whose connection is lost while the request is still being written, over real sockets:
// responses of upstreams and of other entry hosts. The write that fails takes the error of the connection, so that reads find a regular end.

#include "fakes/cut_heads.h"
#include "fakes/relay_path.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <utility>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

// Bytes of the body that a caller sends before it pauses; more than a relay buffers.
constexpr std::size_t bytesBeforePause = 150000;
// Bytes of them that are surely written to the upstream before the pause. The relay reads the body in parts and awaits the rest of the last one.
constexpr std::size_t bytesBeforeResponse = 100000;
// Exceeds what fits into the socket buffers of all connections on the way.
constexpr std::size_t uploadBytes = 4 * scripted_upstream::maxUnreadBytes;

// What the relay does when the connection is lost.
enum class upload_moment {
    // A write of the body waits until the upstream reads on.
    writeWaits,
    // The next part of the body is awaited from the caller.
    partAwaited,
    // The last part of a body in chunks is awaited from the caller.
    lastPartAwaited,
};

std::string textOf(upload_moment moment)
{
    switch (moment) {
    case upload_moment::writeWaits:
        return "write waits";
    case upload_moment::partAwaited:
        return "part awaited";
    case upload_moment::lastPartAwaited:
        return "last part awaited";
    }
    return {};
}

// Waits until no more bytes arrive, since the buffers of both sockets are full; for 10 s at most.
void awaitFullBuffers(scripted_upstream::socket &from)
{
    constexpr milliseconds pollInterval {100};
    constexpr int maxPolls = 100;
    error_code ignored;
    std::size_t before = 0;
    std::size_t now = from.available(ignored);
    for (int i = 0; i < maxPolls && (now == 0 || now != before); ++i) {
        std::this_thread::sleep_for(pollInterval);
        before = std::exchange(now, from.available(ignored));
    }
}

// Reads what the caller sends before it pauses, and waits until the relay awaits more from the caller.
void awaitPause(scripted_upstream::socket &from, std::size_t bytesRead)
{
    constexpr milliseconds settleTime {50};
    std::array<char, 65536> piece {};
    error_code error;
    while (!error && bytesRead < bytesBeforeResponse) {
        bytesRead += from.read_some(asio::buffer(piece), error);
    }
    std::this_thread::sleep_for(settleTime);
}

// An upstream that answers a long request before it has read the body, ends its response as told, and then resets the connection.
class early_upstream
{
public:
    // `head` is the status line and fields of the response, but for the request's id and the stamp.
    early_upstream(std::string head, std::string body, upload_moment moment, connection_end end)
        : m_head(std::move(head))
        , m_body(std::move(body))
        , m_moment(moment)
        , m_end(end)
    {
    }

    scripted_upstream &server()
    {
        return m_server;
    }
    // Waits until the connection has been reset.
    void awaitReset()
    {
        REQUIRE(m_wasReset.get_future().wait_for(seconds(10)) == std::future_status::ready);
    }

private:
    bool answer(const received_request &request, scripted_upstream::socket &to)
    {
        if (m_moment == upload_moment::writeWaits) {
            awaitFullBuffers(to);
        } else {
            awaitPause(to, request.body.size());
        }
        const auto response = m_head + "Request-Id: " + request.field("Request-Id") + "\r\nServer-Stamp: mark\r\n\r\n" + m_body;
        writeAndEnd(to, response, m_end);
        if (m_end == connection_end::closed) {
            writeAndEnd(to, {}, connection_end::reset);
        }
        m_wasReset.set_value();
        return false;
    }

    std::string m_head;
    std::string m_body;
    upload_moment m_moment;
    connection_end m_end;
    std::promise<void> m_wasReset;
    scripted_upstream m_server {[this](const received_request &request, scripted_upstream::socket &to) { return answer(request, to); }, request_part::head};
};

std::string uploadHead(const std::string &framing)
{
    return "POST /once/upload HTTP/1.1\r\nHost: x\r\nRequest-Id: upload\r\nDeadline-Ms: 2500\r\n" + framing + "\r\n\r\n";
}

// Sends `rest` and reads the answer meanwhile; its status is 0 when that does not look complete.
caller::response readWhileSending(caller &client, const std::string &rest)
{
    std::thread sender([&] {
        error_code ignored;
        asio::write(client.socket(), asio::buffer(rest), ignored);
    });
    auto answer = client.read();
    error_code ignored;
    client.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    sender.join();
    return answer;
}

// Sends a long request whose connection is lost at `moment`, and returns the answer.
caller::response exchangeUpload(relay_path &path, early_upstream &upstream, upload_moment moment)
{
    caller client(path.entry());
    const std::string payload(uploadBytes, 'x');
    if (moment == upload_moment::writeWaits) {
        client.send(uploadHead("Content-Length: " + std::to_string(uploadBytes)));
        return readWhileSending(client, payload);
    }
    const auto beforePause = payload.substr(0, bytesBeforePause);
    const bool isChunked = moment == upload_moment::lastPartAwaited;
    client.send(isChunked ? uploadHead("Transfer-Encoding: chunked") + chunkOf(beforePause)
                          : uploadHead("Content-Length: " + std::to_string(uploadBytes)) + beforePause);
    upstream.awaitReset();
    return readWhileSending(client, isChunked ? "0\r\n\r\n" : payload.substr(bytesBeforePause));
}

} // namespace

// The part of the body that had come was passed on as a complete answer.
TEST_CASE("relay: a response without a length that is reset during an upload does not look complete", "[relay][peers][truncated]")
{
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto moment = GENERATE(upload_moment::writeWaits, upload_moment::partAwaited, upload_moment::lastPartAwaited);
    const auto head = GENERATE(as<std::string> {}, "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.0 200 OK\r\n",
                               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n");
    const auto partBytes = GENERATE(std::size_t {0}, std::size_t {100}, std::size_t {100000});
    CAPTURE(textOf(sender), textOf(moment), head, partBytes);
    early_upstream upstream(head, std::string(partBytes, 'p'), moment, connection_end::reset);
    relay_path path(sender, {&upstream.server()});
    const auto answer = exchangeUpload(path, upstream, moment);
    CHECK((answer.result_int() == 0 || answer.result_int() == 502));
    CHECK(upstream.server().requests() == 1);
}

// A response that has ended regularly is complete, although its upstream resets the connection because it does not read the body.
TEST_CASE("relay: a response without a length that ends before a reset during an upload is passed on", "[relay][peers][truncated]")
{
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto moment = GENERATE(upload_moment::writeWaits, upload_moment::partAwaited, upload_moment::lastPartAwaited);
    const auto bodyBytes = GENERATE(std::size_t {0}, std::size_t {100}, std::size_t {100000});
    CAPTURE(textOf(sender), textOf(moment), bodyBytes);
    early_upstream upstream("HTTP/1.1 200 OK\r\n", std::string(bodyBytes, 'p'), moment, connection_end::closed);
    relay_path path(sender, {&upstream.server()});
    const auto answer = exchangeUpload(path, upstream, moment);
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == std::string(bodyBytes, 'p'));
}

// What shows its own end needs no regular end of the connection.
TEST_CASE("relay: a whole response with a length or in chunks is passed on although its connection is reset during an upload", "[relay][peers][truncated]")
{
    const auto sender = GENERATE(response_sender::upstream, response_sender::upstreamBehindPeer, response_sender::peer);
    const auto moment = GENERATE(upload_moment::writeWaits, upload_moment::partAwaited, upload_moment::lastPartAwaited);
    const bool isChunked = GENERATE(false, true);
    CAPTURE(textOf(sender), textOf(moment), isChunked);
    const std::string body = "whole";
    early_upstream upstream(isChunked ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" : "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n",
                            isChunked ? chunkOf(body) + "0\r\n\r\n" : body, moment, connection_end::reset);
    relay_path path(sender, {&upstream.server()});
    const auto answer = exchangeUpload(path, upstream, moment);
    CHECK(answer.result_int() == 200);
    CHECK(answer.body() == body);
}
