#include "http/upstream_client.h"

#include "core/digest.h"
#include "core/http_status.h"
#include "core/shards.h"
#include "core/text.h"
#include "http/message_reader.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <charconv>
#include <optional>
#include <unistd.h>
#include <unordered_map>
#include <utility>

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
// Headers that are not forwarded: hop-by-hop headers, and those that are set anew for each connection.
constexpr std::array unforwardedHeaders {
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "content-length",
    "host",       "expect",     "proxy-connection"};
// Maximum size of a response header, of a chunk header with its extensions, and of the trailer fields.
constexpr std::uint32_t maxResponseHeaderBytes = 16384;
// Interim responses that are skipped before the connection counts as broken.
constexpr int maxInterimResponses = 16;
constexpr std::string_view outcomeHeader = "Hornbeampick-Outcome";

bool isUnforwardedHeader(std::string_view name)
{
    return std::ranges::find(unforwardedHeaders, toLower(name)) != unforwardedHeaders.end();
}

// Parses "ip:port"; empty when malformed.
std::optional<tcp::endpoint> endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 0;
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string_view digits = std::string_view(address).substr(colon + 1);
    const auto [end, failed] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    error_code error;
    const auto ip = asio::ip::make_address(address.substr(0, colon), error);
    if (failed != std::errc {} || end != digits.data() + digits.size() || error) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

// Owns the descriptor of an idle connection, which is not registered with any executor.
class idle_connection
{
public:
    idle_connection(int descriptor, steady_time since)
        : m_descriptor(descriptor)
        , m_since(since)
    {
    }
    ~idle_connection()
    {
        if (m_descriptor >= 0) {
            ::close(m_descriptor);
        }
    }
    idle_connection(idle_connection &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_since(other.m_since)
    {
    }
    idle_connection &operator=(idle_connection &&other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        m_since = other.m_since;
        return *this;
    }
    idle_connection(const idle_connection &) = delete;
    idle_connection &operator=(const idle_connection &) = delete;

    [[nodiscard]] steady_time since() const
    {
        return m_since;
    }
    int release()
    {
        return std::exchange(m_descriptor, -1);
    }

private:
    int m_descriptor;
    steady_time m_since;
};

using idle_map = std::unordered_map<std::string, std::vector<idle_connection>>;

// Returns true when the upstream has neither closed the connection nor sent unexpected data.
bool isReusable(tcp::socket &socket)
{
    error_code error;
    char byte = 0;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

class beast_upstream_client final : public upstream_client
{
public:
    explicit beast_upstream_client(const upstream_client_options &options)
        : m_options(options)
    {
    }

    asio::awaitable<attempt_result> send(const std::string &address, const proxied_request &request) override
    {
        auto stream = takeIdle(address, co_await asio::this_coro::executor);
        if (!stream) {
            stream = co_await connect(address, request.deadline);
        }
        if (!stream) {
            co_return attempt_result {.end = attempt_status::refused, .status = 0, .headers = {}, .body = {}};
        }
        auto result = co_await exchange(*stream, address, request);
        co_return result;
    }

    asio::awaitable<bool> refusesConnections(const std::string &address) override
    {
        const auto endpoint = endpointOf(address);
        if (!endpoint) {
            co_return true;
        }
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(m_options.connectTimeout);
        const auto [failed] = co_await stream.async_connect(*endpoint, noThrow);
        co_return failed == asio::error::connection_refused;
    }

private:
    using stream_pointer = std::unique_ptr<beast::tcp_stream>;
    using parser_type = http::response_parser<http::string_body>;

    // Returns a pooled connection, or null when there is none. The stream runs on the caller's executor, so that its timers and the
    // request do not race.
    stream_pointer takeIdle(const std::string &address, const asio::any_io_executor &executor)
    {
        while (true) {
            auto idle = m_idle.with(stableHash(address), [&](idle_map &all) -> std::optional<idle_connection> {
                auto &list = all[address];
                if (list.empty()) {
                    return std::nullopt;
                }
                auto last = std::move(list.back());
                list.pop_back();
                return last;
            });
            if (!idle) {
                return nullptr;
            }
            const bool withinIdleTime = std::chrono::steady_clock::now() < idle->since() + m_options.idleTimeout;
            tcp::socket socket(executor);
            error_code error;
            socket.assign(tcp::v4(), idle->release(), error);
            if (withinIdleTime && !error && isReusable(socket)) {
                return std::make_unique<beast::tcp_stream>(std::move(socket));
            }
        }
    }

    // Returns a connection to the pool; closes it when the pool is full.
    void returnIdle(const std::string &address, tcp::socket socket)
    {
        error_code error;
        const int descriptor = socket.release(error);
        if (error) {
            return;
        }
        idle_connection kept(descriptor, std::chrono::steady_clock::now());
        m_idle.with(stableHash(address), [&](idle_map &all) {
            auto &list = all[address];
            if (list.size() < m_options.maxIdlePerUpstream) {
                list.push_back(std::move(kept));
            }
        });
    }

    asio::awaitable<stream_pointer> connect(const std::string &address, steady_time deadline)
    {
        const auto endpoint = endpointOf(address);
        if (!endpoint) {
            co_return nullptr;
        }
        auto stream = std::make_unique<beast::tcp_stream>(co_await asio::this_coro::executor);
        stream->expires_at(std::min(deadline, std::chrono::steady_clock::now() + m_options.connectTimeout));
        const auto [failed] = co_await stream->async_connect(*endpoint, noThrow);
        if (failed) {
            co_return nullptr;
        }
        error_code ignored;
        stream->socket().set_option(tcp::no_delay(true), ignored);
        co_return stream;
    }

    asio::awaitable<attempt_result> exchange(beast::tcp_stream &stream, const std::string &address, const proxied_request &request)
    {
        attempt_result result;
        const auto message = makeMessage(address, request);
        stream.expires_at(request.deadline);
        const auto [writeError, written] = co_await http::async_write(stream, message, noThrow);
        if (writeError) {
            // Part of the request may have been sent although the write failed.
            result.end = writeError == beast::error::timeout ? attempt_status::timedOut : attempt_status::broke;
            co_return result;
        }
        beast::flat_buffer buffer(maxResponseHeaderBytes);
        std::optional<parser_type> parser;
        const auto readError = co_await readFinalResponse(stream, buffer, parser, request);
        if (readError) {
            result.end = readError == beast::error::timeout ? attempt_status::timedOut : attempt_status::broke;
            co_return result;
        }
        const bool reusable = parser->get().keep_alive() && buffer.size() == 0;
        fillResult(result, parser->release());
        // A faulty upstream may write a refusal once more, and nothing would tell the copy from the next response.
        if (reusable && result.end != attempt_status::shed) {
            stream.expires_never();
            returnIdle(address, stream.release_socket());
        }
        co_return result;
    }

    // Reads the response to `request` after any interim ones.
    asio::awaitable<error_code> readFinalResponse(beast::tcp_stream &stream, beast::flat_buffer &buffer, std::optional<parser_type> &parser,
                                                  const proxied_request &request) const
    {
        for (int interimResponses = 0; interimResponses < maxInterimResponses; ++interimResponses) {
            parser.emplace();
            parser->header_limit(maxResponseHeaderBytes);
            parser->body_limit(m_options.maxResponseBytes);
            parser->skip(request.method == "HEAD");
            const auto failed = co_await readMessage(stream, buffer, *parser, message_part::header, request.deadline);
            if (failed) {
                co_return failed;
            }
            if (isFinalStatus(parser->get().result_int())) {
                co_return co_await readMessage(stream, buffer, *parser, message_part::whole, request.deadline);
            }
        }
        co_return http::error::bad_status;
    }

    static http::request<http::string_body> makeMessage(const std::string &address, const proxied_request &request)
    {
        http::request<http::string_body> message;
        message.version(11);
        message.method_string(request.method);
        message.target(request.target);
        message.set(http::field::host, address);
        for (const auto &[name, value] : request.headers) {
            if (!isUnforwardedHeader(name)) {
                message.insert(name, value);
            }
        }
        if (!request.traceParent.empty()) {
            message.set("traceparent", request.traceParent);
        }
        message.body() = request.body;
        message.prepare_payload();
        return message;
    }

    static void fillResult(attempt_result &result, http::response<http::string_body> message)
    {
        result.status = message.result_int();
        const bool statesNotRun = message[outcomeHeader] == "not-run";
        const bool rejects = message.result() == http::status::service_unavailable || message.result() == http::status::too_many_requests;
        result.end = rejects && statesNotRun ? attempt_status::shed : attempt_status::answered;
        for (const auto &field : message) {
            const std::string name(field.name_string());
            if (!isUnforwardedHeader(name) && toLower(name) != "hornbeampick-outcome") {
                result.headers.emplace_back(name, std::string(field.value()));
            }
        }
        result.body = std::move(message.body());
    }

    upstream_client_options m_options;
    shards<idle_map> m_idle;
};

} // namespace

std::unique_ptr<upstream_client> makeUpstreamClient(const upstream_client_options &options)
{
    return std::make_unique<beast_upstream_client>(options);
}

} // namespace hornbeampick
