#include "daemon/request_runner.h"

#include "daemon/await_callback.h"

#include <optional>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

// Largest number of upstreams tried in turn while none has run the request.
constexpr int maxUpstreamAttempts = 3;

} // namespace

// Owns a granted slot and releases it on destruction, also when the request is cancelled.
class slot_guard
{
public:
    slot_guard(request_gate &gate, slot_grant slot)
        : m_gate(gate)
        , m_slot(std::move(slot))
    {
    }
    ~slot_guard()
    {
        end(slot_outcome::abandoned);
    }
    slot_guard(const slot_guard &) = delete;
    slot_guard &operator=(const slot_guard &) = delete;

    [[nodiscard]] const slot_grant &grant() const
    {
        return m_slot;
    }

    void end(slot_outcome slotOutcome)
    {
        if (!m_ended) {
            m_ended = true;
            m_gate.finish(m_slot, slotOutcome);
        }
    }

private:
    request_gate &m_gate;
    slot_grant m_slot;
    bool m_ended = false;
};

namespace
{

// Reserves the only concurrent run of a request of which an upstream has already died, and ends it on destruction.
class poison_guard
{
public:
    poison_guard(poison_registry &registry, const digest &request, steady_time now)
        : m_registry(registry)
        , m_request(request)
        , m_allowed(registry.begin(request, now))
    {
    }
    ~poison_guard()
    {
        if (m_allowed) {
            m_registry.end(m_request);
        }
    }
    poison_guard(const poison_guard &) = delete;
    poison_guard &operator=(const poison_guard &) = delete;

    [[nodiscard]] bool allowed() const
    {
        return m_allowed;
    }

private:
    poison_registry &m_registry;
    digest m_request;
    bool m_allowed;
};

slot_outcome slotOutcomeOf(attempt_status end)
{
    switch (end) {
    case attempt_status::answered:
        return slot_outcome::answered;
    case attempt_status::shed:
        return slot_outcome::shed;
    case attempt_status::refused:
        return slot_outcome::refused;
    case attempt_status::broke:
        return slot_outcome::broke;
    case attempt_status::timedOut:
        return slot_outcome::abandoned;
    }
    return slot_outcome::abandoned;
}

proxied_answer answerOf(attempt_result &&result)
{
    switch (result.end) {
    case attempt_status::shed:
        return makeErrorAnswer(errc::upstreamShed, run_outcome::notRun);
    case attempt_status::refused:
        return makeErrorAnswer(errc::noUpstream, run_outcome::notRun);
    case attempt_status::broke:
        return makeErrorAnswer(errc::upstreamFailed, run_outcome::unknown);
    case attempt_status::timedOut:
        return makeErrorAnswer(errc::deadlineExceeded, run_outcome::unknown);
    case attempt_status::answered:
        break;
    }
    proxied_answer answer;
    answer.outcome = run_outcome::run;
    answer.status = result.status;
    answer.headers = std::move(result.headers);
    answer.body = std::move(result.body);
    return answer;
}

} // namespace

request_runner::request_runner(const request_runner_parts &parts)
    : m_parts(parts)
{
}

asio::awaitable<proxied_answer> request_runner::run(proxied_request request)
{
    const auto now = m_parts.clock.now();
    const poison_guard poisonGuard(m_parts.poison, request.contentDigest(), now);
    if (!poisonGuard.allowed()) {
        co_return makeErrorAnswer(errc::quarantined, run_outcome::notRun);
    }
    const cap_key capacity {.kind = cap_kind::regionCapacity, .service = request.service, .other = {}};
    const auto capacityReservation = m_parts.caps.reserve(capacity, 1, now);
    if (!capacityReservation) {
        co_return makeErrorAnswer(errc::capReached, run_outcome::notRun, window_limiter::window);
    }
    std::optional<cap_reservation> shiftReservation;
    if (request.shifted) {
        shiftReservation = m_parts.caps.reserve({.kind = cap_kind::shift, .service = request.service, .other = request.home}, 1, now);
        if (!shiftReservation) {
            m_parts.caps.refund(*capacityReservation, now);
            co_return makeErrorAnswer(errc::capReached, run_outcome::notRun, window_limiter::window);
        }
    }
    auto answer = co_await runWithinCaps(request);
    if (answer.outcome == run_outcome::notRun) {
        const auto later = m_parts.clock.now();
        m_parts.caps.refund(*capacityReservation, later);
        if (shiftReservation) {
            m_parts.caps.refund(*shiftReservation, later);
        }
    }
    co_return answer;
}

asio::awaitable<proxied_answer> request_runner::runWithinCaps(proxied_request &request)
{
    proxied_answer answer = makeErrorAnswer(errc::noUpstream, run_outcome::notRun);
    for (int attempts = 0; attempts < maxUpstreamAttempts; ++attempts) {
        const auto slot = co_await waitForSlot(request);
        if (const auto *refused = std::get_if<slot_refused>(&slot)) {
            // The refusal of an earlier upstream is more informative than the lack of a further slot.
            co_return attempts == 0 ? makeErrorAnswer(refused->error, run_outcome::notRun, refused->retryAfter) : std::move(answer);
        }
        // The guard must exist before the next suspension point: a request that has been cancelled by then proceeds no further.
        slot_guard slotGuard(m_parts.gate, std::get<slot_grant>(slot));
        answer = co_await attempt(request, slotGuard);
        if (answer.outcome != run_outcome::notRun) {
            break;
        }
        request.avoid = slotGuard.grant().instance;
    }
    co_return answer;
}

asio::awaitable<slot_result> request_runner::waitForSlot(const proxied_request &request)
{
    const admit_request wanted {
        .number = m_parts.gate.nextNumber(),
        .caller = request.caller,
        .deadline = request.deadline,
        .avoid = request.avoid,
    };
    auto start = [this, &request, &wanted](std::function<void(slot_result)> done) -> std::function<void()> {
        m_parts.gate.admit(request.service, wanted, done);
        return [&gate = m_parts.gate, service = request.service, number = wanted.number, done = std::move(done)] {
            if (gate.cancel(service, number)) {
                done(slot_refused {.number = number, .error = errc::callerLeft, .retryAfter = {}});
            }
        };
    };
    co_return co_await awaitCallback<slot_result>(std::move(start));
}

asio::awaitable<proxied_answer> request_runner::attempt(const proxied_request &request, slot_guard &slotGuard)
{
    const slot_grant &slot = slotGuard.grant();
    const auto startedAt = m_parts.clock.now();
    const auto span = m_parts.traces.begin("attempt", trace_context::parse(request.traceParent));
    proxied_request sent = request;
    sent.traceParent = span.context.header();
    auto result = co_await m_parts.upstreams.send(slot.address, sent);
    slotGuard.end(slotOutcomeOf(result.end));
    auto answer = answerOf(std::move(result));
    answer.instance = slot.instance;
    if (answer.error == errc::upstreamFailed) {
        co_await reportIfUpstreamDied(request, slot, answer);
    }
    m_parts.counters.observeHop(request.service, "attempt", std::chrono::duration_cast<microseconds>(m_parts.clock.now() - startedAt));
    m_parts.traces.end(span, {{"service", request.service.view()}, {"instance", slot.instance.view()}, {"outcome", textOf(answer.outcome)}});
    co_return answer;
}

asio::awaitable<void> request_runner::reportIfUpstreamDied(const proxied_request &request, const slot_grant &slot, proxied_answer &answer)
{
    // A broken connection alone may be a network fault; a port on which nothing listens means that the upstream died.
    answer.upstreamDied = co_await m_parts.upstreams.refusesConnections(slot.address);
    if (!answer.upstreamDied) {
        co_return;
    }
    const upstream_death death {.request = request.contentDigest(), .instance = slot.instance, .incarnation = slot.incarnation};
    m_parts.poison.report(death, m_parts.clock.now());
    co_await m_parts.deaths.broadcast(death);
}

} // namespace hornbeampick
