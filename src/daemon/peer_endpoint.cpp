#include "peer_endpoint.h"

#include "rules/rule_text.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <memory>
#include <mutex>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr milliseconds statusTimeout {1000};

// Collects the answers of all hosts and reports once, after the last.
class status_collector
{
public:
    status_collector(std::size_t expected, std::function<void(const fleet_status &)> done)
        : m_outstanding(expected)
        , m_done(std::move(done))
    {
    }

    void add(const fleet_member &asked, const result<host_status> &answer)
    {
        {
            const std::lock_guard guard(m_lock);
            if (answer) {
                m_status.hosts.push_back(answer.value());
            } else {
                m_status.silent.push_back(asked);
            }
            if (--m_outstanding > 0) {
                return;
            }
        }
        std::ranges::sort(m_status.hosts, {}, [](const host_status &each) { return each.self.host; });
        std::ranges::sort(m_status.silent, {}, &fleet_member::host);
        m_done(m_status);
    }

private:
    std::mutex m_lock;
    std::size_t m_outstanding;
    fleet_status m_status;
    std::function<void(const fleet_status &)> m_done;
};

// Returns the rule lines that apply to a service, a home region and a client.
std::vector<std::string> relevantRules(const rule_set &rules, const ledger_state &state, const service_name &service, const region_name &home, ipv4 client)
{
    std::vector<std::string> lines;
    const auto add = [&](const rule_origin &origin) { lines.emplace_back(state.text.line(origin.line)); };
    for (const auto &rule : rules.shifts) {
        if (rule.service == service && rule.from == home) {
            add(rule.origin);
        }
    }
    for (const auto &rule : rules.drains) {
        add(rule.origin);
    }
    for (const auto &rule : rules.rests) {
        if (rule.service == service) {
            add(rule.origin);
        }
    }
    for (const auto &block : rules.homes.blocksContaining(client)) {
        const auto line = clientsLine(state.text, block);
        if (!line.empty()) {
            lines.push_back(line);
        }
    }
    return lines;
}

// State of a forwarded request that runs on this host; accessed only on its strand.
struct forward_state {
    asio::cancellation_signal signal;
    bool ended = false;
};

} // namespace

peer_endpoint::peer_endpoint(peer_endpoint_parts parts)
    : m_parts(std::move(parts))
{
}

exchange_message peer_endpoint::onExchange(const exchange_message &message)
{
    return m_parts.agent.onExchange(message);
}

std::optional<rules_update> peer_endpoint::onFetchRules(const rules_position &have)
{
    return m_parts.rules.updateFor(have);
}

void peer_endpoint::onNotifyRules(const rules_notice &notice)
{
    m_parts.agent.onNotice(notice);
}

void peer_endpoint::onRelayAnnounce(const upstream_report &report)
{
    m_parts.agent.onAnnounce(report, false);
}

call_canceller peer_endpoint::onForward(forward_message message, std::function<void(const forward_result &)> done)
{
    const bool mayAbandon = message.request.idempotent;
    const auto strand = asio::make_strand(m_parts.context);
    const auto running = std::make_shared<forward_state>();
    auto finish = [running, done = std::move(done)](const std::exception_ptr &failed, const forward_result &result) {
        running->ended = true;
        if (failed) {
            done({.answer = makeErrorAnswer(errc::callerLeft, run_outcome::unknown), .load = {}});
        } else {
            done(result);
        }
    };
    asio::co_spawn(strand, runForwarded(std::move(message)),
                   asio::bind_cancellation_slot(running->signal.slot(), asio::bind_executor(strand, std::move(finish))));
    if (!mayAbandon) {
        // A claimed request continues without its sender, because its key never runs again.
        return [] {};
    }
    return [strand, running] {
        asio::post(strand, [running] {
            // The signal accesses the running coroutine and must not be emitted after its end.
            if (!running->ended) {
                running->signal.emit(asio::cancellation_type::terminal);
            }
        });
    };
}

asio::awaitable<forward_result> peer_endpoint::runForwarded(forward_message message)
{
    const auto service = message.request.service;
    forward_result result;
    result.answer = co_await m_parts.runner.run(std::move(message.request));
    result.load = m_parts.gate.load(service);
    if (message.senderRegion != m_parts.self.region) {
        const auto wait = m_parts.caps.chargeBytes(message.senderRegion, result.answer.bytes(), m_parts.clock.now());
        if (wait > milliseconds(0)) {
            asio::steady_timer timer(co_await asio::this_coro::executor, wait);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
    co_return result;
}

claim_reply peer_endpoint::onClaim(const claim_request &request)
{
    return m_parts.claims.handle(request);
}

void peer_endpoint::onPoison(const upstream_death &death)
{
    m_parts.poison.report(death, m_parts.clock.now());
}

host_status peer_endpoint::onStatus()
{
    return m_parts.status.hostStatus();
}

void peer_endpoint::onFleetStatus(std::function<void(const fleet_status &)> done)
{
    const auto self = m_parts.members.self();
    std::vector<fleet_member> asked;
    for (const auto &member : m_parts.members.members()) {
        // Dead members are asked as well, so that hosts beyond a network partition are listed.
        if (member.host != self.host) {
            asked.push_back(member);
        }
    }
    auto collector = std::make_shared<status_collector>(asked.size() + 1, std::move(done));
    collector->add(self, m_parts.status.hostStatus());
    for (const auto &member : asked) {
        m_parts.peers.status(member.rpcAddress, statusTimeout, [collector, member](const result<host_status> &answer) { collector->add(member, answer); });
    }
}

steering_explanation peer_endpoint::onExplain(const service_name &service, const std::string &client)
{
    steering_explanation explanation;
    const auto table = m_parts.table.get();
    const auto index = table->serviceIndex(service.view());
    const auto address = parseIpv4(client);
    if (index == steering_table::noService || !address) {
        explanation.error = index == steering_table::noService ? errc::unknownService : errc::malformedRequest;
        return explanation;
    }
    const auto choice = table->choose(index, *address);
    explanation.ruleVersion = table->ruleVersion();
    explanation.home = table->region(choice.home);
    explanation.destination = table->region(choice.destination);
    explanation.reason = std::string(textOf(choice.reason));
    for (std::uint8_t i = 0; i < choice.entryCount; ++i) {
        explanation.entries.push_back(table->entry(choice.entries[i]));
    }
    explanation.epoch = m_parts.front.epochFor(explanation.home).text();
    if (const auto rules = m_parts.rules.rules()) {
        explanation.rules = relevantRules(*rules, *m_parts.rules.state(), service, explanation.home, *address);
    }
    return explanation;
}

std::vector<service_region_load> peer_endpoint::onLoads()
{
    std::vector<service_region_load> loads;
    const auto now = m_parts.clock.now();
    for (const auto &service : m_parts.services) {
        auto regions = m_parts.loads.regions(service, now);
        addLoad(regions, m_parts.self.region, m_parts.gate.load(service));
        for (const auto &region : regions) {
            loads.push_back({.service = service, .region = region.region, .load = {.slots = region.slots, .inFlight = region.inFlight, .queued = 0}});
        }
    }
    return loads;
}

void peer_endpoint::onSubmit(const rules_change &change, bool relayed, milliseconds timeout, std::function<void(const submit_result &)> done)
{
    m_parts.submitter.submit(change, relayed, timeout, std::move(done));
}

void peer_endpoint::onReplicate(replica_message message)
{
    if (m_parts.replica == nullptr) {
        return;
    }
    m_parts.replica->receive(std::move(message));
}

void peer_endpoint::onForm(form_request request, std::function<void(const form_reply &)> done)
{
    if (m_parts.replica == nullptr) {
        done({.formed = false, .self = {}, .config = {}});
        return;
    }
    m_parts.replica->receiveForm(std::move(request), std::move(done));
}

} // namespace hornbeampick
