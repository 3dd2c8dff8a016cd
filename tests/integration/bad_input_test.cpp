#include "fakes/process_fleet.h"
#include "fakes/upstream_fake.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hornbeampick::testing;

namespace
{

// Sends raw bytes and returns everything received until the host closes the connection.
std::string rawCall(const std::string &address, const std::string &bytes)
{
    namespace asio = boost::asio;
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    const auto colon = address.rfind(':');
    socket.connect({asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(bytes), error);
    std::string answer;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    return answer;
}

} // namespace

TEST_CASE("bad input: smuggling, bad chunks, oversized and slow requests get a 4xx and a closed connection", "[integration]")
{
    process_fleet_options options;
    options.extraSettings = "limits: {headerBytes: 2048, bodyBytes: 4096, headerMs: 500, idleMs: 1000}\n";
    process_fleet fleet(options);
    fleet.awaitReady();
    struct bad_request {
        std::string bytes;
        std::string status;
    };
    const std::vector<bad_request> cases {
        {"POST /svc/lookup/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
        {"POST /svc/lookup/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
        {"POST /svc/lookup/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", "400"},
        {"GET /svc/lookup/x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
        {"NONSENSE\r\n\r\n", "400"},
        {"GET /healthz HTTP/1.1\r\nHost: a\r\nX: " + std::string(4000, 'x') + "\r\n\r\n", "431"},
        {"POST /svc/lookup/x HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n\r\n", "413"},
        {"GET /heal", "408"},
        {"POST /svc/weigh-in/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", "400"},
        {"POST /svc/weigh-in/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nIdempotency-Key: k\r\nHornbeampick-Epoch: nonsense\r\nContent-Length: 1\r\n\r\na",
         "400"},
        {"GET /svc/nothing/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "404"},
        {"GET /nothing HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "404"},
        {"POST /v1/announce HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}", "400"},
        {"GET /v1/entry?service=lookup&client=1.2.3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", "400"},
    };
    for (const auto &each : cases) {
        const auto answer = rawCall(fleet.http(0), each.bytes);
        INFO(each.bytes.substr(0, 200));
        INFO(answer);
        CHECK(answer.starts_with("HTTP/1.1 " + each.status));
        CHECK(answer.find("Hornbeampick-Outcome: not-run") != std::string::npos);
        CHECK(answer.find("\"code\":") != std::string::npos);
    }
    CHECK(sendHttpRequest(fleet.http(0), "GET", "/healthz").status == 200);
    CHECK(sendHttpRequest(fleet.http(0), "GET", "/metrics").body.find("hornbeampick_rule_version") != std::string::npos);
    CHECK(fleet.isRunning(0));
}
