#include "upstream_attempt.h"

#include "body_reader.h"
#include "core/text.h"
#include "message_head.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>

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
// Covers two of the longest one-way delays between regions, which a handshake takes, but not the retransmission of a lost SYN.
constexpr milliseconds connectTimeout {700};
constexpr milliseconds probeTimeout {300};
// The upstream itself stops at the deadline; its response then still has to travel back.
constexpr milliseconds responseGrace {100};
constexpr std::uint32_t maxResponseHeaderBytes = 65536;
// Late responses to earlier requests that one attempt skips before it treats the connection as broken.
constexpr int maxLateResponses = 4;
// Idle connections are reused for the keep-alive timeout of the upstream divided by this.
constexpr int idleTimeoutDivisor = 2;
constexpr milliseconds defaultIdleTimeout {4000};

tcp::endpoint endpointOf(std::string_view address)
{
    const auto [ip, port] = parseEndpoint(address);
    error_code error;
    const auto parsed = asio::ip::make_address(ip, error);
    return {error ? asio::ip::address() : parsed, port};
}

body_framing framingOf(const request_context &context)
{
    const auto length = context.parser.content_length();
    if (context.parser.chunked()) {
        if (context.isBodyBuffered()) {
            return {.length = context.body.size(), .chunked = false};
        }
        return {.length = std::nullopt, .chunked = true};
    }
    return {.length = length ? std::optional<std::uint64_t>(*length) : std::nullopt, .chunked = false};
}

} // namespace

upstream_attempt::upstream_attempt(const relay_parts &parts, upstream_connection_pool &pool, const published<drain_schedule> &drain,
                                   beast::tcp_stream &callerStream, beast::flat_buffer &callerBuffer)
    : m_parts(parts)
    , m_pool(pool)
    , m_drain(drain)
    , m_callerStream(callerStream)
    , m_callerBuffer(callerBuffer)
{
}

void upstream_attempt::cancel()
{
    m_cancelled = true;
    if (m_connection) {
        m_connection->stream.cancel();
    }
}

asio::awaitable<attempt_outcome> upstream_attempt::run(request_context &context, const dispatch_grant &grant)
{
    attempt_outcome outcome;
    m_connection = m_pool.acquire(grant.address, grant.instance, grant.incarnation, m_parts.clock.now());
    if (!m_connection && !co_await connect(context, grant)) {
        outcome.end = m_cancelled ? dispatch_outcome::abandoned : dispatch_outcome::unreachable;
        co_return outcome;
    }
    if (m_cancelled) {
        co_return outcome;
    }
    const auto now = m_parts.clock.now();
    // A new connection may have taken long to establish.
    if (!mayStartAttempt(m_drain, context, now)) {
        outcome.isTooLate = true;
        co_return outcome;
    }
    outcome.mayHaveRun = true;
    ++context.attemptsSent;
    context.lastSentAt = now;
    m_connection->stream.expires_at(context.deadline + responseGrace);
    if (co_await sendRequest(context, grant, outcome)) {
        co_await readResponse(context, grant, outcome);
    }
    if (m_cancelled) {
        outcome.end = dispatch_outcome::abandoned;
    }
    if (outcome.end == dispatch_outcome::broke) {
        m_connection.reset();
        outcome.upstreamDied = co_await refusesConnections(grant.address);
    }
    co_return outcome;
}

asio::awaitable<bool> upstream_attempt::connect(request_context &context, const dispatch_grant &grant)
{
    m_connection = std::make_unique<upstream_connection>(co_await asio::this_coro::executor);
    m_connection->stream.expires_after(std::min(connectTimeout, std::max(context.remaining(m_parts.clock.now()), milliseconds(1))));
    const auto [failed] = co_await m_connection->stream.async_connect(endpointOf(grant.address), noThrow);
    if (failed) {
        co_return false;
    }
    error_code ignored;
    m_connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return true;
}

// Returns true when a response should be read.
asio::awaitable<bool> upstream_attempt::sendRequest(request_context &context, const dispatch_grant &grant, attempt_outcome &outcome)
{
    const auto framing = framingOf(context);
    const auto remainingTime = std::max(context.remaining(m_parts.clock.now()), milliseconds(1));
    const std::string head
        = makeUpstreamRequestHead(context.parser.get().base(), framing, m_parts.headerCodec, {.instance = grant.instance, .timeLeft = remainingTime});
    const std::string body = framing.chunked && !context.body.empty() ? encodeChunk(context.body) : std::string();
    const std::array buffers {asio::buffer(head), framing.chunked ? asio::buffer(body) : asio::buffer(context.body)};
    const auto [failed, count] = co_await asio::async_write(m_connection->stream, buffers, noThrow);
    if (failed) {
        outcome.end = endOf(failed);
        co_return false;
    }
    if (context.isBodyBuffered()) {
        co_return true;
    }
    co_return co_await streamBody(context, outcome);
}

// Streams the rest of a long body until it ends or the upstream responds. Returns true when a response should be read.
asio::awaitable<bool> upstream_attempt::streamBody(request_context &context, attempt_outcome &outcome)
{
    context.isBodyStreamed = true;
    const bool chunked = context.parser.chunked();
    m_callerStream.expires_at(context.deadline);
    std::string payload;
    while (!context.parser.is_done()) {
        error_code ignored;
        if (m_connection->stream.socket().available(ignored) > 0) {
            m_notReusable = true;
            co_return true;
        }
        payload.clear();
        const auto broken = co_await readSomeBody(m_callerStream, m_callerBuffer, context.parser, payload);
        if (broken) {
            outcome.callerError = broken == http::error::body_limit ? errc::bodyTooLarge : errc::callerLeft;
            outcome.end = dispatch_outcome::abandoned;
            co_return false;
        }
        if (chunked && !payload.empty()) {
            payload = encodeChunk(payload);
        }
        const auto [failed, count] = co_await asio::async_write(m_connection->stream, asio::buffer(payload), noThrow);
        if (failed) {
            // The upstream may have responded before it closed the connection.
            m_notReusable = true;
            co_return true;
        }
    }
    if (chunked) {
        const auto [failed, count] = co_await asio::async_write(m_connection->stream, asio::buffer(lastChunk), noThrow);
        m_notReusable = m_notReusable || static_cast<bool>(failed);
    }
    m_callerStream.expires_never();
    co_return true;
}

asio::awaitable<void> upstream_attempt::readResponse(request_context &context, const dispatch_grant &grant, attempt_outcome &outcome)
{
    const bool isHeadRequest = context.parser.get().method() == http::verb::head;
    for (int lateResponses = 0; lateResponses < maxLateResponses;) {
        upstream_response response;
        response.parser = std::make_unique<upstream_response::parser_type>();
        response.parser->header_limit(maxResponseHeaderBytes);
        response.parser->body_limit(boost::none);
        response.parser->skip(isHeadRequest);
        const auto [failed, count] = co_await http::async_read_header(m_connection->stream, m_connection->buffer, *response.parser, noThrow);
        if (failed) {
            outcome.end = endOf(failed);
            co_return;
        }
        if (response.status() < static_cast<unsigned>(http::status::ok)) {
            continue;
        }
        const auto metadata = m_parts.headerCodec.decodeResponse(beast_header_view(response.parser->get()));
        const bool isMatching = metadata.id == context.id;
        const bool isIntact = co_await bufferBody(response);
        if (!isMatching) {
            // This is a late response to an earlier request; the matching one may still follow.
            if (!isIntact || !response.isComplete() || metadata.id.empty() || response.parser->need_eof()) {
                outcome.end = dispatch_outcome::broke;
                co_return;
            }
            ++lateResponses;
            continue;
        }
        outcome.load = metadata.load;
        outcome.warmupRemaining = metadata.warmupRemaining;
        if (metadata.notRun || response.status() == static_cast<unsigned>(http::status::misdirected_request)) {
            outcome.mayHaveRun = false;
            outcome.end
                = response.status() == static_cast<unsigned>(http::status::misdirected_request) ? dispatch_outcome::misdirected : dispatch_outcome::shed;
        } else if (!isIntact || !metadata.hasServerStamp) {
            outcome.end = dispatch_outcome::broke;
            co_return;
        } else {
            const bool isFailure = http::to_status_class(response.parser->get().result()) == http::status_class::server_error;
            outcome.end = isFailure ? dispatch_outcome::failed : dispatch_outcome::answered;
        }
        if (response.isComplete()) {
            releaseConnection(std::move(m_connection), *response.parser, grant);
        } else {
            response.connection = std::move(m_connection);
        }
        if (outcome.mayHaveRun) {
            outcome.response = std::move(response);
        }
        co_return;
    }
    outcome.end = dispatch_outcome::broke;
}

// Buffers the body up to the limit. Returns false when it is truncated.
asio::awaitable<bool> upstream_attempt::bufferBody(upstream_response &response)
{
    while (!response.parser->is_done() && response.body.size() < maxBufferedBodyBytes) {
        const auto failed = co_await readSomeBody(m_connection->stream, m_connection->buffer, *response.parser, response.body);
        if (failed) {
            co_return false;
        }
    }
    co_return true;
}

void upstream_attempt::releaseConnection(std::unique_ptr<upstream_connection> connection, const upstream_response::parser_type &parser,
                                         const dispatch_grant &grant)
{
    const bool reusable = !m_notReusable && parser.keep_alive() && connection->buffer.size() == 0;
    if (!reusable) {
        return;
    }
    const auto advertised = keepAliveTimeout(beast_header_view(parser.get()).value("Keep-Alive"));
    const auto idleTimeout = advertised ? std::chrono::duration_cast<milliseconds>(*advertised) / idleTimeoutDivisor : defaultIdleTimeout;
    connection->idleDeadline = m_parts.clock.now() + idleTimeout;
    m_pool.release(grant.address, grant.instance, grant.incarnation, std::move(connection));
}

asio::awaitable<bool> upstream_attempt::refusesConnections(const std::string &address)
{
    beast::tcp_stream probe(co_await asio::this_coro::executor);
    probe.expires_after(probeTimeout);
    const auto [failed] = co_await probe.async_connect(endpointOf(address), noThrow);
    co_return failed == asio::error::connection_refused;
}

dispatch_outcome upstream_attempt::endOf(const error_code &error) const
{
    return error == beast::error::timeout ? dispatch_outcome::timedOut : dispatch_outcome::broke;
}

} // namespace hornbeampick
