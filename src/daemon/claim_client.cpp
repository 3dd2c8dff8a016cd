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

// Longest wait for a member's grant.
constexpr milliseconds acquireTimeout {500};
// Releases and answers are worth a longer try.
constexpr milliseconds settleTimeout {3000};
// An answer to the caller waits no longer than this for its record.
constexpr milliseconds finishWait {50};
// A new epoch also claims from the former group for this long.
constexpr wall_ms overlap = 120'000;

// Replies of one round, from any thread; tells the outcome once.
class round_collector
{
public:
    round_collector(std::size_t members, std::function<void(claim_result)> done)
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

// Counts acknowledgements; tells once when there are enough or none are left.
class acknowledgements
{
public:
    acknowledgements(std::size_t members, std::function<void(bool)> done)
        : m_left(members)
        , m_needed(members / 2 + 1)
        , m_done(std::move(done))
    {
    }

    void onReply(bool acknowledged)
    {
        std::function<void(bool)> done;
        bool enough = false;
        {
            const std::lock_guard guard(m_lock);
            --m_left;
            m_got += acknowledged ? 1 : 0;
            enough = m_got >= m_needed;
            if ((!enough && m_left > 0) || !m_done) {
                return;
            }
            done = std::exchange(m_done, nullptr);
        }
        done(enough);
    }

private:
    std::mutex m_lock;
    std::size_t m_left;
    std::size_t m_needed;
    std::size_t m_got = 0;
    std::function<void(bool)> m_done;
};

claim_request makeRequest(claim_action action, const claim_ticket &ticket, const claim_group &group, const epoch_member &member)
{
    claim_request request;
    request.action = action;
    request.epoch = group.epoch;
    request.key = ticket.key;
    request.content = ticket.content;
    request.owner = ticket.owner;
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

asio::awaitable<claim_result> claim_client::acquire(claim_ticket ticket, steady_time deadline)
{
    using namespace asio::experimental::awaitable_operators;
    const auto group = groupOf(ticket.epoch);
    if (!group) {
        const bool closed = ticket.epoch.host || m_epochs.isClosed(ticket.epoch);
        co_return claim_result {.outcome = closed ? claim_outcome::closed : claim_outcome::unavailable, .holder = {}, .answer = {}};
    }
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - m_clock.now());
    const auto timeout = std::clamp(left, milliseconds(1), acquireTimeout);
    const auto groups = groupsFor(*group);
    claim_result decided;
    if (groups.size() == 1) {
        decided = co_await ask(groups.front(), ticket, timeout);
    } else {
        auto [former, current] = co_await (ask(groups.front(), ticket, timeout) && ask(groups.back(), ticket, timeout));
        // What the former group knows goes first.
        decided = former.outcome == claim_outcome::granted ? std::move(current) : std::move(former);
    }
    if (decided.outcome != claim_outcome::granted) {
        release(ticket);
    }
    co_return decided;
}

void claim_client::release(const claim_ticket &ticket)
{
    if (const auto group = groupOf(ticket.epoch)) {
        for (const auto &each : groupsFor(*group)) {
            send(each, ticket, claim_action::release, std::nullopt);
        }
    }
}

asio::awaitable<void> claim_client::finish(claim_ticket ticket, stored_answer answer)
{
    using namespace asio::experimental::awaitable_operators;
    const auto group = groupOf(ticket.epoch);
    if (!group) {
        co_return;
    }
    std::optional<stored_answer> kept;
    if (answer.bytes() <= claim_store::answerBytesMaximum) {
        kept = std::move(answer);
    }
    const auto groups = groupsFor(*group);
    if (groups.size() > 1) {
        send(groups.front(), ticket, claim_action::finish, kept);
    }
    asio::steady_timer limit(co_await asio::this_coro::executor, finishWait);
    co_await (record(*group, ticket, kept) || limit.async_wait(asio::use_awaitable));
}

asio::awaitable<bool> claim_client::record(claim_group group, claim_ticket ticket, std::optional<stored_answer> answer)
{
    auto start = [this, group, ticket, answer](std::function<void(bool)> done) {
        auto replies = std::make_shared<acknowledgements>(group.members.size(), std::move(done));
        for (const auto &member : group.members) {
            auto request = makeRequest(claim_action::finish, ticket, group, member);
            request.answer = answer;
            call(member, request, settleTimeout,
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
    const bool young = m_clock.wallNow() < group.openedAt + overlap;
    if (!group.epoch.region || group.epoch.number < 2 || !young) {
        return std::nullopt;
    }
    epoch_id former = group.epoch;
    --former.number;
    return m_epochs.find(former);
}

// A group that lost its majority for good knows nothing to wait for.
bool claim_client::hasMajority(const claim_group &group) const
{
    const auto living = std::ranges::count_if(group.members, [&](const epoch_member &member) {
        const auto known = m_members.find(member.host);
        return known && known->serves() && known->incarnation == member.incarnation;
    });
    return static_cast<std::size_t>(living) > group.members.size() / 2;
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

asio::awaitable<claim_result> claim_client::ask(claim_group group, claim_ticket ticket, milliseconds timeout)
{
    auto start = [this, group, ticket, timeout](std::function<void(claim_result)> done) {
        auto replies = std::make_shared<round_collector>(group.members.size(), std::move(done));
        for (std::size_t i = 0; i < group.members.size(); ++i) {
            const auto request = makeRequest(claim_action::acquire, ticket, group, group.members[i]);
            call(group.members[i], request, timeout, [replies, i](const result<claim_reply> &reply) { replies->onReply(i, reply); });
        }
    };
    co_return co_await awaitCallback<claim_result>(std::move(start));
}

void claim_client::send(const claim_group &group, const claim_ticket &ticket, claim_action action, const std::optional<stored_answer> &answer)
{
    for (const auto &member : group.members) {
        auto request = makeRequest(action, ticket, group, member);
        request.answer = answer;
        call(member, request, settleTimeout, [](const result<claim_reply> &) {});
    }
}

void claim_client::call(const epoch_member &member, const claim_request &request, milliseconds timeout, peer_done<claim_reply> done)
{
    if (member.host == m_members.self().host) {
        done(m_store.handle(request));
        return;
    }
    m_peers.claim(member.address, request, timeout, std::move(done));
}

} // namespace hornbeampick
