#include "upstream_fake.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <condition_variable>
#include <poll.h>
#include <set>
#include <sys/socket.h>

namespace hornbeampick::testing
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

} // namespace

struct upstream_fake::state {
    explicit state(upstream_fake_options given)
        : options(std::move(given))
        , acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , port(acceptor.local_endpoint().port())
    {
    }

    upstream_fake_options options;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::uint16_t port;
    std::atomic<bool> ended {false};
    std::atomic<bool> suspended {false};
    std::mutex lock;
    std::condition_variable wake;
    std::string announced = "active";
    std::set<int> sockets;
    std::map<std::string, int> startsByKey;
    std::vector<std::chrono::steady_clock::time_point> startTimes;
    int requestCount = 0;
    int running = 0;
    int peakConcurrency = 0;
    int abandoned = 0;
    int threads = 0;

    void end()
    {
        ended = true;
        const std::lock_guard guard(lock);
        ::shutdown(acceptor.native_handle(), SHUT_RDWR);
        for (const int socket : sockets) {
            ::shutdown(socket, SHUT_RDWR);
        }
        wake.notify_all();
    }

    // Takes a slot and counts the request. Returns false if all slots are in use.
    bool tryStart(const std::string &key)
    {
        const std::lock_guard guard(lock);
        if (running >= static_cast<int>(options.slots)) {
            return false;
        }
        ++running;
        peakConcurrency = std::max(peakConcurrency, running);
        ++startsByKey[key];
        ++requestCount;
        startTimes.push_back(std::chrono::steady_clock::now());
        return true;
    }

    // Waits for the work time, or until the peer closes the connection, then frees the slot.
    void work(int socket, const std::string &body)
    {
        const bool slow = !options.slowText.empty() && body.find(options.slowText) != std::string::npos;
        pollfd watched {.fd = socket, .events = POLLRDHUP, .revents = 0};
        const int closed = ::poll(&watched, 1, static_cast<int>((slow ? options.slowTime : options.workTime).count()));
        const std::lock_guard guard(lock);
        abandoned += closed > 0 && !ended ? 1 : 0;
        --running;
    }

    void answer(tcp::socket &socket, const http::request<http::string_body> &request)
    {
        const std::string key(request["Idempotency-Key"]);
        http::response<http::string_body> response;
        response.version(11);
        response.keep_alive(request.keep_alive());
        if (!tryStart(key)) {
            response.result(http::status::service_unavailable);
            response.set("Hornbeampick-Outcome", "not-run");
        } else {
            const bool poisoned = !options.poisonText.empty() && request.body().find(options.poisonText) != std::string::npos;
            if (poisoned) {
                end();
            }
            work(socket.native_handle(), request.body());
            response.set("X-Instance", options.instance);
            response.body() = "done " + key + " " + request.body();
        }
        response.prepare_payload();
        beast::error_code error;
        const bool truncated = !options.truncatedAnswerText.empty() && request.body().find(options.truncatedAnswerText) != std::string::npos;
        if (truncated) {
            const std::string truncatedBytes = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
            asio::write(socket, asio::buffer(truncatedBytes), error);
            socket.shutdown(tcp::socket::shutdown_both, error);
            return;
        }
        if (!ended) {
            http::write(socket, response, error);
        }
    }

    void serve(tcp::socket socket)
    {
        {
            const std::lock_guard guard(lock);
            sockets.insert(socket.native_handle());
        }
        beast::flat_buffer buffer;
        beast::error_code error;
        while (!ended && !error) {
            http::request<http::string_body> request;
            http::read(socket, buffer, request, error);
            if (!error) {
                answer(socket, request);
            }
        }
        const std::lock_guard guard(lock);
        sockets.erase(socket.native_handle());
        --threads;
        wake.notify_all();
    }
};

upstream_fake::upstream_fake(upstream_fake_options options)
    : m_state(std::make_shared<state>(std::move(options)))
{
    m_acceptor = std::thread([state = m_state] {
        while (!state->ended) {
            beast::error_code error;
            tcp::socket socket(state->context);
            state->acceptor.accept(socket, error);
            if (error || state->ended) {
                break;
            }
            {
                const std::lock_guard guard(state->lock);
                ++state->threads;
            }
            std::thread([state, socket = std::move(socket)]() mutable { state->serve(std::move(socket)); }).detach();
        }
        beast::error_code ignored;
        state->acceptor.close(ignored);
    });
    m_announcer = std::thread([state = m_state] {
        std::size_t turn = 0;
        while (!state->ended) {
            std::string announced;
            std::string body;
            {
                const std::lock_guard guard(state->lock);
                const auto now = std::chrono::system_clock::now().time_since_epoch();
                body = R"({"service":")" + state->options.service + R"(","address":"127.0.0.1:)" + std::to_string(state->port) + R"(","instance":")"
                    + state->options.instance + R"(","incarnation":1,"failureDomain":")" + state->options.failureDomain + R"(","slots":)"
                    + std::to_string(state->options.slots) + R"(,"connections":360,"state":")" + state->announced + R"(","inFlight":)"
                    + std::to_string(state->running) + R"(,"reportedAtMs":)"
                    + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) + "}";
            }
            if (!state->suspended && !state->options.announceTo.empty()) {
                const auto &hosts = state->options.announceTo;
                const auto answer = sendHttpRequest(hosts[turn % hosts.size()], "POST", "/v1/announce", {{"Content-Type", "application/json"}}, body,
                                                    std::chrono::milliseconds(500));
                turn += answer.status == 200 ? 0 : 1;
            }
            std::unique_lock guard(state->lock);
            state->wake.wait_for(guard, state->options.announceEvery, [&] { return state->ended.load(); });
        }
    });
}

upstream_fake::~upstream_fake()
{
    m_state->end();
    m_acceptor.join();
    m_announcer.join();
    std::unique_lock guard(m_state->lock);
    m_state->wake.wait(guard, [this] { return m_state->threads == 0; });
}

void upstream_fake::crash()
{
    m_state->end();
}

void upstream_fake::drain()
{
    const std::lock_guard guard(m_state->lock);
    m_state->announced = "draining";
}

void upstream_fake::suspendAnnouncements(bool suspended)
{
    m_state->suspended = suspended;
}

std::uint16_t upstream_fake::port() const
{
    return m_state->port;
}

std::string upstream_fake::address() const
{
    return "127.0.0.1:" + std::to_string(m_state->port);
}

bool upstream_fake::hasCrashed() const
{
    return m_state->ended;
}

std::map<std::string, int> upstream_fake::executions() const
{
    const std::lock_guard guard(m_state->lock);
    return m_state->startsByKey;
}

int upstream_fake::requestCount() const
{
    const std::lock_guard guard(m_state->lock);
    return m_state->requestCount;
}

int upstream_fake::abandoned() const
{
    const std::lock_guard guard(m_state->lock);
    return m_state->abandoned;
}

std::vector<std::chrono::steady_clock::time_point> upstream_fake::startTimes() const
{
    const std::lock_guard guard(m_state->lock);
    return m_state->startTimes;
}

int upstream_fake::peakConcurrency() const
{
    const std::lock_guard guard(m_state->lock);
    return m_state->peakConcurrency;
}

http_result sendHttpRequest(const std::string &address, const std::string &method, const std::string &target, const std::map<std::string, std::string> &headers,
                            const std::string &body, std::chrono::milliseconds timeout)
{
    http_result answer;
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    request.set(http::field::host, address);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();
    request.keep_alive(false);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(64U << 20U);
    bool complete = false;
    stream.expires_after(timeout);
    stream.async_connect(endpointOf(address), [&](beast::error_code connectError) {
        if (connectError) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            if (writeError) {
                return;
            }
            http::async_read(stream, buffer, parser, [&](beast::error_code readError, std::size_t) { complete = !readError; });
        });
    });
    context.run();
    if (!complete) {
        return answer;
    }
    answer.status = static_cast<int>(parser.get().result_int());
    for (const auto &field : parser.get()) {
        answer.headers[std::string(field.name_string())] = std::string(field.value());
    }
    answer.body = parser.get().body();
    return answer;
}

} // namespace hornbeampick::testing
