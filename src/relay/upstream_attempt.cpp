#include "upstream_attempt.h"

#include "body_reader.h"
#include "core/http_status.h"
#include "core/text.h"
#include "message_head.h"
#include "observe/log.h"
#include "peer_fields.h"
#include "relay/upstream_probe.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>

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
// Late responses to earlier requests that one attempt skips before it treats the connection as broken.
constexpr int maxLateResponses = 4;
// Interim responses that one attempt skips before it treats the connection as broken.
constexpr int maxInterimResponses = 16;
// How long the rest of a refusal is awaited in order to reuse the connection. The header alone states that the request has not run.
constexpr milliseconds refusalBodyTimeout {100};
// Refusals after which a connection is no longer reused, which limits the ids that it keeps.
constexpr std::size_t maxRefusalsPerConnection = 64;
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

// Returns false when the header shows that the body ends only with its connection, or exceeds `maxBufferedBodyBytes`.
bool mayFitBuffer(const upstream_response::parser_type &parser)
{
    return parser.is_done() || (!parser.need_eof() && parser.content_length().value_or(0) <= maxBufferedBodyBytes);
}

// Returns false when the body ends with its connection and the connection was lost, so that nothing tells a truncated body from a whole one.
bool isEndKnown(const upstream_response::parser_type &parser, const upstream_connection &connection)
{
    return !parser.need_eof() || !connection.isLost;
}

} // namespace

bool mayHandleRestricted(const relay_parts &parts, const request_context &context)
{
    return context.allowedRegions.empty() || parts.lease.isValid(parts.clock.bootNow());
}

upstream_attempt::upstream_attempt(const relay_parts &parts, upstream_connection_pool &pool, const published<drain_schedule> &drain,
                                   beast::tcp_stream &callerStream, beast::flat_buffer &callerBuffer, intake_meter &callerMeter)
    : m_parts(parts)
    , m_pool(pool)
    , m_drain(drain)
    , m_callerStream(callerStream)
    , m_callerBuffer(callerBuffer)
    , m_callerMeter(callerMeter)
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
    m_throughPeer = false;
    m_parts.reachability.onAttempt(m_parts.clock.now());
    auto outcome = co_await exchange(context, grant);
    if (outcome.end == dispatch_outcome::broke) {
        m_connection.reset();
        const bool refuses = co_await refusesConnections(grant.address);
        if (refuses) {
            outcome.upstreamDied = co_await reachesAnotherThan(grant.address);
        }
    }
    co_return outcome;
}

asio::awaitable<attempt_outcome> upstream_attempt::runThroughPeer(request_context &context, const dispatch_grant &grant)
{
    m_throughPeer = true;
    auto outcome = co_await exchange(context, grant);
    m_connection.reset();
    co_return outcome;
}

asio::awaitable<attempt_outcome> upstream_attempt::exchange(request_context &context, const dispatch_grant &grant)
{
    attempt_outcome outcome {.grant = grant};
    m_connection = m_pool.acquire(grant.address, grant.instance, grant.incarnation, context.id, m_parts.clock.now());
    if (!m_connection && !co_await connect(context, grant)) {
        outcome.end = m_cancelled ? dispatch_outcome::abandoned : dispatch_outcome::unreachable;
        co_return outcome;
    }
    if (m_cancelled) {
        co_return outcome;
    }
    const auto now = m_parts.clock.now();
    // A new connection may have taken long to establish.
    updateAllowedRegions(context, m_parts.routes);
    const bool isStillAllowed = !context.isNowhereAllowed && isRegionAllowed(context.allowedRegions, grant.region) && mayHandleRestricted(m_parts, context);
    if (!isStillAllowed || !mayStartAttempt(m_drain, context, now)) {
        outcome.isTooLate = true;
        co_return outcome;
    }
    outcome.mayHaveRun = true;
    context.attemptsSent += m_throughPeer ? 0 : 1;
    context.lastSentAt = now;
    m_connection->stream.expires_at(context.deadline + responseGrace);
    // Only the id tells a later response on the same connection from this one.
    m_notReusable = m_notReusable || context.id.empty();
    if (co_await sendRequest(context, grant, outcome)) {
        co_await readResponse(context, grant, outcome);
    }
    if (m_cancelled) {
        outcome.end = dispatch_outcome::abandoned;
    }
    co_return outcome;
}

asio::awaitable<bool> upstream_attempt::connect(request_context &context, const dispatch_grant &grant)
{
    m_connection = std::make_unique<upstream_connection>(co_await asio::this_coro::executor);
    m_connection->stream.expires_after(std::min(connectTimeout, std::max(context.remaining(m_parts.clock.now()), milliseconds(1))));
    const auto [failed] = co_await m_connection->stream.async_connect(endpointOf(grant.address), noThrow);
    if (failed) {
        if (!m_throughPeer && !m_cancelled) {
            m_parts.reachability.onConnectFailure();
        }
        co_return false;
    }
    if (!m_throughPeer) {
        m_parts.reachability.onConnected();
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
    std::string peerFields;
    const auto organisation = context.organisation.view();
    if (m_throughPeer) {
        encodePeerRequest({.attempts = context.maxAttempts - context.attemptsSent, .routesVersion = context.regionsVersion, .organisation = organisation},
                          peerFields);
    }
    const std::string head
        = makeUpstreamRequestHead(context.parser.get().base(), framing, m_parts.headerCodec,
                                  {.instance = grant.instance, .timeLeft = remainingTime, .organisation = m_throughPeer ? std::string_view() : organisation},
                                  context.routes->organisations() != nullptr, peerFields);
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
    std::string payload;
    while (!context.parser.is_done()) {
        error_code ignored;
        if (m_connection->buffer.size() > 0 || m_connection->stream.socket().available(ignored) > 0) {
            m_notReusable = true;
            co_return true;
        }
        payload.clear();
        const auto broken = co_await readSomeBody(m_callerStream, m_callerBuffer, context.parser, payload, context.deadline);
        if (broken) {
            outcome.callerError = broken == http::error::body_limit ? errc::bodyTooLarge : errc::callerLeft;
            outcome.end = dispatch_outcome::abandoned;
            co_return false;
        }
        m_callerMeter.onProgress(payload.size());
        if (chunked && !payload.empty()) {
            payload = encodeChunk(payload);
        }
        const auto [failed, count] = co_await asio::async_write(m_connection->stream, asio::buffer(payload), noThrow);
        if (failed) {
            onBodyWriteFailed(failed);
            co_return true;
        }
    }
    if (chunked) {
        const auto [failed, count] = co_await asio::async_write(m_connection->stream, asio::buffer(lastChunk), noThrow);
        if (failed) {
            onBodyWriteFailed(failed);
        }
    }
    m_callerStream.expires_never();
    m_callerMeter.setServing(true);
    co_return true;
}

void upstream_attempt::onBodyWriteFailed(const error_code &failed)
{
    m_notReusable = true;
    // A reset that follows the end of the upstream's bytes is reported as a broken pipe; its response is whole.
    m_connection->isLost = m_connection->isLost || failed != asio::error::broken_pipe;
}

// Goes on with a long body that was interrupted by a response other than the final one to this request. Returns true when a response
// should be read.
asio::awaitable<bool> upstream_attempt::resumeBody(request_context &context, attempt_outcome &outcome)
{
    if (context.parser.is_done()) {
        co_return true;
    }
    co_return co_await streamBody(context, outcome);
}

asio::awaitable<void> upstream_attempt::readResponse(request_context &context, const dispatch_grant &grant, attempt_outcome &outcome)
{
    const bool isHeadRequest = context.parser.get().method() == http::verb::head;
    const auto deadline = context.deadline + responseGrace;
    int interimResponses = 0;
    for (int lateResponses = 0; lateResponses < maxLateResponses && interimResponses < maxInterimResponses;) {
        upstream_response response;
        response.parser = std::make_unique<upstream_response::parser_type>();
        response.parser->header_limit(maxResponseHeaderBytes);
        response.parser->body_limit(boost::none);
        response.parser->skip(isHeadRequest);
        const auto failed = co_await readMessage(m_connection->stream, m_connection->buffer, *response.parser, message_part::header, deadline);
        if (failed) {
            outcome.end = endOf(failed);
            co_return;
        }
        if (!m_throughPeer) {
            m_parts.reachability.onResponse();
        }
        if (isInterimStatus(response.status())) {
            ++interimResponses;
            const bool isSent = co_await resumeBody(context, outcome);
            if (!isSent) {
                co_return;
            }
            continue;
        }
        const beast_header_view header(response.parser->get());
        const auto metadata = m_parts.headerCodec.decodeResponse(header);
        if (m_throughPeer) {
            outcome.attemptsByPeer = decodeAttemptsSent(header);
        }
        const bool isMatching = metadata.id == context.id;
        const bool isMisdirected = response.status() == static_cast<unsigned>(http::status::misdirected_request);
        const bool isRefusal = metadata.notRun || isMisdirected;
        if (!isMisdirected) {
            recordUpstreamState(context, grant, response, metadata, outcome);
        }
        if (isMatching) {
            outcome.load = metadata.load;
            outcome.warmupRemaining = metadata.warmupRemaining;
        }
        const bool isUsable = isMatching ? isRefusal || (metadata.hasServerStamp && isEndKnown(*response.parser, *m_connection))
                                         : !metadata.id.empty() && mayFitBuffer(*response.parser);
        if (!isUsable) {
            outcome.end = dispatch_outcome::broke;
            co_return;
        }
        const bool isIntact = co_await bufferBody(response, isMatching && isRefusal ? std::min(deadline, m_parts.clock.now() + refusalBodyTimeout) : deadline,
                                                  isMatching && !isRefusal);
        if (!isMatching) {
            // This is a late response to an earlier request; the matching one may still follow.
            if (!isIntact || !response.isComplete()) {
                outcome.end = dispatch_outcome::broke;
                co_return;
            }
            ++lateResponses;
            const bool isSent = co_await resumeBody(context, outcome);
            if (!isSent) {
                co_return;
            }
            continue;
        }
        if (isRefusal) {
            outcome.mayHaveRun = false;
            m_connection->refusedIds.push_back(context.id);
            outcome.end = isMisdirected ? dispatch_outcome::misdirected : dispatch_outcome::shed;
        } else if (!isIntact) {
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

// Called as soon as the header has been read, because the body can take long, and for late responses to earlier requests as well: the
// connection belongs to one incarnation.
void upstream_attempt::recordUpstreamState(const request_context &context, const dispatch_grant &grant, const upstream_response &response,
                                           const response_metadata &metadata, attempt_outcome &outcome)
{
    if (metadata.isLeaving && m_parts.dispatch.markLeaving(grant)) {
        logRateLimited(log_level::info, "upstream-leaving",
                       {{"request", context.id}, {"instance", grant.instance.string()}, {"service", grant.service.string()}});
    }
    if (response.status() == static_cast<unsigned>(http::status::service_unavailable) && metadata.retryAfter) {
        outcome.retryAfter = metadata.retryAfter;
        if (m_parts.dispatch.defer(grant, *metadata.retryAfter)) {
            logRateLimited(log_level::info, "upstream-deferred",
                           {{"request", context.id},
                            {"instance", grant.instance.string()},
                            {"service", grant.service.string()},
                            {"forMs", static_cast<std::int64_t>(metadata.retryAfter->count())}});
        }
    }
}

// Buffers the body up to the limit. Returns false when it is truncated or has not come by the deadline.
asio::awaitable<bool> upstream_attempt::bufferBody(upstream_response &response, steady_time deadline, bool isLimited)
{
    while (!response.parser->is_done() && response.body.size() < maxBufferedBodyBytes) {
        if (isLimited && !m_callerMeter.add(bodyReadBytes)) {
            co_return true;
        }
        const auto sizeBefore = response.body.size();
        const auto failed = co_await readSomeBody(m_connection->stream, m_connection->buffer, *response.parser, response.body, deadline);
        if (isLimited) {
            m_callerMeter.release(bodyReadBytes - (response.body.size() - sizeBefore));
        }
        if (failed) {
            co_return false;
        }
    }
    co_return true;
}

void upstream_attempt::releaseConnection(std::unique_ptr<upstream_connection> connection, const upstream_response::parser_type &parser,
                                         const dispatch_grant &grant)
{
    const bool reusable = !m_notReusable && parser.keep_alive() && connection->buffer.size() == 0 && connection->refusedIds.size() < maxRefusalsPerConnection;
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

// Tells the death of one upstream from the loss of this host's links, which would make every request look like one that kills upstreams.
// Returns true when no other upstream is known.
asio::awaitable<bool> upstream_attempt::reachesAnotherThan(const std::string &address)
{
    auto others = m_parts.dispatch.probeTargets();
    std::erase(others, address);
    if (others.empty()) {
        co_return true;
    }
    const auto outcome = co_await probeUpstreams(std::move(others), probeTimeout);
    co_return outcome == probe_outcome::reached;
}

dispatch_outcome upstream_attempt::endOf(const error_code &error) const
{
    return error == beast::error::timeout ? dispatch_outcome::timedOut : dispatch_outcome::broke;
}

} // namespace hornbeampick
