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
// A connection between regions takes two of the longest delays; an opening packet that was lost is not waited for.
constexpr milliseconds connectLimit {700};
constexpr milliseconds goneLimit {300};
// The upstream stops at the deadline itself; its own answer then needs the way back.
constexpr milliseconds answerSlack {100};
constexpr std::uint32_t answerHeaderBytes = 65536;
// Answers to earlier requests that may come late on a connection, one after the other.
constexpr int lateAnswersMost = 4;
// Idle connections are used for this part of the time that the upstream keeps them.
constexpr int idleDivisor = 2;
constexpr milliseconds idlePreset {4000};

tcp::endpoint endpointOf(std::string_view address)
{
    const auto [ip, port] = parseEndpoint(address);
    error_code error;
    const auto parsed = asio::ip::make_address(ip, error);
    return {error ? asio::ip::address() : parsed, port};
}

body_framing framingOf(const caller_call &call)
{
    const auto length = call.parser.content_length();
    if (call.parser.chunked()) {
        if (call.bodyIsHeld()) {
            return {.length = call.body.size(), .chunked = false};
        }
        return {.length = std::nullopt, .chunked = true};
    }
    return {.length = length ? std::optional<std::uint64_t>(*length) : std::nullopt, .chunked = false};
}

} // namespace

upstream_attempt::upstream_attempt(const relay_parts &parts, upstream_links &links, beast::tcp_stream &callerStream, beast::flat_buffer &callerBuffer)
    : m_parts(parts)
    , m_links(links)
    , m_callerStream(callerStream)
    , m_callerBuffer(callerBuffer)
{
}

void upstream_attempt::cancel()
{
    m_cancelled = true;
    if (m_link) {
        m_link->stream.cancel();
    }
}

asio::awaitable<attempt_outcome> upstream_attempt::run(caller_call &call, const dispatch_grant &grant)
{
    attempt_outcome outcome;
    m_link = m_links.take(grant.address, grant.instance, grant.incarnation, m_parts.clock.now());
    if (!m_link && !co_await connect(call, grant)) {
        outcome.end = m_cancelled ? dispatch_end::abandoned : dispatch_end::unreachable;
        co_return outcome;
    }
    if (m_cancelled) {
        co_return outcome;
    }
    outcome.mayHaveRun = true;
    ++call.sent;
    m_link->stream.expires_at(call.deadline + answerSlack);
    if (co_await sendRequest(call, grant, outcome)) {
        co_await readAnswer(call, grant, outcome);
    }
    if (m_cancelled) {
        outcome.end = dispatch_end::abandoned;
    }
    if (outcome.end == dispatch_end::broke) {
        m_link.reset();
        outcome.upstreamDied = co_await isGone(grant.address);
    }
    co_return outcome;
}

asio::awaitable<bool> upstream_attempt::connect(caller_call &call, const dispatch_grant &grant)
{
    m_link = std::make_unique<upstream_link>(co_await asio::this_coro::executor);
    m_link->stream.expires_after(std::min(connectLimit, std::max(call.remaining(m_parts.clock.now()), milliseconds(1))));
    const auto [failed] = co_await m_link->stream.async_connect(endpointOf(grant.address), noThrow);
    if (failed) {
        co_return false;
    }
    error_code ignored;
    m_link->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return true;
}

// Returns true when an answer is to be read.
asio::awaitable<bool> upstream_attempt::sendRequest(caller_call &call, const dispatch_grant &grant, attempt_outcome &outcome)
{
    const auto framing = framingOf(call);
    const auto left = std::max(call.remaining(m_parts.clock.now()), milliseconds(1));
    const std::string head = upstreamHead(call.parser.get().base(), framing, m_parts.dialect, {.instance = grant.instance, .timeLeft = left});
    const std::string body = framing.chunked && !call.body.empty() ? chunkOf(call.body) : std::string();
    const std::array buffers {asio::buffer(head), framing.chunked ? asio::buffer(body) : asio::buffer(call.body)};
    const auto [failed, count] = co_await asio::async_write(m_link->stream, buffers, noThrow);
    if (failed) {
        outcome.end = endOf(failed);
        co_return false;
    }
    if (call.bodyIsHeld()) {
        co_return true;
    }
    co_return co_await passBodyOn(call, outcome);
}

// A long body goes through in pieces, until the upstream answers.
asio::awaitable<bool> upstream_attempt::passBodyOn(caller_call &call, attempt_outcome &outcome)
{
    call.bodyPassedOn = true;
    const bool chunked = call.parser.chunked();
    m_callerStream.expires_at(call.deadline);
    std::string piece;
    while (!call.parser.is_done()) {
        error_code ignored;
        if (m_link->stream.socket().available(ignored) > 0) {
            m_spoilt = true;
            co_return true;
        }
        piece.clear();
        const auto broken = co_await readPiece(m_callerStream, m_callerBuffer, call.parser, piece);
        if (broken) {
            outcome.callerFault = broken == http::error::body_limit ? errc::bodyTooLarge : errc::callerLeft;
            outcome.end = dispatch_end::abandoned;
            co_return false;
        }
        if (chunked && !piece.empty()) {
            piece = chunkOf(piece);
        }
        const auto [failed, count] = co_await asio::async_write(m_link->stream, asio::buffer(piece), noThrow);
        if (failed) {
            // It may have answered before it closed.
            m_spoilt = true;
            co_return true;
        }
    }
    if (chunked) {
        const auto [failed, count] = co_await asio::async_write(m_link->stream, asio::buffer(lastChunk), noThrow);
        m_spoilt = m_spoilt || static_cast<bool>(failed);
    }
    m_callerStream.expires_never();
    co_return true;
}

asio::awaitable<void> upstream_attempt::readAnswer(caller_call &call, const dispatch_grant &grant, attempt_outcome &outcome)
{
    const bool isHead = call.parser.get().method() == http::verb::head;
    for (int late = 0; late < lateAnswersMost;) {
        upstream_answer answer;
        answer.parser = std::make_unique<upstream_answer::parser_type>();
        answer.parser->header_limit(answerHeaderBytes);
        answer.parser->body_limit(boost::none);
        answer.parser->skip(isHead);
        const auto [failed, count] = co_await http::async_read_header(m_link->stream, m_link->buffer, *answer.parser, noThrow);
        if (failed) {
            outcome.end = endOf(failed);
            co_return;
        }
        if (answer.status() < static_cast<unsigned>(http::status::ok)) {
            continue;
        }
        const auto head = m_parts.dialect.readAnswer(beast_header(answer.parser->get()));
        const bool isOurs = head.id == call.id;
        const bool held = co_await readHeldBody(answer);
        if (!isOurs) {
            // A late answer to an earlier request; ours may still follow.
            if (!held || !answer.isWhole() || head.id.empty() || answer.parser->need_eof()) {
                outcome.end = dispatch_end::broke;
                co_return;
            }
            ++late;
            continue;
        }
        outcome.load = head.load;
        outcome.coldFor = head.coldFor;
        if (head.notRun || answer.status() == static_cast<unsigned>(http::status::misdirected_request)) {
            outcome.mayHaveRun = false;
            outcome.end = answer.status() == static_cast<unsigned>(http::status::misdirected_request) ? dispatch_end::misdirected : dispatch_end::shed;
        } else if (!held || !head.isMarked) {
            outcome.end = dispatch_end::broke;
            co_return;
        } else {
            const bool isFailure = http::to_status_class(answer.parser->get().result()) == http::status_class::server_error;
            outcome.end = isFailure ? dispatch_end::failed : dispatch_end::answered;
        }
        if (answer.isWhole()) {
            keep(std::move(m_link), *answer.parser, grant);
        } else {
            answer.link = std::move(m_link);
        }
        if (outcome.mayHaveRun) {
            outcome.answer = std::move(answer);
        }
        co_return;
    }
    outcome.end = dispatch_end::broke;
}

// Reads the body as far as it is held; false when it broke off.
asio::awaitable<bool> upstream_attempt::readHeldBody(upstream_answer &answer)
{
    while (!answer.parser->is_done() && answer.body.size() < heldBodyBytes) {
        const auto failed = co_await readPiece(m_link->stream, m_link->buffer, *answer.parser, answer.body);
        if (failed) {
            co_return false;
        }
    }
    co_return true;
}

void upstream_attempt::keep(std::unique_ptr<upstream_link> link, const upstream_answer::parser_type &parser, const dispatch_grant &grant)
{
    const bool reusable = !m_spoilt && parser.keep_alive() && link->buffer.size() == 0;
    if (!reusable) {
        return;
    }
    const auto stated = keepAliveTimeout(beast_header(parser.get()).value("Keep-Alive"));
    const auto idle = stated ? std::chrono::duration_cast<milliseconds>(*stated) / idleDivisor : idlePreset;
    link->usableUntil = m_parts.clock.now() + idle;
    m_links.keep(grant.address, grant.instance, grant.incarnation, std::move(link));
}

asio::awaitable<bool> upstream_attempt::isGone(const std::string &address)
{
    beast::tcp_stream probe(co_await asio::this_coro::executor);
    probe.expires_after(goneLimit);
    const auto [failed] = co_await probe.async_connect(endpointOf(address), noThrow);
    co_return failed == asio::error::connection_refused;
}

dispatch_end upstream_attempt::endOf(const error_code &error) const
{
    return error == beast::error::timeout ? dispatch_end::timedOut : dispatch_end::broke;
}

} // namespace hornbeampick
