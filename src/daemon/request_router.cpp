#include "daemon/request_router.h"

#include "daemon/await_callback.h"
#include "steering/host_choice.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr int maxRetries = 2;
constexpr std::size_t maxHostAttempts = 3;
// Backoff between two claims of a key that another attempt holds; doubles up to the maximum.
constexpr milliseconds initialClaimBackoff {10};
constexpr milliseconds maxClaimBackoff {160};

proxied_answer answerOf(const stored_answer &stored)
{
    proxied_answer answer;
    answer.outcome = run_outcome::run;
    answer.status = stored.status;
    answer.headers = stored.headers;
    answer.body = stored.body;
    return answer;
}

// Returns the answer to the caller when its key was not granted.
proxied_answer refusalOf(const claim_result &claimed)
{
    switch (claimed.outcome) {
    case claim_outcome::finished:
        return claimed.answer ? answerOf(*claimed.answer) : makeErrorAnswer(errc::answerNotKept, run_outcome::run);
    case claim_outcome::mismatch:
        return makeErrorAnswer(errc::keyReused, run_outcome::notRun);
    case claim_outcome::closed:
        return makeErrorAnswer(errc::epochClosed, run_outcome::unknown);
    case claim_outcome::held:
        return makeErrorAnswer(errc::claimHeld, run_outcome::unknown);
    case claim_outcome::pending:
    case claim_outcome::granted:
    case claim_outcome::unavailable:
        break;
    }
    return makeErrorAnswer(errc::claimUnavailable, run_outcome::unknown);
}

std::string_view textOf(claim_outcome outcome)
{
    switch (outcome) {
    case claim_outcome::pending:
        return "pending";
    case claim_outcome::granted:
        return "granted";
    case claim_outcome::finished:
        return "finished";
    case claim_outcome::held:
        return "held";
    case claim_outcome::mismatch:
        return "mismatch";
    case claim_outcome::closed:
        return "closed";
    case claim_outcome::unavailable:
        return "unavailable";
    }
    return "";
}

// Returns true when the request did not run and another host or region may accept it.
bool mayTryAnotherHost(const proxied_answer &answer)
{
    if (answer.outcome != run_outcome::notRun) {
        return false;
    }
    switch (answer.error) {
    case errc::noUpstream:
    case errc::overloaded:
    case errc::capReached:
    case errc::notOwner:
    case errc::stopping:
    case errc::unreachable:
    case errc::upstreamShed:
        return true;
    default:
        return false;
    }
}

// Load does not justify crossing to a third region, missing upstreams do: overload and reached caps count only if `shifted` is set.
bool mayTryAnotherRegion(const proxied_answer &answer, bool shifted)
{
    return mayTryAnotherHost(answer) && (shifted || (answer.error != errc::overloaded && answer.error != errc::capReached));
}

bool mayRetry(const proxied_answer &answer)
{
    return answer.outcome == run_outcome::unknown && (answer.error == errc::upstreamFailed || answer.error == errc::peerUnreachable);
}

} // namespace

request_router::request_router(const request_router_parts &parts)
    : m_parts(parts)
{
}

asio::awaitable<proxied_answer> request_router::serve(caller_request request)
{
    const auto span = m_parts.traces.begin("entry", trace_context::parse(request.upstreamRequest.traceParent));
    const auto startedAt = m_parts.clock.now();
    request.upstreamRequest.traceParent = span.context.header();
    proxied_answer answer;
    if (request.upstreamRequest.idempotent) {
        answer = co_await serveWithRetries(request);
    } else {
        answer = co_await serveClaimed(request);
    }
    const std::string_view code = answer.isFromUpstream() ? "answered" : errorCode(answer.error);
    m_parts.counters.countAnswer(request.upstreamRequest.service, code);
    m_parts.counters.observeHop(request.upstreamRequest.service, "entry", std::chrono::duration_cast<microseconds>(m_parts.clock.now() - startedAt));
    m_parts.traces.end(span, {{"service", request.upstreamRequest.service.view()}, {"code", code}, {"outcome", textOf(answer.outcome)}});
    co_return answer;
}

asio::awaitable<proxied_answer> request_router::serveClaimed(caller_request &request)
{
    const auto self = m_parts.members.self();
    const claim_attempt attempt {
        .epoch = *request.epoch,
        .key = request.upstreamRequest.service.string() + "/" + request.key,
        .content = request.upstreamRequest.contentDigest(),
        .owner = {.host = self.host, .incarnation = self.incarnation, .number = m_parts.gate.nextNumber()},
    };
    const auto startedAt = m_parts.clock.now();
    const auto span = m_parts.traces.begin("claim", trace_context::parse(request.upstreamRequest.traceParent));
    const auto claimed = co_await claim(attempt, request.upstreamRequest.deadline);
    m_parts.counters.countClaim(textOf(claimed.outcome));
    m_parts.counters.observeHop(request.upstreamRequest.service, "claim", std::chrono::duration_cast<microseconds>(m_parts.clock.now() - startedAt));
    m_parts.traces.end(span, {{"outcome", textOf(claimed.outcome)}});
    if (claimed.outcome != claim_outcome::granted) {
        co_return refusalOf(claimed);
    }
    auto answer = co_await tryRegions(request);
    if (answer.outcome == run_outcome::notRun) {
        m_parts.claims.release(attempt);
    } else if (answer.isFromUpstream()) {
        const stored_answer stored {.status = answer.status, .headers = answer.headers, .body = answer.body};
        co_await m_parts.claims.finish(attempt, stored);
    }
    // After an unknown outcome the claim is kept, so that the request is never run again under this key.
    co_return answer;
}

asio::awaitable<claim_result> request_router::claim(const claim_attempt &attempt, steady_time deadline)
{
    milliseconds backoff = initialClaimBackoff;
    while (true) {
        auto claimed = co_await m_parts.claims.acquire(attempt, deadline);
        const bool mayWait = claimed.outcome == claim_outcome::held && isHolderAlive(claimed.holder);
        if (!mayWait || m_parts.clock.now() + backoff >= deadline) {
            co_return claimed;
        }
        const milliseconds jitter(m_parts.random.below(static_cast<std::uint64_t>(backoff.count()) + 1));
        asio::steady_timer timer(co_await asio::this_coro::executor, backoff + jitter);
        co_await timer.async_wait(asio::use_awaitable);
        backoff = std::min(backoff * 2, maxClaimBackoff);
    }
}

// Competing attempts that each hold some grants release them; only the holder of a majority proceeds.
bool request_router::isHolderAlive(const claim_owner &holder) const
{
    const auto host = m_parts.members.find(holder.host);
    return host && host->state != member_state::dead && host->incarnation == holder.incarnation;
}

asio::awaitable<proxied_answer> request_router::serveWithRetries(caller_request &request)
{
    auto answer = co_await tryRegions(request);
    if (answer.outcome != run_outcome::notRun) {
        m_parts.budget.onFirstAttempt(request.upstreamRequest.service);
    }
    for (int retry = 0; retry < maxRetries && mayRetry(answer); ++retry) {
        const bool late = m_parts.clock.now() >= request.upstreamRequest.deadline;
        if (late || !m_parts.budget.take(request.upstreamRequest.service)) {
            break;
        }
        m_parts.counters.countRetry(request.upstreamRequest.service);
        request.upstreamRequest.avoid = answer.instance.empty() ? std::nullopt : std::optional(answer.instance);
        auto next = co_await tryRegions(request);
        if (next.outcome == run_outcome::notRun) {
            // The retry sent nothing, so the unknown outcome of the first attempt stands.
            m_parts.budget.refund(request.upstreamRequest.service);
            break;
        }
        answer = std::move(next);
    }
    co_return answer;
}

asio::awaitable<proxied_answer> request_router::tryRegions(caller_request &request)
{
    if (m_parts.poison.isQuarantined(request.upstreamRequest.contentDigest(), m_parts.clock.now())) {
        co_return makeErrorAnswer(errc::quarantined, run_outcome::notRun);
    }
    const auto table = m_parts.table.get();
    const auto choice = table->choose(table->serviceIndex(request.upstreamRequest.service.view()), request.client);
    request.upstreamRequest.home = table->region(choice.home);
    request.upstreamRequest.shifted = choice.shifted();
    proxied_answer first;
    bool tried = false;
    for (const auto &region : regionOrder(*table, choice)) {
        auto answer = co_await tryRegion(request.upstreamRequest, region);
        const bool tryNext = mayTryAnotherRegion(answer, request.upstreamRequest.shifted || choice.reason == steering_reason::homeBusy);
        if (!tried || !mayTryAnotherHost(answer)) {
            first = std::move(answer);
        }
        tried = true;
        if (!tryNext) {
            co_return first;
        }
        request.upstreamRequest.shifted = false;
    }
    co_return first;
}

asio::awaitable<proxied_answer> request_router::tryRegion(proxied_request &request, const region_name &region)
{
    proxied_answer answer = makeErrorAnswer(errc::noUpstream, run_outcome::notRun);
    for (const auto &host : candidateHosts(request, region)) {
        if (m_parts.clock.now() >= request.deadline) {
            co_return makeErrorAnswer(errc::deadlineExceeded, run_outcome::notRun);
        }
        if (host == m_parts.self.host) {
            answer = co_await m_parts.runner.run(request);
        } else if (const auto owner = m_parts.members.find(host)) {
            answer = co_await forward(request, *owner);
        }
        if (!mayTryAnotherHost(answer)) {
            break;
        }
    }
    co_return answer;
}

asio::awaitable<proxied_answer> request_router::forward(const proxied_request &request, const fleet_member &owner)
{
    const auto startedAt = m_parts.clock.now();
    if (owner.region != m_parts.self.region) {
        const cap_key link {.kind = cap_kind::link, .service = {}, .other = owner.region};
        if (!m_parts.caps.reserve(link, request.bytes(), startedAt)) {
            co_return makeErrorAnswer(errc::capReached, run_outcome::notRun, window_limiter::window);
        }
    }
    const auto span = m_parts.traces.begin("forward", trace_context::parse(request.traceParent));
    forward_message message {.request = request, .senderHost = m_parts.self.host, .senderRegion = m_parts.self.region, .timeout = {}};
    message.timeout = std::max(std::chrono::duration_cast<milliseconds>(request.deadline - startedAt), milliseconds(1));
    message.request.traceParent = span.context.header();
    m_parts.loads.onForwarded(request.service, owner.host);
    auto start = [this, &owner, &message](std::function<void(result<forward_result>)> done) {
        return m_parts.peers.forward(owner.rpcAddress, message, std::move(done));
    };
    const auto reply = co_await awaitCallback<result<forward_result>>(std::move(start));
    const auto now = m_parts.clock.now();
    m_parts.loads.onForwardEnded(request.service, owner.host, reply ? &reply.value().load : nullptr, now);
    m_parts.counters.observeHop(request.service, "forward", std::chrono::duration_cast<microseconds>(now - startedAt));
    m_parts.traces.end(span, {{"service", request.service.view()}, {"host", owner.host.view()}});
    if (reply) {
        co_return reply.value().answer;
    }
    const auto error = static_cast<errc>(reply.error().value());
    if (error == errc::unreachable) {
        co_return makeErrorAnswer(errc::unreachable, run_outcome::notRun);
    }
    co_return makeErrorAnswer(error == errc::timedOut ? errc::deadlineExceeded : errc::peerUnreachable, run_outcome::unknown);
}

std::vector<region_name> request_router::regionOrder(const steering_table &table, const steering_choice &choice) const
{
    std::vector<region_name> order;
    // A caller that connects to its busy home region despite steering is served there if possible, because the links to other regions cost more.
    if (choice.reason == steering_reason::homeBusy && m_parts.self.region == table.region(choice.home)) {
        order.push_back(table.region(choice.home));
    }
    order.push_back(table.region(choice.destination));
    const auto add = [&](const region_name &region) {
        if (std::ranges::find(order, region) == order.end()) {
            order.push_back(region);
        }
    };
    // A drained home is not used; requests beyond the cap of a shift stay at home.
    const bool homeServes
        = choice.reason == steering_reason::home || choice.reason == steering_reason::noBlock || choice.reason == steering_reason::homeBusy || choice.shifted();
    if (homeServes) {
        add(table.region(choice.home));
    }
    for (std::uint8_t i = 0; i < choice.entryCount; ++i) {
        const auto &entry = table.entry(choice.entries[i]);
        if (homeServes || entry.region != table.region(choice.home)) {
            add(entry.region);
        }
    }
    return order;
}

std::vector<host_name> request_router::candidateHosts(const proxied_request &request, const region_name &region)
{
    const auto now = m_parts.clock.now();
    const auto candidates = m_parts.loads.candidates(request.service, region, now, m_parts.random.next());
    const pool_load own = region == m_parts.self.region ? m_parts.gate.load(request.service) : pool_load {};
    return orderHosts(m_parts.self.host, own, candidates, maxHostAttempts);
}

} // namespace hornbeampick
