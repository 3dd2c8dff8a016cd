#include "daemon/claim_client.h"

#include "daemon/await_callback.h"

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <mutex>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

// Timeout of a member's reply to a claim.
constexpr milliseconds acquireTimeout {500};
// Timeout of releases and of storing answers, which are worth a longer wait than a claim.
constexpr milliseconds completionTimeout {3000};
// Longest delay of an answer to its caller while the answer is being stored.
constexpr milliseconds maxFinishDelay {50};
// Period after the start of an epoch in which keys are claimed from the previous group as well.
constexpr wall_ms epochOverlap = 120'000;

// Collects the replies of one claim round from any thread and reports the outcome once.
class claim_reply_collector
{
public:
    claim_reply_collector(std::size_t members, std::function<void(claim_result)> done)
        : m_round(members)
        , m_done(std::move(done))
    {
    }

    void onReply(std::size_t member, const result<claim_reply> &reply)
    {
        std::function<void(claim_result)> done;
        claim_result decided;
        {
            const std::lock_guard guard(m_lock);
            if (reply) {
                m_round.onReply(member, reply.value());
            } else {
                m_round.onFailure(member);
            }
            decided = {.outcome = m_round.outcome(), .holder = m_round.holder(), .answer = m_round.answer()};
            if (decided.outcome == claim_outcome::pending || !m_done) {
                return;
            }
            done = std::exchange(m_done, nullptr);
        }
        done(std::move(decided));
    }

private:
    std::mutex m_lock;
    claim_round m_round;
    std::function<void(claim_result)> m_done;
};

// Counts acknowledgements and reports once, when a majority has acknowledged or no reply is outstanding.
class quorum_counter
{
public:
    quorum_counter(std::size_t members, std::function<void(bool)> done)
        : m_outstanding(members)
        , m_quorum(members / 2 + 1)
        , m_done(std::move(done))
    {
    }

    void onReply(bool acknowledged)
    {
        std::function<void(bool)> done;
        bool quorumReached = false;
        {
            const std::lock_guard guard(m_lock);
            --m_outstanding;
            m_acknowledged += acknowledged ? 1 : 0;
            quorumReached = m_acknowledged >= m_quorum;
            if ((!quorumReached && m_outstanding > 0) || !m_done) {
                return;
            }
            done = std::exchange(m_done, nullptr);
        }
        done(quorumReached);
    }

private:
    std::mutex m_lock;
    std::size_t m_outstanding;
    std::size_t m_quorum;
    std::size_t m_acknowledged = 0;
    std::function<void(bool)> m_done;
};

claim_request makeRequest(claim_action action, const claim_attempt &attempt, const claim_group &group, const epoch_member &member)
{
    claim_request request;
    request.action = action;
    request.epoch = group.epoch;
    request.key = attempt.key;
    request.content = attempt.content;
    request.owner = attempt.owner;
    request.memberIncarnation = member.incarnation;
    return request;
}

} // namespace

claim_client::claim_client(const epoch_table &epochs, const member_table &members, claim_store &store, peer_client &peers, clock_source &clock)
    : m_epochs(epochs)
    , m_members(members)
    , m_store(store)
    , m_peers(peers)
    , m_clock(clock)
{
}

asio::awaitable<claim_result> claim_client::acquire(claim_attempt attempt, steady_time deadline)
{
    using namespace asio::experimental::awaitable_operators;
    const auto group = groupOf(attempt.epoch);
    if (!group) {
        const bool closed = attempt.epoch.host || m_epochs.isClosed(attempt.epoch);
        co_return claim_result {.outcome = closed ? claim_outcome::closed : claim_outcome::unavailable, .holder = {}, .answer = {}};
    }
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - m_clock.now());
    const auto timeout = std::clamp(left, milliseconds(1), acquireTimeout);
    const auto groups = groupsFor(*group);
    claim_result decided;
    if (groups.size() == 1) {
        decided = co_await acquireFrom(groups.front(), attempt, timeout);
    } else {
        auto [former, current] = co_await (acquireFrom(groups.front(), attempt, timeout) && acquireFrom(groups.back(), attempt, timeout));
        // A claim known to the former group takes precedence.
        decided = former.outcome == claim_outcome::granted ? std::move(current) : std::move(former);
    }
    if (decided.outcome != claim_outcome::granted) {
        release(attempt);
    }
    co_return decided;
}

void claim_client::release(const claim_attempt &attempt)
{
    if (const auto group = groupOf(attempt.epoch)) {
        for (const auto &each : groupsFor(*group)) {
            sendToGroup(each, attempt, claim_action::release, std::nullopt);
        }
    }
}

asio::awaitable<void> claim_client::finish(claim_attempt attempt, stored_answer answer)
{
    using namespace asio::experimental::awaitable_operators;
    const auto group = groupOf(attempt.epoch);
    if (!group) {
        co_return;
    }
    std::optional<stored_answer> keptAnswer;
    if (answer.bytes() <= claim_store::maxAnswerBytes) {
        keptAnswer = std::move(answer);
    }
    const auto groups = groupsFor(*group);
    if (groups.size() > 1) {
        sendToGroup(groups.front(), attempt, claim_action::finish, keptAnswer);
    }
    asio::steady_timer limit(co_await asio::this_coro::executor, maxFinishDelay);
    co_await (recordAnswer(*group, attempt, keptAnswer) || limit.async_wait(asio::use_awaitable));
}

asio::awaitable<bool> claim_client::recordAnswer(claim_group group, claim_attempt attempt, std::optional<stored_answer> answer)
{
    auto start = [this, group, attempt, answer](std::function<void(bool)> done) {
        auto replies = std::make_shared<quorum_counter>(group.members.size(), std::move(done));
        for (const auto &member : group.members) {
            auto request = makeRequest(claim_action::finish, attempt, group, member);
            request.answer = answer;
            callMember(member, request, completionTimeout,
                       [replies](const result<claim_reply> &reply) { replies->onReply(reply && reply.value().verdict == claim_verdict::finished); });
        }
    };
    co_return co_await awaitCallback<bool>(std::move(start));
}

std::optional<claim_group> claim_client::groupOf(const epoch_id &epoch) const
{
    if (epoch.region) {
        return m_epochs.find(epoch);
    }
    const auto host = m_members.find(epoch.host.value_or(host_name()));
    if (!host || host->incarnation != epoch.number) {
        return std::nullopt;
    }
    claim_group own {.epoch = epoch, .members = {}, .openedAt = 0};
    own.members.push_back({.host = host->host, .incarnation = host->incarnation, .address = host->rpcAddress});
    return own;
}

std::optional<claim_group> claim_client::predecessorOf(const claim_group &group) const
{
    const bool isRecent = m_clock.wallNow() < group.openedAt + epochOverlap;
    if (!group.epoch.region || group.epoch.number < 2 || !isRecent) {
        return std::nullopt;
    }
    epoch_id former = group.epoch;
    --former.number;
    return m_epochs.find(former);
}

// A group that has permanently lost its majority cannot answer; waiting for it would be in vain.
bool claim_client::hasMajority(const claim_group &group) const
{
    const auto aliveCount = std::ranges::count_if(group.members, [&](const epoch_member &member) {
        const auto known = m_members.find(member.host);
        return known && known->serves() && known->incarnation == member.incarnation;
    });
    return static_cast<std::size_t>(aliveCount) > group.members.size() / 2;
}

std::vector<claim_group> claim_client::groupsFor(const claim_group &group) const
{
    std::vector<claim_group> groups;
    if (const auto former = predecessorOf(group); former && hasMajority(*former)) {
        groups.push_back(*former);
    }
    groups.push_back(group);
    return groups;
}

asio::awaitable<claim_result> claim_client::acquireFrom(claim_group group, claim_attempt attempt, milliseconds timeout)
{
    auto start = [this, group, attempt, timeout](std::function<void(claim_result)> done) {
        auto replies = std::make_shared<claim_reply_collector>(group.members.size(), std::move(done));
        for (std::size_t i = 0; i < group.members.size(); ++i) {
            const auto request = makeRequest(claim_action::acquire, attempt, group, group.members[i]);
            callMember(group.members[i], request, timeout, [replies, i](const result<claim_reply> &reply) { replies->onReply(i, reply); });
        }
    };
    co_return co_await awaitCallback<claim_result>(std::move(start));
}

void claim_client::sendToGroup(const claim_group &group, const claim_attempt &attempt, claim_action action, const std::optional<stored_answer> &answer)
{
    for (const auto &member : group.members) {
        auto request = makeRequest(action, attempt, group, member);
        request.answer = answer;
        callMember(member, request, completionTimeout, [](const result<claim_reply> &) {});
    }
}

void claim_client::callMember(const epoch_member &member, const claim_request &request, milliseconds timeout, peer_callback<claim_reply> done)
{
    if (member.host == m_members.self().host) {
        done(m_store.handle(request));
        return;
    }
    m_peers.claim(member.address, request, timeout, std::move(done));
}

} // namespace hornbeampick
