#include "tool/operator_client.h"

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace hornbeampick
{

namespace
{

constexpr milliseconds pollInterval {100};

// A result that another thread sets and one thread waits for.
template <typename T> class blocking_result
{
public:
    void set(result<T> value)
    {
        {
            const std::lock_guard guard(m_lock);
            m_value = std::move(value);
        }
        m_ready.notify_all();
    }

    std::optional<result<T>> wait(milliseconds timeout)
    {
        std::unique_lock guard(m_lock);
        m_ready.wait_for(guard, timeout, [this] { return m_value.has_value(); });
        return m_value;
    }

private:
    std::mutex m_lock;
    std::condition_variable m_ready;
    std::optional<result<T>> m_value;
};

void sleepFor(milliseconds time)
{
    blocking_result<bool> never;
    never.wait(time);
}

} // namespace

operator_client::operator_client(peer_client &peers, std::vector<std::string> hosts, milliseconds timeout, clock_source &clock)
    : m_peers(peers)
    , m_hosts(std::move(hosts))
    , m_deadline(clock.now() + timeout)
    , m_clock(clock)
{
}

template <typename T>
result<T> operator_client::callHosts(const std::function<void(const std::string &host, milliseconds timeout, peer_callback<T> done)> &call,
                                     const std::function<bool(const T &)> &isFinal)
{
    result<T> last = make_error_code(errc::unreachable);
    while (true) {
        for (const auto &host : m_hosts) {
            const auto remaining = std::chrono::duration_cast<milliseconds>(m_deadline - m_clock.now());
            if (remaining <= milliseconds(0)) {
                return last;
            }
            // A host that does not answer must leave time for the others.
            const auto hostTimeout = std::max(remaining / 2, milliseconds(1));
            auto answer = std::make_shared<blocking_result<T>>();
            call(host, hostTimeout, [answer](result<T> value) { answer->set(std::move(value)); });
            auto got = answer->wait(hostTimeout + pollInterval);
            if (got && *got && isFinal(got->value())) {
                return *got;
            }
            if (got && (*got || !last)) {
                last = *got;
            }
        }
        if (m_hosts.empty() || m_clock.now() + pollInterval >= m_deadline) {
            return last;
        }
        sleepFor(pollInterval);
    }
}

result<submit_result> operator_client::submit(const rules_change &change)
{
    // Once a host may have passed the change on, a later refusal does not prove that it was not accepted.
    auto maybeAccepted = std::make_shared<std::atomic<bool>>(false);
    auto answer = callHosts<submit_result>(
        [&](const std::string &host, milliseconds timeout, const peer_callback<submit_result> &done) {
            m_peers.submit(host, change, false, timeout, [maybeAccepted, done](const result<submit_result> &reply) {
                const bool lost = !reply && reply.error() != errc::unreachable;
                if (lost || (reply && reply.value().error == errc::noQuorum)) {
                    *maybeAccepted = true;
                }
                done(reply);
            });
        },
        [](const submit_result &reply) { return reply.error != errc::notLeader && reply.error != errc::noQuorum && reply.error != errc::notAVoter; });
    if (answer && answer.value().error == errc::notLeader && *maybeAccepted) {
        answer.value().error = errc::noQuorum;
    }
    return answer;
}

result<ledger_state> operator_client::rules(bool withHistory)
{
    const rules_position nothing {.index = 0, .version = 0, .withHistory = withHistory};
    const auto update = callHosts<std::optional<rules_update>>(
        [&](const std::string &host, milliseconds timeout, peer_callback<std::optional<rules_update>> done) {
            m_peers.fetchRules(host, nothing, timeout, std::move(done));
        },
        [withHistory](const std::optional<rules_update> &reply) { return !withHistory || (reply && !reply->state.history.empty()); });
    if (!update) {
        return update.error();
    }
    return update.value() ? update.value()->state : ledger_state {};
}

result<fleet_status> operator_client::status()
{
    return callHosts<fleet_status>(
        [&](const std::string &host, milliseconds timeout, peer_callback<fleet_status> done) { m_peers.fleetStatus(host, timeout, std::move(done)); },
        [](const fleet_status &) { return true; });
}

result<steering_explanation> operator_client::explain(const service_name &service, const std::string &client)
{
    return callHosts<steering_explanation>([&](const std::string &host, milliseconds timeout,
                                               peer_callback<steering_explanation> done) { m_peers.explain(host, service, client, timeout, std::move(done)); },
                                           [](const steering_explanation &) { return true; });
}

result<std::vector<service_region_load>> operator_client::loads()
{
    return callHosts<std::vector<service_region_load>>(
        [&](const std::string &host, milliseconds timeout, peer_callback<std::vector<service_region_load>> done) {
            m_peers.loads(host, timeout, std::move(done));
        },
        [](const std::vector<service_region_load> &) { return true; });
}

result<fleet_status> operator_client::awaitVersion(std::uint64_t version)
{
    while (true) {
        auto current = status();
        if (!current) {
            return current;
        }
        const bool everywhere = std::ranges::all_of(current.value().hosts, [version](const host_status &host) { return host.ruleVersion >= version; });
        if (everywhere || m_clock.now() + pollInterval >= m_deadline) {
            return current;
        }
        sleepFor(pollInterval);
    }
}

} // namespace hornbeampick
