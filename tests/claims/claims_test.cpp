#include "claims/claim_round.h"
#include "claims/claim_store.h"
#include "claims/epoch_planner.h"
#include "core/random_source.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>

using namespace hornbeampick;

namespace
{

const epoch_id gentEpochOne {.region = region_name("Gent"), .host = std::nullopt, .number = 1};

// Simulates three members, claimants that start and crash, and messages that are lost, duplicated and delayed.
class claim_simulation
{
public:
    explicit claim_simulation(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::uint64_t i = 0; i < members; ++i) {
            m_stores.push_back(std::make_unique<claim_store>(claim_store_options {.incarnation = i + 1}));
        }
    }

    void step()
    {
        switch (m_random.below(10)) {
        case 0:
        case 1:
            startClaim();
            break;
        case 2:
            crashClaimant();
            break;
        case 3:
            finishRunningRequest();
            break;
        case 4:
            refuseRunningRequest();
            break;
        case 5:
            if (m_random.below(20) == 0) {
                restartMember();
            }
            break;
        default:
            deliver();
            break;
        }
    }

private:
    static constexpr std::uint64_t members = 3;
    static constexpr std::uint64_t keys = 3;

    struct claimant {
        std::string key;
        claim_owner owner;
        claim_round round {members};
        bool decided = false;
        bool running = false;
    };

    struct packet {
        std::uint64_t member = 0;
        claim_request request;
        // Expired: the claimant has crashed or ended, or expects no reply.
        std::weak_ptr<claimant> sender;
    };

    claim_request requestOf(claim_action action, const claimant &from, std::uint64_t member) const
    {
        claim_request request;
        request.action = action;
        request.epoch = gentEpochOne;
        request.key = from.key;
        request.content = digestOf({from.key});
        request.owner = from.owner;
        request.memberIncarnation = member + 1;
        return request;
    }

    void startClaim()
    {
        auto created = std::make_shared<claimant>();
        created->key = "k" + std::to_string(m_random.below(keys));
        created->owner = {.host = host_name("h"), .incarnation = 1, .number = ++m_lastNumber};
        m_claimants.push_back(created);
        for (std::uint64_t member = 0; member < members; ++member) {
            send(member, requestOf(claim_action::acquire, *created, member), created);
        }
    }

    void send(std::uint64_t member, claim_request request, const std::shared_ptr<claimant> &sender)
    {
        const auto copies = m_random.below(10) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            m_packets.push_back({.member = member, .request = request, .sender = sender});
        }
    }

    void deliver()
    {
        if (m_packets.empty()) {
            return;
        }
        const auto position = m_random.below(m_packets.size());
        const packet next = m_packets[position];
        m_packets.erase(m_packets.begin() + static_cast<std::ptrdiff_t>(position));
        const auto sender = next.sender.lock();
        const bool isAcquire = next.request.action == claim_action::acquire;
        if (m_random.below(10) == 0) {
            if (sender && isAcquire) {
                sender->round.onFailure(next.member);
                decide(sender);
            }
            return;
        }
        const auto reply = m_stores[next.member]->handle(next.request);
        const bool replyLost = m_random.below(10) == 0;
        if (sender && isAcquire) {
            if (replyLost) {
                sender->round.onFailure(next.member);
            } else {
                sender->round.onReply(next.member, reply);
            }
            decide(sender);
        }
    }

    void decide(const std::shared_ptr<claimant> &claimant)
    {
        if (claimant->decided || claimant->round.outcome() == claim_outcome::pending) {
            return;
        }
        claimant->decided = true;
        if (claimant->round.outcome() == claim_outcome::granted) {
            // The request runs now; the key must not have run before.
            RC_ASSERT(m_executedKeys.insert(claimant->key).second);
            claimant->running = true;
            return;
        }
        if (claimant->round.outcome() == claim_outcome::finished && claimant->round.answer()) {
            RC_ASSERT(m_executedKeys.contains(claimant->key));
            RC_ASSERT(claimant->round.answer()->body == m_answers.at(claimant->key));
        }
        release(*claimant);
    }

    void release(const claimant &from)
    {
        for (std::uint64_t member = 0; member < members; ++member) {
            send(member, requestOf(claim_action::release, from, member), nullptr);
        }
    }

    void crashClaimant()
    {
        if (!m_claimants.empty()) {
            m_claimants.erase(m_claimants.begin() + static_cast<std::ptrdiff_t>(m_random.below(m_claimants.size())));
        }
    }

    std::shared_ptr<claimant> takeRunningClaimant()
    {
        for (auto it = m_claimants.begin(); it != m_claimants.end(); ++it) {
            if ((*it)->running) {
                auto found = *it;
                m_claimants.erase(it);
                return found;
            }
        }
        return nullptr;
    }

    void finishRunningRequest()
    {
        const auto runner = takeRunningClaimant();
        if (!runner) {
            return;
        }
        const std::string body = "answer " + std::to_string(runner->owner.number);
        m_answers[runner->key] = body;
        for (std::uint64_t member = 0; member < members; ++member) {
            auto request = requestOf(claim_action::finish, *runner, member);
            request.answer = stored_answer {.status = 200, .headers = {}, .body = body};
            send(member, std::move(request), nullptr);
        }
    }

    // Simulates an attempt that failed before any byte was sent to the upstream: the key is free again and may run once more.
    void refuseRunningRequest()
    {
        const auto runner = takeRunningClaimant();
        if (!runner) {
            return;
        }
        m_executedKeys.erase(runner->key);
        release(*runner);
    }

    // The restarted member has a new incarnation and no records, so it no longer participates in this epoch.
    void restartMember()
    {
        const auto member = m_random.below(members);
        m_stores[member] = std::make_unique<claim_store>(claim_store_options {.incarnation = 1000 + ++m_lastNumber});
    }

    seeded_random_source m_random;
    std::vector<std::unique_ptr<claim_store>> m_stores;
    std::vector<std::shared_ptr<claimant>> m_claimants;
    std::vector<packet> m_packets;
    std::set<std::string> m_executedKeys;
    std::map<std::string, std::string> m_answers;
    std::uint64_t m_lastNumber = 0;
};

claim_request acquireOf(std::string_view key, std::uint64_t number, std::string_view content)
{
    claim_request request;
    request.epoch = gentEpochOne;
    request.key = std::string(key);
    request.content = digestOf({content});
    request.owner = {.host = host_name("h"), .incarnation = 1, .number = number};
    request.memberIncarnation = 1;
    return request;
}

fleet_member memberOf(std::string_view host, std::string_view region, std::string_view domain, std::uint64_t incarnation)
{
    return {.host = host_name(host),
            .httpAddress = "a:1",
            .rpcAddress = "a:2",
            .region = region_name(region),
            .domain = domain_name(domain),
            .incarnation = incarnation};
}

} // namespace

TEST_CASE("claims: a key never runs twice, whatever is lost, late, repeated or restarted", "[claims][property]")
{
    CHECK(rc::check("claims against an oracle", [](std::uint64_t seed) {
        claim_simulation simulation(seed);
        for (int i = 0; i < 400; ++i) {
            simulation.step();
        }
    }));
}

TEST_CASE("claim_store: the same key with another request is refused", "[claims]")
{
    claim_store store({.incarnation = 1});
    CHECK(store.handle(acquireOf("k", 1, "pay 10")).verdict == claim_verdict::granted);
    CHECK(store.handle(acquireOf("k", 2, "pay 20")).verdict == claim_verdict::mismatch);
    CHECK(store.handle(acquireOf("k", 3, "pay 10")).verdict == claim_verdict::held);
}

TEST_CASE("claim_store: a claim that arrives after its own release is not granted", "[claims]")
{
    claim_store store({.incarnation = 1});
    auto release = acquireOf("k", 1, "pay");
    release.action = claim_action::release;
    store.handle(release);
    CHECK(store.handle(acquireOf("k", 1, "pay")).verdict != claim_verdict::granted);
    CHECK(store.handle(acquireOf("k", 2, "pay")).verdict == claim_verdict::granted);
}

TEST_CASE("claim_store: a closed epoch forgets its records and makes none again", "[claims]")
{
    claim_store store({.incarnation = 1});
    store.handle(acquireOf("k", 1, "pay"));
    REQUIRE(store.size() == 1);
    store.closeEpochsBefore(region_name("Gent"), 2);
    CHECK(store.size() == 0);
    CHECK(store.bytes() == 0);
    CHECK(store.handle(acquireOf("k", 1, "pay")).verdict == claim_verdict::closed);
}

TEST_CASE("claim_store: without room no new key is granted, and known ones still answer", "[claims]")
{
    claim_store store({.incarnation = 1, .maxBytes = 600});
    CHECK(store.handle(acquireOf("a", 1, "pay")).verdict == claim_verdict::granted);
    CHECK(store.handle(acquireOf("b", 2, "pay")).verdict == claim_verdict::granted);
    CHECK(store.handle(acquireOf("c", 3, "pay")).verdict == claim_verdict::granted);
    CHECK(store.handle(acquireOf("d", 4, "pay")).verdict == claim_verdict::closed);
    CHECK(store.handle(acquireOf("a", 5, "pay")).verdict == claim_verdict::held);
}

TEST_CASE("epoch_id: text and back", "[claims]")
{
    CHECK(epoch_id::parse(gentEpochOne.text()) == gentEpochOne);
    const epoch_id hostEpoch {.region = std::nullopt, .host = host_name("gent-a1"), .number = 17};
    CHECK(epoch_id::parse(hostEpoch.text()) == hostEpoch);
    for (const auto *malformed : {"", "r.", "r.Gent", "r.Gent.", "r.Gent.x", "x.Gent.1", "r..1", "r.Gent.99999999999999999999"}) {
        CHECK(!epoch_id::parse(malformed));
    }
}

TEST_CASE("epoch_keeper: a region's group spans its failure domains and one host outside, and follows a restart", "[claims]")
{
    const topology fleet({
        {.name = region_name("Antwerpen"), .domains = {domain_name("antwerpen-a"), domain_name("antwerpen-b")}},
        {.name = region_name("Gent"), .domains = {domain_name("gent-a"), domain_name("gent-b")}},
    });
    const epoch_planner planner(fleet, {});
    std::vector<fleet_member> members {
        memberOf("a1", "Antwerpen", "antwerpen-a", 1),
        memberOf("a2", "Antwerpen", "antwerpen-b", 1),
        memberOf("g1", "Gent", "gent-a", 1),
        memberOf("g2", "Gent", "gent-b", 1),
    };
    std::vector<claim_epoch> epochs;
    while (auto epoch = planner.next(epochs, members, 1000)) {
        epochs.push_back(*epoch);
        REQUIRE(epochs.size() <= 2);
    }
    REQUIRE(epochs.size() == 2);
    std::set<std::string> domains;
    for (const auto &member : epochs[0].members) {
        const auto found = std::ranges::find(members, member.host, &fleet_member::host);
        domains.insert(found->domain.string());
    }
    CHECK(domains.contains("antwerpen-a"));
    CHECK(domains.contains("antwerpen-b"));
    CHECK(domains.size() == 3);

    members[2].incarnation = 2;
    const auto next = planner.next(epochs, members, 2000);
    REQUIRE(next);
    CHECK(next->number == 2);
}
