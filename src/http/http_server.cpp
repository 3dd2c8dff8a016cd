#include "http/http_server.h"

#include "core/text.h"
#include "http/intake_meter.h"
#include "http/message_reader.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);
constexpr int listenBacklog = 1024;
// Delay before accepting again after an error.
constexpr milliseconds acceptRetryDelay {50};
// How long input is still read and discarded after the last response.
constexpr milliseconds lingerTimeout {200};
// Delay before an account is asked for again, to let the connections close that were asked to.
constexpr milliseconds accountRetryDelay {10};
// Retry-After in seconds when callers hold all the memory that they may: about the time in which a stalled connection is closed.
constexpr std::string_view intakeRetryAfter = "1.000";
// Responses up to this size are sent even when callers hold all the memory that they may.
constexpr std::size_t smallResponseBytes = 8192;
// Bodies up to this size are read even if the handler does not need them, so that the connection can be kept.
constexpr std::size_t smallBodyBytes = 4096;
constexpr unsigned http11 = 11;

// Shared by the server and its connections, which may outlive it.
struct server_state {
    std::atomic<bool> draining {false};
    std::atomic<std::size_t> connections {0};
    std::atomic<std::size_t> active {0};
};

// Counts a connection or request for the lifetime of the object.
class scoped_count
{
public:
    explicit scoped_count(std::atomic<std::size_t> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~scoped_count()
    {
        --m_count;
    }
    scoped_count(const scoped_count &) = delete;
    scoped_count &operator=(const scoped_count &) = delete;

private:
    std::atomic<std::size_t> &m_count;
};

errc toErrc(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return errc::headerTooLarge;
    }
    if (error == http::error::body_limit) {
        return errc::bodyTooLarge;
    }
    if (error == asio::error::no_buffer_space) {
        return errc::overloaded;
    }
    if (error == beast::error::timeout) {
        return errc::requestTooSlow;
    }
    return errc::malformedRequest;
}

// Serves the requests of one connection in sequence.
class session final : public std::enable_shared_from_this<session>, public intake_connection
{
public:
    session(tcp::socket socket, const http_server_options &options, http_handler &handler, std::shared_ptr<server_state> state)
        : m_stream(std::move(socket))
        , m_buffer(options.headerBytes)
        , m_options(options)
        , m_handler(handler)
        , m_state(std::move(state))
    {
    }

    // Returns false when there is no room for another connection.
    [[nodiscard]] bool openAccount(intake_budget &budget)
    {
        m_meter.setAccount(budget.open(weak_from_this(), std::chrono::steady_clock::now()));
        return m_meter.account() != nullptr;
    }

    void requestClose() override
    {
        asio::post(m_stream.get_executor(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->m_stream.close();
            }
        });
    }

    asio::awaitable<void> run()
    {
        const scoped_count open(m_state->connections);
        error_code error;
        const auto peer = m_stream.socket().remote_endpoint(error);
        m_caller = !error && peer.address().is_v4() ? peer.address().to_v4().to_uint() : 0;
        m_stream.socket().set_option(tcp::no_delay(true), error);
        bool keepOpen = true;
        while (keepOpen && !m_state->draining) {
            keepOpen = co_await serveRequest();
        }
        m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
        co_await linger();
    }

private:
    // Serves one request. Returns true when the connection stays open.
    asio::awaitable<bool> serveRequest()
    {
        using namespace asio::experimental::awaitable_operators;
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_options.headerBytes));
        parser.body_limit(m_options.bodyBytes);

        // The idle timeout applies until the first byte; from then on the stricter limit for a whole request applies.
        bool hasRoom = m_meter.begin(receivedBytes());
        if (m_buffer.size() == 0) {
            m_buffer.shrink_to_fit();
            m_stream.expires_after(m_options.idleTimeout);
            const auto [waited, count] = co_await m_stream.async_read_some(m_buffer.prepare(m_options.headerBytes / 4), noThrow);
            if (waited) {
                co_return false;
            }
            m_buffer.commit(count);
            hasRoom = m_meter.onRead(receivedBytes());
        }
        if (!hasRoom) {
            co_await refuse(asio::error::no_buffer_space);
            co_return false;
        }
        // A separate timer, because the stream's own timeout would close the socket before the error response is sent.
        m_stream.expires_never();
        asio::steady_timer receiveTimer(co_await asio::this_coro::executor, m_options.headerTimeout);
        auto reading = co_await (readRequest(parser, receiveTimer.expiry()) || receiveTimer.async_wait(noThrow));
        if (reading.index() == 1) {
            co_await write(m_handler.makeErrorResponse(errc::requestTooSlow), false);
            co_return false;
        }
        const auto failed = std::get<0>(reading);
        if (failed == http::error::end_of_stream) {
            co_return false;
        }
        if (failed) {
            co_await refuse(failed);
            co_return false;
        }
        const bool keepAlive = parser.get().keep_alive() && parser.is_done();
        m_headOnly = parser.get().method() == http::verb::head;
        const bool needsHost = parser.get().version() >= http11;
        auto request = toHttpRequest(parser.release());
        if ((needsHost && request.header("Host").empty()) || request.hasDuplicate("Host") || request.hasDuplicate("Idempotency-Key")
            || request.hasDuplicate("Hornbeampick-Epoch")) {
            co_await write(m_handler.makeErrorResponse(errc::malformedRequest), false);
            co_return false;
        }
        m_stream.expires_never();
        const scoped_count active(m_state->active);
        if (m_state->draining) {
            // The owner may have looked at the number of active requests for the last time.
            co_await write(m_handler.makeErrorResponse(errc::stopping), false);
            co_return false;
        }
        m_meter.setServing(true);
        auto response = co_await runHandler(std::move(request));
        if (!response) {
            co_return false;
        }
        const bool keepConnection = keepAlive && !m_state->draining;
        if (!m_meter.add(response->body.size()) && response->body.size() > smallResponseBytes) {
            // The request was executed, which a refusal would deny.
            co_return false;
        }
        const bool written = co_await write(std::move(*response), keepConnection);
        co_return written &&keepConnection;
    }

    [[nodiscard]] std::string_view receivedBytes() const
    {
        return {static_cast<const char *>(m_buffer.data().data()), m_buffer.size()};
    }

    // Sends the response to a request that was not read in full.
    asio::awaitable<void> refuse(error_code failed)
    {
        auto response = m_handler.makeErrorResponse(toErrc(failed));
        if (failed == asio::error::no_buffer_space) {
            response.status = static_cast<std::uint32_t>(http::status::service_unavailable);
            response.headers.emplace_back("Retry-After", std::string(intakeRetryAfter));
        }
        co_await write(std::move(response), false);
    }

    // Reads a whole request. Sends "100 Continue" when the caller waits for it before it sends the body.
    asio::awaitable<error_code> readRequest(http::request_parser<http::string_body> &parser, steady_time deadline)
    {
        const auto failed = co_await readMessage(m_stream, m_buffer, parser, message_part::header, deadline, &m_meter);
        if (failed) {
            co_return failed;
        }
        if (!m_meter.mayHave(parser.get())) {
            co_return http::error::header_limit;
        }
        const auto method = parser.get().method_string();
        const auto target = parser.get().target();
        const bool isSmall = !parser.chunked() && parser.content_length().value_or(0) <= smallBodyBytes;
        if (!isSmall && !m_handler.needsBody({method.data(), method.size()}, {target.data(), target.size()})) {
            co_return error_code();
        }
        const bool expectsContinue = beast::iequals(parser.get()[http::field::expect], "100-continue");
        if (expectsContinue && !parser.is_done()) {
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            const auto [writeError, written] = co_await asio::async_write(m_stream, asio::buffer(interim), noThrow);
            if (writeError) {
                co_return writeError;
            }
        }
        co_return co_await readMessage(m_stream, m_buffer, parser, message_part::whole, deadline, &m_meter);
    }

    http_request toHttpRequest(http::request<http::string_body> message) const
    {
        http_request request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message) {
            request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        request.body = std::move(message.body());
        request.callerAddress = m_caller;
        return request;
    }

    // Runs the handler. Returns empty when the caller disconnected and the request was abandoned.
    asio::awaitable<std::optional<http_response>> runHandler(http_request request)
    {
        if (!m_handler.mayAbandon(request)) {
            co_return co_await m_handler.handle(std::move(request));
        }
        using namespace asio::experimental::awaitable_operators;
        auto outcome = co_await (m_handler.handle(std::move(request)) || awaitDisconnect());
        if (auto *response = std::get_if<http_response>(&outcome)) {
            co_return std::move(*response);
        }
        co_return std::nullopt;
    }

    // Completes when the caller has closed its side of the connection; never completes once the caller has sent a pipelined request.
    asio::awaitable<void> awaitDisconnect()
    {
        error_code error;
        m_stream.socket().non_blocking(true, error);
        while (true) {
            const auto [failed] = co_await m_stream.socket().async_wait(tcp::socket::wait_read, noThrow);
            if (failed) {
                co_return;
            }
            char byte = 0;
            const auto count = m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
            if (error == asio::error::would_block) {
                // A spurious wake-up for bytes that were read before. A blocking peek would stall the whole strand here.
                continue;
            }
            if (error || count == 0) {
                co_return;
            }
            asio::steady_timer never(co_await asio::this_coro::executor, steady_time::max());
            co_await never.async_wait(noThrow);
        }
    }

    asio::awaitable<bool> write(http_response response, bool keepAlive)
    {
        m_meter.setServing(false);
        http::response<http::string_body> message;
        message.version(11);
        message.result(response.status);
        for (const auto &[name, value] : response.headers) {
            message.insert(name, value);
        }
        if (message.find(http::field::content_type) == message.end() && !response.contentType.empty()) {
            message.set(http::field::content_type, response.contentType);
        }
        message.body() = std::move(response.body);
        message.keep_alive(keepAlive);
        message.prepare_payload();
        m_stream.expires_after(m_options.idleTimeout);
        if (m_headOnly) {
            http::response_serializer<http::string_body> serializer(message);
            const auto [failed, bytes] = co_await http::async_write_header(m_stream, serializer, noThrow);
            co_return !failed;
        }
        const auto [failed, bytes] = co_await http::async_write(m_stream, message, noThrow);
        co_return !failed;
    }

    // Lingering close: reads and discards input, because closing a socket with unread input resets the connection and may discard
    // the response.
    asio::awaitable<void> linger()
    {
        const auto end = std::chrono::steady_clock::now() + lingerTimeout;
        m_stream.expires_at(end);
        bool more = true;
        while (more && std::chrono::steady_clock::now() < end) {
            m_buffer.consume(m_buffer.size());
            const auto [failed, count] = co_await m_stream.async_read_some(m_buffer.prepare(m_options.headerBytes / 4), noThrow);
            more = !failed && count > 0;
        }
    }

    beast::tcp_stream m_stream;
    // Its limit also applies to chunk headers and trailer fields, which the parser itself does not limit.
    beast::flat_buffer m_buffer;
    http_server_options m_options;
    http_handler &m_handler;
    std::shared_ptr<server_state> m_state;
    intake_meter m_meter;
    std::uint32_t m_caller = 0;
    bool m_headOnly = false;
};

asio::awaitable<void> runSession(std::shared_ptr<session> connection)
{
    co_await connection->run();
}

class beast_http_server final : public http_server
{
public:
    beast_http_server(const http_server_options &options, asio::io_context &context, http_handler &handler)
        : m_options(options)
        , m_context(context)
        , m_handler(handler)
        , m_acceptor(std::make_shared<tcp::acceptor>(asio::make_strand(context)))
    {
    }

    ~beast_http_server() override
    {
        drain();
    }

    bool listen()
    {
        error_code error;
        const auto address = asio::ip::make_address(m_options.address, error);
        const tcp::endpoint endpoint(address, m_options.port);
        if (error) {
            return false;
        }
        m_acceptor->open(endpoint.protocol(), error);
        if (!error) {
            m_acceptor->set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            m_acceptor->bind(endpoint, error);
        }
        if (!error) {
            m_acceptor->listen(listenBacklog, error);
        }
        if (error) {
            return false;
        }
        m_port = m_acceptor->local_endpoint().port();
        asio::co_spawn(m_acceptor->get_executor(), accept(m_acceptor, m_context, m_options, m_handler, m_state), asio::detached);
        return true;
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return m_port;
    }
    [[nodiscard]] std::size_t openConnections() const override
    {
        return m_state->connections;
    }
    [[nodiscard]] std::size_t activeRequests() const override
    {
        return m_state->active;
    }

    void drain() override
    {
        m_state->draining = true;
        asio::post(m_acceptor->get_executor(), [acceptor = m_acceptor] {
            error_code ignored;
            acceptor->close(ignored);
        });
    }

private:
    static asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, asio::io_context &context, http_server_options options, http_handler &handler,
                                        std::shared_ptr<server_state> state)
    {
        while (acceptor->is_open()) {
            auto [failed, socket] = co_await acceptor->async_accept(asio::make_strand(context), noThrow);
            if (failed) {
                // Most likely out of file descriptors: wait for connections to close.
                asio::steady_timer pause(co_await asio::this_coro::executor, acceptRetryDelay);
                co_await pause.async_wait(noThrow);
                continue;
            }
            if (state->connections >= options.connections) {
                continue;
            }
            const auto executor = socket.get_executor();
            auto connection = std::make_shared<session>(std::move(socket), options, handler, state);
            asio::steady_timer retryTimer(co_await asio::this_coro::executor);
            while (options.intake != nullptr && !connection->openAccount(*options.intake) && acceptor->is_open()) {
                retryTimer.expires_after(accountRetryDelay);
                co_await retryTimer.async_wait(noThrow);
            }
            asio::co_spawn(executor, runSession(std::move(connection)), asio::detached);
        }
    }

    http_server_options m_options;
    asio::io_context &m_context;
    http_handler &m_handler;
    std::shared_ptr<tcp::acceptor> m_acceptor;
    std::shared_ptr<server_state> m_state = std::make_shared<server_state>();
    std::uint16_t m_port = 0;
};

} // namespace

bool http_handler::needsBody(std::string_view, std::string_view) const
{
    return true;
}

std::string_view http_request::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(headers, [&](const auto &header) { return equalIgnoringCase(header.first, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

bool http_request::hasDuplicate(std::string_view name) const
{
    return std::ranges::count_if(headers, [&](const auto &header) { return equalIgnoringCase(header.first, name); }) > 1;
}

result<std::unique_ptr<http_server>> makeHttpServer(const http_server_options &options, asio::io_context &context, http_handler &handler)
{
    auto server = std::make_unique<beast_http_server>(options, context, handler);
    if (!server->listen()) {
        return errc::ioFailed;
    }
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace hornbeampick
