#include "relay_session.h"

#include "body_reader.h"
#include "message_head.h"
#include "observe/log.h"
#include "peer_fields.h"
#include "rules/access.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>

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
constexpr std::size_t readBufferBytes = 4096;
// Connections without a request are closed this long after the idle timeout that callers are told.
constexpr milliseconds idleGrace {1000};
constexpr milliseconds writeTimeout {30000};
constexpr milliseconds lingerTimeout {200};
// Attempts that failed to connect, and so sent nothing, allowed for one request.
constexpr std::uint32_t maxConnectFailures = 3;
// Retry-After when no routes are known yet: about the time in which a host learns them.
constexpr milliseconds notReadyRetryAfter {500};
// Retry-After when other hosts can take the request at once.
constexpr milliseconds otherHostRetryAfter {10};
// Retry-After when callers hold all the memory that they may: about the time in which a stalled connection is closed.
constexpr milliseconds intakeRetryAfter {1000};
// Other entry hosts that are tried for one request.
constexpr std::size_t maxPeerAttempts = 3;
// How long a request waits for a token of its organisation's quota, and how often it asks. A draw takes a round trip between regions, and the
// one in progress is awaited first.
constexpr milliseconds quotaWait {600};
constexpr milliseconds quotaPollInterval {25};
// A request with less time left than this is not retried: no upstream responds that fast.
constexpr milliseconds minRetryTime {20};

// Counts and lists a request as active for the lifetime of the guard.
class active_request_guard
{
public:
    active_request_guard(std::atomic<std::size_t> &count, active_requests &requests, const request_context &context)
        : m_count(count)
        , m_requests(requests)
        , m_context(context)
    {
        ++m_count;
        m_requests.add(m_context);
    }
    ~active_request_guard()
    {
        m_requests.remove(m_context);
        --m_count;
    }
    active_request_guard(const active_request_guard &) = delete;
    active_request_guard &operator=(const active_request_guard &) = delete;

private:
    std::atomic<std::size_t> &m_count;
    active_requests &m_requests;
    const request_context &m_context;
};

std::string formatSeconds(milliseconds duration)
{
    std::array<char, 24> text {};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(duration.count()) / 1000);
    return text.data();
}

local_response responseFor(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow) {
        return {.status = 431, .error = errc::headerTooLarge};
    }
    if (error == asio::error::no_buffer_space) {
        return {.status = 503, .error = errc::overloaded, .retryAfter = intakeRetryAfter};
    }
    if (error == http::error::body_limit) {
        return {.status = 413, .error = errc::bodyTooLarge};
    }
    return {.status = 400, .error = errc::malformedRequest};
}

peer_outcome toPeerOutcome(dispatch_outcome end)
{
    switch (end) {
    case dispatch_outcome::answered:
    case dispatch_outcome::failed:
        return peer_outcome::served;
    case dispatch_outcome::shed:
        return peer_outcome::overloaded;
    case dispatch_outcome::timedOut:
        return peer_outcome::late;
    case dispatch_outcome::unreachable:
        return peer_outcome::unreachable;
    case dispatch_outcome::misdirected:
    case dispatch_outcome::broke:
    case dispatch_outcome::abandoned:
        return peer_outcome::abandoned;
    }
    return peer_outcome::abandoned;
}

bool expectsContinue(const http::fields &fields)
{
    return beast::iequals(fields[http::field::expect], "100-continue");
}

} // namespace

relay_session::relay_session(tcp::socket socket, const relay_parts &parts, relay_state &state, upstream_connection_pool &pool, active_requests &requests,
                             session_origin origin)
    : m_stream(std::move(socket))
    , m_parts(parts)
    , m_state(state)
    , m_pool(pool)
    , m_requests(requests)
    , m_origin(origin)
{
}

bool relay_session::openAccount(intake_budget &budget)
{
    m_meter.setAccount(budget.open(weak_from_this(), m_parts.clock.now()));
    return m_meter.account() != nullptr;
}

void relay_session::requestClose()
{
    asio::post(m_stream.get_executor(), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->m_stream.close();
        }
    });
}

asio::awaitable<void> relay_session::run()
{
    error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    bool keepAlive = true;
    while (keepAlive) {
        keepAlive = co_await serveRequest();
    }
    if (m_lingerOnClose) {
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        co_await drainInput();
    }
    m_stream.close();
}

caller_limits relay_session::limits() const
{
    const auto routes = m_parts.routes.get();
    return routes ? routes->table().limits : caller_limits {};
}

asio::awaitable<bool> relay_session::serveRequest()
{
    const auto allowed = limits();
    request_context context;
    context.parser.header_limit(allowed.headerBytes);
    context.parser.body_limit(allowed.bodyBytes);
    // The header limit also applies to chunk headers and trailer fields, which the parser itself does not limit.
    m_buffer.max_size(std::max<std::size_t>({allowed.headerBytes, readBufferBytes, m_buffer.size()}));
    bool hasRoom = m_meter.begin(receivedBytes());
    if (m_buffer.size() == 0) {
        // A connection without a request keeps no larger buffer than the first read needs.
        m_buffer.shrink_to_fit();
        m_stream.expires_after(allowed.idleTimeout + idleGrace);
        const auto [failed, count] = co_await m_stream.async_read_some(m_buffer.prepare(readBufferBytes), noThrow);
        if (failed) {
            co_return false;
        }
        m_buffer.commit(count);
        hasRoom = m_meter.onRead(receivedBytes());
    }
    if (!hasRoom) {
        m_lingerOnClose = true;
        co_await sendLocalResponse(nullptr, responseFor(asio::error::no_buffer_space));
        co_return false;
    }
    const active_request_guard active(m_state.active, m_requests, context);
    const auto headerDeadline = m_parts.clock.now() + allowed.headerTimeout;
    m_stream.expires_at(headerDeadline);
    const auto failed = co_await readMessage(m_stream, m_buffer, context.parser, message_part::header, headerDeadline, &m_meter);
    if (failed == http::error::end_of_stream || failed == http::error::partial_message || failed == beast::error::timeout) {
        co_return false;
    }
    if (failed) {
        m_lingerOnClose = true;
        co_await sendLocalResponse(nullptr, responseFor(failed));
        co_return false;
    }
    if (!m_meter.mayHave(context.parser.get())) {
        m_lingerOnClose = true;
        co_await sendLocalResponse(nullptr, responseFor(http::error::header_limit));
        co_return false;
    }
    m_stream.expires_never();
    context.arrivedAt = m_parts.clock.now();
    co_return co_await processRequest(context);
}

asio::awaitable<bool> relay_session::processRequest(request_context &context)
{
    const auto refused = matchRoute(context);
    if (refused.error != errc::ok) {
        co_return co_await sendLocalResponse(&context, refused);
    }
    if (expectsContinue(context.parser.get()) && !context.parser.is_done()) {
        constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        if (!co_await write(interim, {})) {
            co_return false;
        }
    }
    if (!co_await bufferBody(context)) {
        co_return false;
    }
    context.contentDigest = digestOf({context.parser.get().method_string(), context.parser.get().target(), context.body});
    if (m_parts.poison.isQuarantined(context.contentDigest, m_parts.clock.now())) {
        co_return co_await sendLocalResponse(&context, {.status = 503, .error = errc::quarantined, .retryAfter = context.matched->timeout});
    }
    if (const auto overQuota = co_await takeFromQuota(context)) {
        co_return co_await sendLocalResponse(&context, *overQuota);
    }
    const bool keepOpen = co_await serveAdmitted(context);
    if (context.isCounted && !context.mayHaveRun) {
        m_parts.quota.refund(context.organisation, m_parts.clock.bootNow());
    }
    co_return keepOpen;
}

// Serves a request that is within its quota.
asio::awaitable<bool> relay_session::serveAdmitted(request_context &context)
{
    const link_request linkRequest {.service = context.service, .kind = context.matched->kind, .priority = context.priority};
    const auto rejected = m_parts.link.admit(linkRequest, m_parts.clock.now());
    if (rejected) {
        co_return co_await sendLocalResponse(&context, {.status = 503, .error = errc::overloaded, .retryAfter = *rejected});
    }
    if (context.isBodyBuffered()) {
        watchForCallerClose();
    }
    const auto writtenBefore = m_bytesWritten;
    const bool keepOpen = co_await tryUpstreams(context);
    m_parts.link.finish(linkRequest, context.body.size() + m_bytesWritten - writtenBefore);
    co_return keepOpen;
}

// The entry host that the caller connects to counts the request; one that takes it over does not count it again.
asio::awaitable<std::optional<local_response>> relay_session::takeFromQuota(request_context &context)
{
    if (context.organisation.empty() || m_origin == session_origin::entryHost) {
        co_return std::nullopt;
    }
    asio::steady_timer timer(co_await asio::this_coro::executor);
    const auto startedAt = m_parts.clock.now();
    auto decision = m_parts.quota.take(context.organisation, m_parts.clock.bootNow());
    while (decision.verdict == quota_verdict::pending && m_parts.clock.now() < startedAt + quotaWait) {
        m_parts.quotaDemand.onQuotaDemand();
        timer.expires_after(quotaPollInterval);
        co_await timer.async_wait(noThrow);
        decision = m_parts.quota.take(context.organisation, m_parts.clock.bootNow(), true);
    }
    if (decision.verdict == quota_verdict::admitted) {
        context.isCounted = true;
        co_return std::nullopt;
    }
    const auto retryAfter = decision.verdict == quota_verdict::refused ? decision.retryAfter : quotaWait;
    co_return local_response {.status = 429, .error = errc::quotaExceeded, .retryAfter = retryAfter};
}

// Determines the route, service and deadline. Any error but `ok` is the response with which the request is refused.
local_response relay_session::matchRoute(request_context &context) const
{
    const auto &request = context.parser.get();
    if (request.count(http::field::host) != 1 || request.target().empty()) {
        return {.status = 400, .error = errc::malformedRequest};
    }
    const auto metadata = m_parts.headerCodec.decodeRequest(beast_header_view(request));
    context.id = metadata.id;
    context.affinityKey = metadata.affinityKey;
    context.routes = m_parts.routes.get();
    if (m_state.refusing) {
        return {.status = 503, .error = errc::stopping, .retryAfter = otherHostRetryAfter};
    }
    if (!context.routes) {
        return {.status = 503, .error = errc::notReady, .retryAfter = notReadyRetryAfter};
    }
    context.matched = context.routes->find(request[http::field::host], request.target());
    if (context.matched == nullptr) {
        return {.status = 404, .error = errc::noRoute};
    }
    context.service = chooseService(*context.matched, context.id);
    context.maxAttempts = context.matched->attempts;
    caller_identity identity {.key = metadata.key};
    if (m_origin == session_origin::entryHost) {
        const auto passedOn = decodePeerRequest(beast_header_view(request));
        context.maxAttempts = std::min(context.maxAttempts, passedOn.attempts);
        if (context.routes->table().version < passedOn.routesVersion) {
            return {.status = 503, .error = errc::notReady, .retryAfter = notReadyRetryAfter};
        }
        identity = {.organisation = passedOn.organisation, .isVouchedFor = true};
    }
    auto access = decideAccess(*context.routes, *context.matched, identity);
    if (access.error == errc::unknownKey && !identity.isVouchedFor) {
        return {.status = 401, .error = errc::unknownKey};
    }
    if (access.error != errc::ok) {
        return {.status = 503, .error = access.error, .retryAfter = notReadyRetryAfter};
    }
    context.organisation = access.caller != nullptr ? access.caller->name : organisation_name();
    context.priority = access.priority;
    context.allowedRegions = std::move(access.allowedRegions);
    context.deadline = context.arrivedAt + std::min(metadata.callerTimeout.value_or(context.matched->timeout), context.matched->timeout);
    context.usualRunTime = m_parts.dispatch.usualServiceTime(context.service);
    if (const auto refused = checkAttempt(context, context.arrivedAt); refused != errc::ok) {
        return {.status = 503, .error = refused, .retryAfter = otherHostRetryAfter};
    }
    return {.status = 200, .error = errc::ok};
}

// Returns why no attempt may start now although another host may take the request: stopping or, when the request is restricted to regions
// and the routes of this host may be outdated, routesOutdated.
errc relay_session::checkAttempt(request_context &context, steady_time now) const
{
    updateAllowedRegions(context, m_parts.routes);
    if (context.isNowhereAllowed) {
        return errc::noRegionAllowed;
    }
    if (!mayStartAttempt(m_state.drain, context, now)) {
        return errc::stopping;
    }
    return mayHandleRestricted(m_parts, context) ? errc::ok : errc::routesOutdated;
}

// Buffers the caller's body up to the limit. Returns false when it could not be read; unless the caller timed out or
// disconnected, an error response has then been sent.
asio::awaitable<bool> relay_session::bufferBody(request_context &context)
{
    m_meter.setServing(false);
    while (!context.parser.is_done() && context.body.size() < maxBufferedBodyBytes) {
        const auto failed = co_await readSomeBody(m_stream, m_buffer, context.parser, context.body, context.deadline, &m_meter);
        if (failed) {
            m_lingerOnClose = true;
            if (failed != beast::error::timeout && failed != http::error::partial_message) {
                co_await sendLocalResponse(&context, responseFor(failed));
            }
            co_return false;
        }
    }
    m_stream.expires_never();
    m_meter.setServing(context.parser.is_done());
    co_return true;
}

dispatch_result relay_session::chooseUpstream(const request_context &context, steady_time now)
{
    const auto &matched = *context.matched;
    const bool hasAffinity = matched.sticky && !context.affinityKey.empty();
    return m_parts.dispatch.selectUpstream({
        .service = context.service,
        .object = hasAffinity ? std::optional(stableHash(context.affinityKey, stableHash(matched.name))) : std::nullopt,
        .priority = context.priority,
        .targetLatency = matched.targetLatency,
        .elapsed = std::chrono::duration_cast<milliseconds>(now - context.arrivedAt),
        .remaining = context.remaining(now),
        .allowedRegions = context.allowedRegions,
        .tried = context.tried,
    });
}

// Tries one upstream after another for as long as the request may be retried.
asio::awaitable<bool> relay_session::tryUpstreams(request_context &context)
{
    attempt_outcome outcome;
    std::optional<dispatch_grant> lastGrant;
    std::uint32_t connectFailures = 0;
    upstream_attempt attempt(m_parts, m_pool, m_state.drain, m_stream, m_buffer, m_meter);
    while (true) {
        const auto now = m_parts.clock.now();
        if (const auto refused = checkAttempt(context, now); refused != errc::ok) {
            if (outcome.response || context.mayHaveRun) {
                break;
            }
            co_return co_await sendLocalResponse(&context, {.status = 503, .error = refused, .retryAfter = otherHostRetryAfter});
        }
        const bool isRetry = context.attemptsSent > 0;
        if (isRetry && !m_parts.retries.take(context.service)) {
            break;
        }
        if (m_parts.reachability.isIsolated()) {
            co_return co_await tryPeers(context, std::move(outcome));
        }
        const auto verdict = chooseUpstream(context, now);
        if (const auto *refused = std::get_if<dispatch_refusal>(&verdict)) {
            if (isRetry) {
                m_parts.retries.refund(context.service);
            }
            if (outcome.response || context.mayHaveRun) {
                break;
            }
            co_return co_await sendLocalResponse(&context, {.status = 503, .error = refused->error, .retryAfter = refused->retryAfter, .refusal = *refused});
        }
        lastGrant = std::get<dispatch_grant>(verdict);
        logRestricted("restricted-request-sent", context, lastGrant->region, lastGrant->address);
        if (isRetry) {
            m_parts.counters.countRetry(context.service);
        } else {
            m_parts.retries.onFirstAttempt(context.service);
        }
        m_cancellableAttempt = isRepeatable(context.matched->kind) ? &attempt : nullptr;
        auto attemptOutcome = co_await attempt.run(context, *lastGrant);
        m_cancellableAttempt = nullptr;
        const auto ejectedFor = m_parts.dispatch.finish(*lastGrant, attemptOutcome.end, attemptOutcome.load);
        const bool wasSent = !attemptOutcome.isTooLate && attemptOutcome.end != dispatch_outcome::unreachable;
        if (isRetry && !wasSent) {
            m_parts.retries.refund(context.service);
        }
        if (attemptOutcome.isTooLate) {
            // The check at the start of the loop answers the request.
            continue;
        }
        if (ejectedFor) {
            logRateLimited(
                log_level::warning, "upstream-set-aside",
                {{"instance", lastGrant->instance.string()}, {"service", context.service.string()}, {"forMs", static_cast<std::int64_t>(ejectedFor->count())}});
        }
        if (attemptOutcome.end != dispatch_outcome::answered) {
            logFailure(context, *lastGrant, attemptOutcome);
        }
        if (attemptOutcome.warmupRemaining) {
            m_parts.dispatch.markCold(context.service, lastGrant->instance, *attemptOutcome.warmupRemaining);
        }
        if (attemptOutcome.upstreamDied) {
            reportDeath(context, *lastGrant);
        }
        context.mayHaveRun = context.mayHaveRun || attemptOutcome.mayHaveRun;
        context.tried.push_back(lastGrant->instance);
        const bool replacesOutcome = attemptOutcome.response || !outcome.response;
        if (replacesOutcome) {
            outcome = std::move(attemptOutcome);
        }
        connectFailures += outcome.end == dispatch_outcome::unreachable ? 1 : 0;
        if (m_callerLeft || !mayRetry(context, outcome) || connectFailures > maxConnectFailures) {
            break;
        }
    }
    co_return co_await sendResponse(context, outcome, attempt);
}

// Sends the request to an upstream through another entry host, since this one reaches none. A request that came from an entry host is
// refused, so that none is passed on twice. `outcome` is that of the attempts so far.
asio::awaitable<bool> relay_session::tryPeers(request_context &context, attempt_outcome outcome)
{
    std::vector<std::string> tried;
    dispatch_grant grant {.service = context.service};
    upstream_attempt attempt(m_parts, m_pool, m_state.drain, m_stream, m_buffer, m_meter);
    bool mayTryPeer = m_origin == session_origin::caller;
    // An earlier peer has sent the request to upstreams.
    bool isRepeat = false;
    while (mayTryPeer) {
        const auto now = m_parts.clock.now();
        if (tried.size() >= maxPeerAttempts || checkAttempt(context, now) != errc::ok || context.remaining(now) < minRetryTime) {
            break;
        }
        if (isRepeat && !m_parts.retries.take(context.service)) {
            break;
        }
        const auto peer = m_parts.peers.acquire({.service = context.service, .allowedRegions = context.allowedRegions, .tried = tried}, now);
        if (!peer) {
            if (isRepeat) {
                m_parts.retries.refund(context.service);
            }
            break;
        }
        logRestricted("restricted-request-passed-on", context, peer->region, peer->address);
        tried.push_back(peer->address);
        grant.address = peer->address;
        grant.region = peer->region;
        grant.grantedAt = now;
        m_cancellableAttempt = isRepeatable(context.matched->kind) ? &attempt : nullptr;
        auto attemptOutcome = co_await attempt.runThroughPeer(context, grant);
        m_cancellableAttempt = nullptr;
        m_parts.peers.release(peer->address, context.service, toPeerOutcome(attemptOutcome.end), m_parts.clock.now());
        if (attemptOutcome.end != dispatch_outcome::answered) {
            logFailure(context, grant, attemptOutcome);
        }
        const bool mayHaveArrived = attemptOutcome.end != dispatch_outcome::unreachable && attemptOutcome.end != dispatch_outcome::shed;
        context.attemptsSent += attemptOutcome.attemptsByPeer;
        isRepeat = isRepeat || attemptOutcome.attemptsByPeer > 0;
        mayTryPeer = !m_callerLeft && !context.isBodyStreamed && !mayHaveArrived && context.attemptsSent < context.maxAttempts;
        context.mayHaveRun = context.mayHaveRun || attemptOutcome.mayHaveRun;
        if (attemptOutcome.response || !outcome.response) {
            outcome = std::move(attemptOutcome);
        }
    }
    co_return co_await sendResponse(context, outcome, attempt);
}

bool relay_session::mayRetry(const request_context &context, const attempt_outcome &outcome)
{
    if (context.isBodyStreamed || context.attemptsSent >= context.maxAttempts || context.remaining(m_parts.clock.now()) < minRetryTime) {
        return false;
    }
    switch (outcome.end) {
    case dispatch_outcome::unreachable:
    case dispatch_outcome::shed:
    case dispatch_outcome::misdirected:
        return true;
    case dispatch_outcome::failed:
    case dispatch_outcome::broke:
        return isRepeatable(context.matched->kind);
    case dispatch_outcome::answered:
    case dispatch_outcome::timedOut:
    case dispatch_outcome::abandoned:
        return false;
    }
    return false;
}

// Logs where a request with allowed regions goes, with the versions of the routes that decided and that are in force by now.
void relay_session::logRestricted(std::string_view event, const request_context &context, const region_name &region, std::string_view address) const
{
    if (context.allowedRegions.empty()) {
        return;
    }
    std::string names;
    for (const auto &each : context.allowedRegions) {
        names.append(names.empty() ? "" : ",").append(each.view());
    }
    const auto inForce = m_parts.routes.get();
    logRateLimited(log_level::info, event,
                   {{"request", context.id},
                    {"route", context.matched->name},
                    {"allowedRegions", names},
                    {"region", region.string()},
                    {"address", std::string(address)},
                    {"fromEntryHost", m_origin == session_origin::entryHost},
                    {"routesVersion", static_cast<std::int64_t>(context.regionsVersion)},
                    {"versionInForce", static_cast<std::int64_t>(inForce ? inForce->table().version : 0)}});
}

void relay_session::logFailure(const request_context &context, const dispatch_grant &grant, const attempt_outcome &outcome) const
{
    const auto now = m_parts.clock.now();
    logRateLimited(log_level::info, "attempt-failed",
                   {{"request", context.id},
                    {"service", context.service.string()},
                    {"instance", grant.instance.string()},
                    {"address", grant.address},
                    {"end", std::string(textOf(outcome.end))},
                    {"tookMs", static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - grant.grantedAt).count())},
                    {"afterMs", static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - context.arrivedAt).count())},
                    {"mayHaveRun", outcome.mayHaveRun},
                    {"retryAfterMs", static_cast<std::int64_t>(outcome.retryAfter ? outcome.retryAfter->count() : 0)},
                    {"running", static_cast<std::int64_t>(outcome.load ? outcome.load->running : 0)},
                    {"waiting", static_cast<std::int64_t>(outcome.load ? outcome.load->waiting : 0)}});
}

void relay_session::reportDeath(const request_context &context, const dispatch_grant &grant)
{
    const upstream_death death {.request = context.contentDigest, .instance = grant.instance, .incarnation = grant.incarnation};
    if (m_parts.poison.report(death, m_parts.clock.now())) {
        m_parts.deathListener.onUpstreamDeath(death);
        logEvent(
            log_level::warning, "upstream-died",
            {{"request", context.id}, {"instance", grant.instance.string()}, {"service", context.service.string()}, {"content", context.contentDigest.hex()}});
    }
}

// Sends the outcome to the caller: the upstream's response, or a local one that states no more about execution than is known.
asio::awaitable<bool> relay_session::sendResponse(request_context &context, attempt_outcome &outcome, upstream_attempt &attempt)
{
    const auto elapsedSinceArrival = std::chrono::duration_cast<microseconds>(m_parts.clock.now() - context.arrivedAt);
    m_parts.counters.observeHop(context.service, "entry", elapsedSinceArrival);
    if (m_callerLeft) {
        m_parts.counters.countAnswer(context.service, errorCode(errc::callerLeft));
        co_return false;
    }
    if (outcome.callerError != errc::ok) {
        m_lingerOnClose = true;
        co_await sendLocalResponse(&context, {.status = outcome.callerError == errc::bodyTooLarge ? 413U : 400U, .error = outcome.callerError});
        co_return false;
    }
    if (!outcome.response) {
        if (!context.mayHaveRun && m_state.drain.get()) {
            co_return co_await sendLocalResponse(&context, {.status = 503, .error = errc::stopping, .retryAfter = otherHostRetryAfter});
        }
        if (!context.mayHaveRun) {
            const bool isFromPeer = outcome.grant.instance.empty();
            const auto retryAfter = isFromPeer ? outcome.retryAfter.value_or(notReadyRetryAfter) : notReadyRetryAfter;
            co_return co_await sendLocalResponse(&context, {.status = 503, .error = errc::noUpstream, .retryAfter = retryAfter});
        }
        const bool isTimeout = outcome.end == dispatch_outcome::timedOut;
        co_return co_await sendLocalResponse(&context, {.status = isTimeout ? 504U : 502U, .error = isTimeout ? errc::deadlineExceeded : errc::upstreamFailed});
    }
    m_parts.counters.countAnswer(context.service, "answered");
    auto &response = *outcome.response;
    if (!response.isComplete()) {
        co_return co_await streamResponse(context, response, outcome.grant, attempt);
    }
    const bool keepOpen = isKeepAlive(context);
    const auto &head = response.parser->get();
    const bool isHeadRequest = context.parser.get().method() == http::verb::head;
    const bool bodiless = head.result() == http::status::no_content || head.result() == http::status::not_modified;
    body_framing framing {.length = response.body.size()};
    if (isHeadRequest || bodiless) {
        const auto advertisedLength = response.parser->content_length();
        framing.length = advertisedLength && !bodiless ? std::optional<std::uint64_t>(*advertisedLength) : std::nullopt;
    }
    const bool written = co_await write(makeCallerResponseHead(head.base(), framing, keepOpen), response.body);
    m_lingerOnClose = written && !keepOpen;
    co_return written &&keepOpen;
}

// Streams a response that exceeds the buffer. If the upstream's response is truncated, the caller must be able to tell: the
// announced length is not reached, or the last chunk is missing.
asio::awaitable<bool> relay_session::streamResponse(request_context &context, upstream_response &response, const dispatch_grant &grant,
                                                    upstream_attempt &attempt)
{
    const bool keepOpen = isKeepAlive(context);
    const auto length = response.parser->content_length();
    body_framing framing {.length = length ? std::optional<std::uint64_t>(*length) : std::nullopt, .chunked = !length};
    if (!co_await write(makeCallerResponseHead(response.parser->get().base(), framing, keepOpen), {})) {
        co_return false;
    }
    std::string payload = std::move(response.body);
    while (true) {
        const std::string framed = framing.chunked && !payload.empty() ? encodeChunk(payload) : payload;
        const bool isLast = response.parser->is_done();
        // The rest could not be read after the deadline.
        const bool isWritten = co_await writeUntil(isLast ? m_parts.clock.now() + writeTimeout : context.deadline, framed, {});
        if (!isWritten) {
            co_return false;
        }
        if (isLast) {
            break;
        }
        payload.clear();
        const auto failed = co_await readSomeBody(response.connection->stream, response.connection->buffer, *response.parser, payload, context.deadline);
        if (failed) {
            co_return false;
        }
    }
    attempt.releaseConnection(std::move(response.connection), *response.parser, grant);
    const bool written = !framing.chunked || co_await write(lastChunk, {});
    m_lingerOnClose = written && !keepOpen;
    co_return written &&keepOpen;
}

// Sends a response generated by the relay itself. Returns true when the connection stays open.
asio::awaitable<bool> relay_session::sendLocalResponse(const request_context *context, const local_response &response)
{
    const bool keepOpen = context != nullptr && isKeepAlive(*context);
    const bool isNotRun = response.status == 503 || response.status == 429;
    const auto code = std::string(errorCode(response.error));
    const std::string body = "{\"code\":\"" + code + "\",\"message\":" + jsonQuoted(make_error_code(response.error).message()) + "}";
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " ";
    head.append(http::obsolete_reason(http::int_to_status(response.status))).append("\r\nContent-Type: application/json\r\n");
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (isNotRun && response.retryAfter > milliseconds(0)) {
        head += "Retry-After: " + formatSeconds(response.retryAfter) + "\r\n";
    }
    if (context != nullptr && m_origin == session_origin::entryHost) {
        m_parts.headerCodec.encodeForPeer({.id = context->id, .notRun = !context->mayHaveRun}, head);
        encodeAttemptsSent(context->attemptsSent, head);
    }
    head += keepOpen ? "\r\n" : "Connection: close\r\n\r\n";
    if (context != nullptr) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_parts.clock.now() - context->arrivedAt);
        m_parts.counters.countAnswer(context->service, code);
        logRateLimited(log_level::warning, "request-refused",
                       {{"request", context->id},
                        {"service", context->service.string()},
                        {"organisation", context->organisation.string()},
                        {"status", static_cast<std::int64_t>(response.status)},
                        {"code", code},
                        {"afterMs", static_cast<std::int64_t>(elapsed.count())},
                        {"attempts", static_cast<std::int64_t>(context->attemptsSent)},
                        {"mayHaveRun", context->mayHaveRun},
                        {"tried", context->tried.empty() ? std::string() : context->tried.back().string()},
                        {"retryAfterMs", static_cast<std::int64_t>(response.retryAfter.count())},
                        {"load", response.refusal ? response.refusal->load : 0.0},
                        {"slots", response.refusal ? response.refusal->slots : 0.0},
                        {"waitMs", static_cast<std::int64_t>(response.refusal ? response.refusal->wait.count() : 0)},
                        {"allowedWaitMs", static_cast<std::int64_t>(response.refusal ? response.refusal->allowedWait.count() : 0)},
                        {"routesVersion", static_cast<std::int64_t>(context->routes ? context->routes->table().version : 0)}});
    }
    const bool isHeadRequest = context != nullptr && context->parser.get().method() == http::verb::head;
    const bool written = co_await write(head, isHeadRequest ? std::string_view() : std::string_view(body));
    m_lingerOnClose = m_lingerOnClose || !keepOpen;
    co_return written &&keepOpen;
}

std::string_view relay_session::receivedBytes() const
{
    return {static_cast<const char *>(m_buffer.data().data()), m_buffer.size()};
}

bool relay_session::isKeepAlive(const request_context &context) const
{
    return context.parser.is_done() && context.parser.keep_alive() && !m_state.drain.get() && !m_callerLeft;
}

asio::awaitable<bool> relay_session::write(std::string_view head, std::string_view body)
{
    co_return co_await writeUntil(m_parts.clock.now() + writeTimeout, head, body);
}

asio::awaitable<bool> relay_session::writeUntil(steady_time deadline, std::string_view head, std::string_view body)
{
    m_meter.setServing(false);
    m_stream.expires_at(deadline);
    const std::array buffers {asio::buffer(head), asio::buffer(body)};
    const auto [failed, count] = co_await asio::async_write(m_stream, buffers, noThrow);
    m_stream.expires_never();
    m_meter.setServing(true);
    m_bytesWritten += count;
    co_return !failed;
}

// Discards input that the caller still sends. Closing a socket with unread input would reset the connection, and the caller
// could lose the response.
asio::awaitable<void> relay_session::drainInput()
{
    const auto end = m_parts.clock.now() + lingerTimeout;
    m_stream.expires_at(end);
    bool more = true;
    while (more && m_parts.clock.now() < end) {
        m_buffer.consume(m_buffer.size());
        const auto [failed, count] = co_await m_stream.async_read_some(m_buffer.prepare(readBufferBytes), noThrow);
        more = !failed && count > 0;
    }
}

// Detects that the caller closes its connection while its request is in progress.
void relay_session::watchForCallerClose()
{
    if (m_watchingCaller) {
        return;
    }
    m_watchingCaller = true;
    error_code ignored;
    m_stream.socket().non_blocking(true, ignored);
    m_stream.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](const error_code &failed) {
        const auto self = weak.lock();
        if (self && !failed) {
            self->onCallerReadable();
        }
    });
}

void relay_session::onCallerReadable()
{
    m_watchingCaller = false;
    char byte = 0;
    error_code error;
    const auto count = m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block || count > 0) {
        return;
    }
    m_callerLeft = true;
    if (m_cancellableAttempt != nullptr) {
        m_cancellableAttempt->cancel();
    }
}

} // namespace hornbeampick
