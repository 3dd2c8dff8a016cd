#include "daemon/request_carrier.h"

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

constexpr int retriesMaximum = 2;
constexpr std::size_t hostsTried = 3;
// Wait between two claims of a key that another attempt holds, doubled up to the longest.
constexpr milliseconds claimPause {10};
constexpr milliseconds longestClaimPause {160};

carried_answer answerOf(const stored_answer &stored)
{
    carried_answer answer;
    answer.outcome = run_outcome::run;
    answer.status = stored.status;
    answer.headers = stored.headers;
    answer.body = stored.body;
    return answer;
}

// What a key that was not granted means for the caller.
carried_answer refusalOf(const claim_result &claimed)
{
    switch (claimed.outcome) {
    case claim_outcome::finished:
        return claimed.answer ? answerOf(*claimed.answer) : makeRefusal(errc::answerNotKept, run_outcome::run);
    case claim_outcome::mismatch:
        return makeRefusal(errc::keyReused, run_outcome::notRun);
    case claim_outcome::closed:
        return makeRefusal(errc::epochClosed, run_outcome::unknown);
    case claim_outcome::held:
        return makeRefusal(errc::claimHeld, run_outcome::unknown);
    case claim_outcome::pending:
    case claim_outcome::granted:
    case claim_outcome::unavailable:
        break;
    }
    return makeRefusal(errc::claimUnavailable, run_outcome::unknown);
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

// Another host, or another region, may still take what was refused for one of these.
bool worthAnotherHost(const carried_answer &answer)
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

// Load is no reason to cross to a third region; missing upstreams are.
bool worthAnotherRegion(const carried_answer &answer, bool shifted)
{
    return worthAnotherHost(answer) && (shifted || (answer.error != errc::overloaded && answer.error != errc::capReached));
}

bool mayRetry(const carried_answer &answer)
{
    return answer.outcome == run_outcome::unknown && (answer.error == errc::upstreamFailed || answer.error == errc::peerUnreachable);
}

} // namespace

request_carrier::request_carrier(const request_carrier_parts &parts)
    : m_parts(parts)
{
}

asio::awaitable<carried_answer> request_carrier::carry(caller_request request)
{
    const auto span = m_parts.traces.begin("entry", trace_context::parse(request.carried.traceParent));
    const auto startedAt = m_parts.clock.now();
    request.carried.traceParent = span.context.header();
    carried_answer answer;
    if (request.carried.idempotent) {
        answer = co_await carryWithRetries(request);
    } else {
        answer = co_await carryClaimed(request);
    }
    const std::string_view code = answer.isUpstreams() ? "answered" : errorCode(answer.error);
    m_parts.counters.countAnswer(request.carried.service, code);
    m_parts.counters.observeHop(request.carried.service, "entry", std::chrono::duration_cast<microseconds>(m_parts.clock.now() - startedAt));
    m_parts.traces.end(span, {{"service", request.carried.service.view()}, {"code", code}, {"outcome", textOf(answer.outcome)}});
    co_return answer;
}

asio::awaitable<carried_answer> request_carrier::carryClaimed(caller_request &request)
{
    const auto self = m_parts.members.self();
    const claim_ticket ticket {
        .epoch = *request.epoch,
        .key = request.carried.service.string() + "/" + request.key,
        .content = request.carried.content(),
        .owner = {.host = self.host, .incarnation = self.incarnation, .number = m_parts.gate.nextNumber()},
    };
    const auto startedAt = m_parts.clock.now();
    const auto span = m_parts.traces.begin("claim", trace_context::parse(request.carried.traceParent));
    const auto claimed = co_await claim(ticket, request.carried.deadline);
    m_parts.counters.countClaim(textOf(claimed.outcome));
    m_parts.counters.observeHop(request.carried.service, "claim", std::chrono::duration_cast<microseconds>(m_parts.clock.now() - startedAt));
    m_parts.traces.end(span, {{"outcome", textOf(claimed.outcome)}});
    if (claimed.outcome != claim_outcome::granted) {
        co_return refusalOf(claimed);
    }
    auto answer = co_await tryRegions(request);
    if (answer.outcome == run_outcome::notRun) {
        m_parts.claims.release(ticket);
    } else if (answer.isUpstreams()) {
        const stored_answer stored {.status = answer.status, .headers = answer.headers, .body = answer.body};
        co_await m_parts.claims.finish(ticket, stored);
    }
    // An unknown outcome keeps the claim: the key is never run again.
    co_return answer;
}

asio::awaitable<claim_result> request_carrier::claim(const claim_ticket &ticket, steady_time deadline)
{
    milliseconds pause = claimPause;
    while (true) {
        auto claimed = co_await m_parts.claims.acquire(ticket, deadline);
        const bool waits = claimed.outcome == claim_outcome::held && holderLives(claimed.holder);
        if (!waits || m_parts.clock.now() + pause >= deadline) {
            co_return claimed;
        }
        const milliseconds jitter(m_parts.random.below(static_cast<std::uint64_t>(pause.count()) + 1));
        asio::steady_timer timer(co_await asio::this_coro::executor, pause + jitter);
        co_await timer.async_wait(asio::use_awaitable);
        pause = std::min(pause * 2, longestClaimPause);
    }
}

// Two attempts that each hold a part release it; only the holder of a majority goes on.
bool request_carrier::holderLives(const claim_owner &holder) const
{
    const auto host = m_parts.members.find(holder.host);
    return host && host->state != member_state::dead && host->incarnation == holder.incarnation;
}

asio::awaitable<carried_answer> request_carrier::carryWithRetries(caller_request &request)
{
    auto answer = co_await tryRegions(request);
    if (answer.outcome != run_outcome::notRun) {
        m_parts.budget.onFirstAttempt(request.carried.service);
    }
    for (int retry = 0; retry < retriesMaximum && mayRetry(answer); ++retry) {
        const bool late = m_parts.clock.now() >= request.carried.deadline;
        if (late || !m_parts.budget.take(request.carried.service)) {
            break;
        }
        m_parts.counters.countRetry(request.carried.service);
        request.carried.avoid = answer.instance.empty() ? std::nullopt : std::optional(answer.instance);
        auto next = co_await tryRegions(request);
        if (next.outcome == run_outcome::notRun) {
            // Nothing was sent: what the first attempt left open stays open.
            m_parts.budget.giveBack(request.carried.service);
            break;
        }
        answer = std::move(next);
    }
    co_return answer;
}

asio::awaitable<carried_answer> request_carrier::tryRegions(caller_request &request)
{
    if (m_parts.poison.isQuarantined(request.carried.content(), m_parts.clock.now())) {
        co_return makeRefusal(errc::quarantined, run_outcome::notRun);
    }
    const auto table = m_parts.table.get();
    const auto choice = table->choose(table->serviceIndex(request.carried.service.view()), request.client);
    request.carried.home = table->region(choice.home);
    request.carried.shifted = choice.shifted();
    carried_answer first;
    bool tried = false;
    for (const auto &region : regionOrder(*table, choice)) {
        auto answer = co_await tryRegion(request.carried, region);
        const bool again = worthAnotherRegion(answer, request.carried.shifted || choice.reason == steering_reason::homeBusy);
        if (!tried || !worthAnotherHost(answer)) {
            first = std::move(answer);
        }
        tried = true;
        if (!again) {
            co_return first;
        }
        request.carried.shifted = false;
    }
    co_return first;
}

asio::awaitable<carried_answer> request_carrier::tryRegion(carried_request &request, const region_name &region)
{
    carried_answer answer = makeRefusal(errc::noUpstream, run_outcome::notRun);
    for (const auto &host : hostsOf(request, region)) {
        if (m_parts.clock.now() >= request.deadline) {
            co_return makeRefusal(errc::deadlineExceeded, run_outcome::notRun);
        }
        if (host == m_parts.self.host) {
            answer = co_await m_parts.runner.run(request);
        } else if (const auto owner = m_parts.members.find(host)) {
            answer = co_await forward(request, *owner);
        }
        if (!worthAnotherHost(answer)) {
            break;
        }
    }
    co_return answer;
}

asio::awaitable<carried_answer> request_carrier::forward(const carried_request &request, const fleet_member &owner)
{
    const auto startedAt = m_parts.clock.now();
    if (owner.region != m_parts.self.region) {
        const cap_key link {.kind = cap_kind::link, .service = {}, .other = owner.region};
        if (!m_parts.caps.take(link, request.bytes(), startedAt)) {
            co_return makeRefusal(errc::capReached, run_outcome::notRun, window_limiter::window);
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
    m_parts.loads.onReturned(request.service, owner.host, reply ? &reply.value().load : nullptr, now);
    m_parts.counters.observeHop(request.service, "forward", std::chrono::duration_cast<microseconds>(now - startedAt));
    m_parts.traces.end(span, {{"service", request.service.view()}, {"host", owner.host.view()}});
    if (reply) {
        co_return reply.value().answer;
    }
    const auto error = static_cast<errc>(reply.error().value());
    if (error == errc::unreachable) {
        co_return makeRefusal(errc::unreachable, run_outcome::notRun);
    }
    co_return makeRefusal(error == errc::timedOut ? errc::deadlineExceeded : errc::peerUnreachable, run_outcome::unknown);
}

std::vector<region_name> request_carrier::regionOrder(const steering_table &table, const steering_choice &choice) const
{
    std::vector<region_name> order;
    // A caller that came to its busy home all the same is served there when that is possible: the links are dearer.
    if (choice.reason == steering_reason::homeBusy && m_parts.self.region == table.region(choice.home)) {
        order.push_back(table.region(choice.home));
    }
    order.push_back(table.region(choice.destination));
    const auto add = [&](const region_name &region) {
        if (std::ranges::find(order, region) == order.end()) {
            order.push_back(region);
        }
    };
    // A drained home is left alone; a shift's excess stays at home.
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

std::vector<host_name> request_carrier::hostsOf(const carried_request &request, const region_name &region)
{
    const auto now = m_parts.clock.now();
    const auto candidates = m_parts.loads.candidates(request.service, region, now, m_parts.random.next());
    const pool_load own = region == m_parts.self.region ? m_parts.gate.load(request.service) : pool_load {};
    return orderHosts(m_parts.self.host, own, candidates, hostsTried);
}

} // namespace hornbeampick
