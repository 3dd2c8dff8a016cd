#include "relay_session.h"

#include "body_reader.h"
#include "message_head.h"
#include "observe/log.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
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
constexpr std::size_t readBytes = 4096;
// Connections without a request end this long after the time that callers are told.
constexpr milliseconds idleSlack {1000};
constexpr milliseconds writeLimit {30000};
constexpr milliseconds lingerTime {200};
// Attempts that sent nothing, since no connection came about.
constexpr std::uint32_t unreachableMost = 3;
// Retry-After when no routes are known yet: about the time a host needs to learn them.
constexpr milliseconds notReadyRetry {500};
// Below this a request is not sent again: no upstream answers so fast.
constexpr milliseconds leastWorthSending {20};

// A request that is counted as active until the end of the scope.
class active_request
{
public:
    explicit active_request(std::atomic<std::size_t> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~active_request()
    {
        --m_count;
    }
    active_request(const active_request &) = delete;
    active_request &operator=(const active_request &) = delete;

private:
    std::atomic<std::size_t> &m_count;
};

std::string secondsText(milliseconds span)
{
    std::array<char, 24> text {};
    std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(span.count()) / 1000);
    return text.data();
}

own_answer answerTo(const error_code &error)
{
    if (error == http::error::header_limit) {
        return {.status = 431, .error = errc::headerTooLarge};
    }
    if (error == http::error::body_limit) {
        return {.status = 413, .error = errc::bodyTooLarge};
    }
    return {.status = 400, .error = errc::malformedRequest};
}

bool wantsContinue(const http::fields &fields)
{
    return beast::iequals(fields[http::field::expect], "100-continue");
}

} // namespace

relay_session::relay_session(tcp::socket socket, const relay_parts &parts, relay_state &state, upstream_links &links)
    : m_stream(std::move(socket))
    , m_parts(parts)
    , m_state(state)
    , m_links(links)
{
}

asio::awaitable<void> relay_session::run()
{
    error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
    bool again = true;
    while (again) {
        again = co_await serveOne();
    }
    if (m_lingers) {
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        co_await linger();
    }
    m_stream.close();
}

caller_limits relay_session::limits() const
{
    const auto routes = m_parts.routes.get();
    return routes ? routes->table().limits : caller_limits {};
}

asio::awaitable<bool> relay_session::serveOne()
{
    const auto allowed = limits();
    caller_call call;
    call.parser.header_limit(allowed.headerBytes);
    call.parser.body_limit(allowed.bodyBytes);
    if (m_buffer.size() == 0) {
        m_stream.expires_after(allowed.idleTime + idleSlack);
        const auto [failed, count] = co_await m_stream.async_read_some(m_buffer.prepare(readBytes), noThrow);
        if (failed) {
            co_return false;
        }
        m_buffer.commit(count);
    }
    const active_request active(m_state.active);
    m_stream.expires_after(allowed.headerTime);
    const auto [failed, count] = co_await http::async_read_header(m_stream, m_buffer, call.parser, noThrow);
    if (failed == http::error::end_of_stream || failed == http::error::partial_message || failed == beast::error::timeout) {
        co_return false;
    }
    if (failed) {
        m_lingers = true;
        co_await refuse(nullptr, answerTo(failed));
        co_return false;
    }
    m_stream.expires_never();
    call.arrivedAt = m_parts.clock.now();
    co_return co_await carry(call);
}

asio::awaitable<bool> relay_session::carry(caller_call &call)
{
    const auto refused = prepare(call);
    if (refused.error != errc::ok) {
        co_return co_await refuse(&call, refused);
    }
    if (wantsContinue(call.parser.get()) && !call.parser.is_done()) {
        constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        if (!co_await write(interim, {})) {
            co_return false;
        }
    }
    if (!co_await readHeldBody(call)) {
        co_return false;
    }
    call.content = digestOf({call.parser.get().method_string(), call.parser.get().target(), call.body});
    if (m_parts.poison.isQuarantined(call.content, m_parts.clock.now())) {
        co_return co_await refuse(&call, {.status = 503, .error = errc::quarantined, .retryAfter = call.matched->timeout});
    }
    if (call.bodyIsHeld()) {
        watchCaller();
    }
    co_return co_await tryUpstreams(call);
}

// Finds the route and the deadline; anything but `ok` refuses the request.
own_answer relay_session::prepare(caller_call &call) const
{
    const auto &request = call.parser.get();
    if (request.count(http::field::host) != 1 || request.target().empty()) {
        return {.status = 400, .error = errc::malformedRequest};
    }
    call.routes = m_parts.routes.get();
    if (!call.routes || m_state.closed) {
        return {.status = 503, .error = errc::notReady, .retryAfter = notReadyRetry};
    }
    const auto head = m_parts.dialect.readCall(beast_header(request));
    call.id = head.id;
    call.object = head.object;
    call.matched = call.routes->find(request[http::field::host], request.target());
    if (call.matched == nullptr) {
        return {.status = 404, .error = errc::noRoute};
    }
    call.service = chooseService(*call.matched, call.id);
    call.deadline = call.arrivedAt + std::min(head.timeLimit.value_or(call.matched->timeout), call.matched->timeout);
    return {.status = 200, .error = errc::ok};
}

// Returns false when the caller's body did not come; it has then been answered where that is possible.
asio::awaitable<bool> relay_session::readHeldBody(caller_call &call)
{
    while (!call.parser.is_done() && call.body.size() < heldBodyBytes) {
        m_stream.expires_at(call.deadline);
        const auto failed = co_await readPiece(m_stream, m_buffer, call.parser, call.body);
        if (failed) {
            m_lingers = true;
            if (failed != beast::error::timeout && failed != http::error::partial_message) {
                co_await refuse(&call, answerTo(failed));
            }
            co_return false;
        }
    }
    m_stream.expires_never();
    co_return true;
}

dispatch_verdict relay_session::choose(const caller_call &call, steady_time now)
{
    const auto &matched = *call.matched;
    const bool keyed = matched.sticky && !call.object.empty();
    return m_parts.dispatch.take({
        .service = call.service,
        .object = keyed ? std::optional(stableHash(call.object, stableHash(matched.name))) : std::nullopt,
        .rank = matched.rank,
        .targetLatency = matched.targetLatency,
        .elapsed = std::chrono::duration_cast<milliseconds>(now - call.arrivedAt),
        .remaining = call.remaining(now),
        .allowedRegions = matched.allowedRegions,
        .tried = call.tried,
    });
}

// One upstream after the other, as long as the request may be sent again.
asio::awaitable<bool> relay_session::tryUpstreams(caller_call &call)
{
    attempt_outcome outcome;
    std::optional<dispatch_grant> last;
    std::uint32_t unreachable = 0;
    upstream_attempt attempt(m_parts, m_links, m_stream, m_buffer);
    while (true) {
        const auto now = m_parts.clock.now();
        const bool repeats = call.sent > 0;
        if (repeats && !m_parts.retries.take(call.service)) {
            break;
        }
        const auto verdict = choose(call, now);
        if (const auto *refused = std::get_if<dispatch_refusal>(&verdict)) {
            if (repeats) {
                m_parts.retries.giveBack(call.service);
            }
            if (outcome.answer || call.mayHaveRun) {
                break;
            }
            co_return co_await refuse(&call, {.status = 503, .error = refused->error, .retryAfter = refused->retryAfter, .decidedBy = *refused});
        }
        last = std::get<dispatch_grant>(verdict);
        if (repeats) {
            m_parts.counters.countRetry(call.service);
        } else {
            m_parts.retries.onFirstAttempt(call.service);
        }
        m_abandonable = call.matched->runOnce ? nullptr : &attempt;
        auto next = co_await attempt.run(call, *last);
        m_abandonable = nullptr;
        const auto setAside = m_parts.dispatch.finish(*last, next.end, next.load);
        if (setAside) {
            logBounded(log_level::warning, "upstream-set-aside",
                       {{"instance", last->instance.string()}, {"service", call.service.string()}, {"forMs", static_cast<std::int64_t>(setAside->count())}});
        }
        if (next.end != dispatch_end::answered) {
            noteFailure(call, *last, next);
        }
        if (next.coldFor) {
            m_parts.dispatch.noteCold(call.service, last->instance, *next.coldFor);
        }
        if (next.upstreamDied) {
            noteDeath(call, *last);
        }
        call.mayHaveRun = call.mayHaveRun || next.mayHaveRun;
        call.tried.push_back(last->instance);
        const bool betterThanBefore = next.answer || !outcome.answer;
        if (betterThanBefore) {
            outcome = std::move(next);
        }
        unreachable += outcome.end == dispatch_end::unreachable ? 1 : 0;
        if (m_callerLeft || !mayTryAgain(call, outcome) || unreachable > unreachableMost) {
            break;
        }
    }
    co_return co_await deliver(call, outcome, *last, attempt);
}

bool relay_session::mayTryAgain(const caller_call &call, const attempt_outcome &outcome)
{
    if (call.bodyPassedOn || call.sent >= call.matched->attempts || call.remaining(m_parts.clock.now()) < leastWorthSending) {
        return false;
    }
    switch (outcome.end) {
    case dispatch_end::unreachable:
    case dispatch_end::shed:
    case dispatch_end::misdirected:
        return true;
    case dispatch_end::failed:
    case dispatch_end::broke:
        return !call.matched->runOnce;
    case dispatch_end::answered:
    case dispatch_end::timedOut:
    case dispatch_end::abandoned:
        return false;
    }
    return false;
}

void relay_session::noteFailure(const caller_call &call, const dispatch_grant &grant, const attempt_outcome &outcome) const
{
    const auto now = m_parts.clock.now();
    logBounded(log_level::info, "attempt-failed",
               {{"request", call.id},
                {"service", call.service.string()},
                {"instance", grant.instance.string()},
                {"address", grant.address},
                {"end", std::string(textOf(outcome.end))},
                {"tookMs", static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - grant.grantedAt).count())},
                {"afterMs", static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - call.arrivedAt).count())},
                {"mayHaveRun", outcome.mayHaveRun},
                {"running", static_cast<std::int64_t>(outcome.load ? outcome.load->running : 0)},
                {"waiting", static_cast<std::int64_t>(outcome.load ? outcome.load->waiting : 0)}});
}

void relay_session::noteDeath(const caller_call &call, const dispatch_grant &grant)
{
    const upstream_death death {.request = call.content, .instance = grant.instance, .incarnation = grant.incarnation};
    if (m_parts.poison.report(death, m_parts.clock.now())) {
        m_parts.deaths.onDeath(death);
        logEvent(log_level::warning, "upstream-died",
                 {{"request", call.id}, {"instance", grant.instance.string()}, {"service", call.service.string()}, {"content", call.content.hex()}});
    }
}

// Gives the caller what came of its request: the upstream's answer, or an own one that says truly what is known.
asio::awaitable<bool> relay_session::deliver(caller_call &call, attempt_outcome &outcome, const dispatch_grant &grant, upstream_attempt &attempt)
{
    const auto taken = std::chrono::duration_cast<microseconds>(m_parts.clock.now() - call.arrivedAt);
    m_parts.counters.observeHop(call.service, "entry", taken);
    if (m_callerLeft) {
        m_parts.counters.countAnswer(call.service, errorCode(errc::callerLeft));
        co_return false;
    }
    if (outcome.callerFault != errc::ok) {
        m_lingers = true;
        co_await refuse(&call, {.status = outcome.callerFault == errc::bodyTooLarge ? 413U : 400U, .error = outcome.callerFault});
        co_return false;
    }
    if (!outcome.answer) {
        if (!call.mayHaveRun) {
            co_return co_await refuse(&call, {.status = 503, .error = errc::noUpstream, .retryAfter = notReadyRetry});
        }
        const bool late = outcome.end == dispatch_end::timedOut;
        co_return co_await refuse(&call, {.status = late ? 504U : 502U, .error = late ? errc::deadlineExceeded : errc::upstreamFailed});
    }
    m_parts.counters.countAnswer(call.service, "answered");
    auto &answer = *outcome.answer;
    if (!answer.isWhole()) {
        co_return co_await deliverLong(call, answer, grant, attempt);
    }
    const bool keep = staysOpen(call);
    const auto &head = answer.parser->get();
    const bool isHead = call.parser.get().method() == http::verb::head;
    const bool bodiless = head.result() == http::status::no_content || head.result() == http::status::not_modified;
    body_framing framing {.length = answer.body.size()};
    if (isHead || bodiless) {
        const auto stated = answer.parser->content_length();
        framing.length = stated && !bodiless ? std::optional<std::uint64_t>(*stated) : std::nullopt;
    }
    const bool written = co_await write(callerHead(head.base(), framing, keep), answer.body);
    co_return written &&keep;
}

// An answer that breaks off must not look whole: its length stays unmet, or its last chunk is missing.
asio::awaitable<bool> relay_session::deliverLong(caller_call &call, upstream_answer &answer, const dispatch_grant &grant, upstream_attempt &attempt)
{
    const bool keep = staysOpen(call);
    const auto length = answer.parser->content_length();
    body_framing framing {.length = length ? std::optional<std::uint64_t>(*length) : std::nullopt, .chunked = !length};
    if (!co_await write(callerHead(answer.parser->get().base(), framing, keep), {})) {
        co_return false;
    }
    answer.link->stream.expires_at(call.deadline);
    std::string piece = std::move(answer.body);
    while (true) {
        const std::string framed = framing.chunked && !piece.empty() ? chunkOf(piece) : piece;
        if (!co_await write(framed, {})) {
            co_return false;
        }
        if (answer.parser->is_done()) {
            break;
        }
        piece.clear();
        const auto failed = co_await readPiece(answer.link->stream, answer.link->buffer, *answer.parser, piece);
        if (failed) {
            co_return false;
        }
    }
    attempt.keep(std::move(answer.link), *answer.parser, grant);
    const bool written = !framing.chunked || co_await write(lastChunk, {});
    co_return written &&keep;
}

// Answers for the system itself. Returns true when the connection stays open.
asio::awaitable<bool> relay_session::refuse(const caller_call *call, const own_answer &answer)
{
    const bool keep = call != nullptr && staysOpen(*call);
    const bool promises = answer.status == 503;
    const auto code = std::string(errorCode(answer.error));
    const std::string body = "{\"code\":\"" + code + "\",\"message\":" + jsonQuoted(make_error_code(answer.error).message()) + "}";
    std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    head.append(http::obsolete_reason(http::int_to_status(answer.status))).append("\r\nContent-Type: application/json\r\n");
    head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (promises && answer.retryAfter > milliseconds(0)) {
        head += "Retry-After: " + secondsText(answer.retryAfter) + "\r\n";
    }
    head += keep ? "\r\n" : "Connection: close\r\n\r\n";
    if (call != nullptr) {
        const auto elapsed = std::chrono::duration_cast<milliseconds>(m_parts.clock.now() - call->arrivedAt);
        m_parts.counters.countAnswer(call->service, code);
        logBounded(log_level::warning, "request-refused",
                   {{"request", call->id},
                    {"service", call->service.string()},
                    {"status", static_cast<std::int64_t>(answer.status)},
                    {"code", code},
                    {"afterMs", static_cast<std::int64_t>(elapsed.count())},
                    {"attempts", static_cast<std::int64_t>(call->sent)},
                    {"mayHaveRun", call->mayHaveRun},
                    {"tried", call->tried.empty() ? std::string() : call->tried.back().string()},
                    {"retryAfterMs", static_cast<std::int64_t>(answer.retryAfter.count())},
                    {"load", answer.decidedBy ? answer.decidedBy->load : 0.0},
                    {"slots", answer.decidedBy ? answer.decidedBy->slots : 0.0},
                    {"waitMs", static_cast<std::int64_t>(answer.decidedBy ? answer.decidedBy->wait.count() : 0)},
                    {"allowedWaitMs", static_cast<std::int64_t>(answer.decidedBy ? answer.decidedBy->allowedWait.count() : 0)},
                    {"routesVersion", static_cast<std::int64_t>(call->routes ? call->routes->table().version : 0)}});
    }
    const bool isHead = call != nullptr && call->parser.get().method() == http::verb::head;
    const bool written = co_await write(head, isHead ? std::string_view() : std::string_view(body));
    m_lingers = m_lingers || !keep;
    co_return written &&keep;
}

bool relay_session::staysOpen(const caller_call &call) const
{
    return call.parser.is_done() && call.parser.keep_alive() && !m_state.draining && !m_callerLeft;
}

asio::awaitable<bool> relay_session::write(std::string_view head, std::string_view body)
{
    m_stream.expires_after(writeLimit);
    const std::array buffers {asio::buffer(head), asio::buffer(body)};
    const auto [failed, count] = co_await asio::async_write(m_stream, buffers, noThrow);
    m_stream.expires_never();
    co_return !failed;
}

// Reads what the caller still sends, so that closing does not reset the answer away.
asio::awaitable<void> relay_session::linger()
{
    m_stream.expires_after(lingerTime);
    bool more = true;
    while (more) {
        m_buffer.consume(m_buffer.size());
        const auto [failed, count] = co_await m_stream.async_read_some(m_buffer.prepare(readBytes), noThrow);
        more = !failed && count > 0;
    }
}

// Learns when the caller leaves while its request is carried.
void relay_session::watchCaller()
{
    if (m_watching) {
        return;
    }
    m_watching = true;
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
    m_watching = false;
    char byte = 0;
    error_code error;
    const auto count = m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error == asio::error::would_block || count > 0) {
        return;
    }
    m_callerLeft = true;
    if (m_abandonable != nullptr) {
        m_abandonable->cancel();
    }
}

} // namespace hornbeampick
