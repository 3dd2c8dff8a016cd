#include "claims/claim_round.h"
#include "claims/claim_store.h"
#include "claims/epoch_keeper.h"
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

const epoch_id gentOne {.region = region_name("Gent"), .host = std::nullopt, .number = 1};

// Three members, claimants that come and go, messages that are lost, repeated and late.
class claim_world
{
public:
    explicit claim_world(std::uint64_t seed)
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
            finishOne();
            break;
        case 4:
            refuseOne();
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
        // Empty: nobody waits for the reply any more.
        std::weak_ptr<claimant> sender;
    };

    claim_request requestOf(claim_action action, const claimant &from, std::uint64_t member) const
    {
        claim_request request;
        request.action = action;
        request.epoch = gentOne;
        request.key = from.key;
        request.content = digestOf({from.key});
        request.owner = from.owner;
        request.memberIncarnation = member + 1;
        return request;
    }

    void startClaim()
    {
        auto made = std::make_shared<claimant>();
        made->key = "k" + std::to_string(m_random.below(keys));
        made->owner = {.host = host_name("h"), .incarnation = 1, .number = ++m_numbers};
        m_claimants.push_back(made);
        for (std::uint64_t member = 0; member < members; ++member) {
            send(member, requestOf(claim_action::acquire, *made, member), made);
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
        const bool acquires = next.request.action == claim_action::acquire;
        if (m_random.below(10) == 0) {
            if (sender && acquires) {
                sender->round.onFailure(next.member);
                decide(sender);
            }
            return;
        }
        const auto reply = m_stores[next.member]->handle(next.request);
        const bool replyLost = m_random.below(10) == 0;
        if (sender && acquires) {
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
            // The request runs now: it must be the first run of the key.
            RC_ASSERT(m_ran.insert(claimant->key).second);
            claimant->running = true;
            return;
        }
        if (claimant->round.outcome() == claim_outcome::finished && claimant->round.answer()) {
            RC_ASSERT(m_ran.contains(claimant->key));
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

    std::shared_ptr<claimant> takeRunning()
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

    void finishOne()
    {
        const auto runner = takeRunning();
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

    // No byte had left: the key is free again, and may run once more.
    void refuseOne()
    {
        const auto runner = takeRunning();
        if (!runner) {
            return;
        }
        m_ran.erase(runner->key);
        release(*runner);
    }

    // It comes back as another incarnation, without records, and takes no part in this epoch.
    void restartMember()
    {
        const auto member = m_random.below(members);
        m_stores[member] = std::make_unique<claim_store>(claim_store_options {.incarnation = 1000 + ++m_numbers});
    }

    seeded_random_source m_random;
    std::vector<std::unique_ptr<claim_store>> m_stores;
    std::vector<std::shared_ptr<claimant>> m_claimants;
    std::vector<packet> m_packets;
    std::set<std::string> m_ran;
    std::map<std::string, std::string> m_answers;
    std::uint64_t m_numbers = 0;
};

claim_request acquireOf(std::string_view key, std::uint64_t number, std::string_view content)
{
    claim_request request;
    request.epoch = gentOne;
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
        claim_world world(seed);
        for (int i = 0; i < 400; ++i) {
            world.step();
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
    store.closeBefore(region_name("Gent"), 2);
    CHECK(store.size() == 0);
    CHECK(store.bytes() == 0);
    CHECK(store.handle(acquireOf("k", 1, "pay")).verdict == claim_verdict::closed);
}

TEST_CASE("claim_store: without room no new key is granted, and known ones still answer", "[claims]")
{
    claim_store store({.incarnation = 1, .bytesMaximum = 600});
    CHECK(store.handle(acquireOf("a", 1, "pay")).verdict == claim_verdict::granted);
    CHECK(store.handle(acquireOf("b", 2, "pay")).verdict == claim_verdict::granted);
    CHECK(store.handle(acquireOf("c", 3, "pay")).verdict == claim_verdict::granted);
    CHECK(store.handle(acquireOf("d", 4, "pay")).verdict == claim_verdict::closed);
    CHECK(store.handle(acquireOf("a", 5, "pay")).verdict == claim_verdict::held);
}

TEST_CASE("epoch_id: text and back", "[claims]")
{
    CHECK(epoch_id::parse(gentOne.text()) == gentOne);
    const epoch_id own {.region = std::nullopt, .host = host_name("gent-a1"), .number = 17};
    CHECK(epoch_id::parse(own.text()) == own);
    for (const auto *bad : {"", "r.", "r.Gent", "r.Gent.", "r.Gent.x", "x.Gent.1", "r..1", "r.Gent.99999999999999999999"}) {
        CHECK(!epoch_id::parse(bad));
    }
}

TEST_CASE("epoch_keeper: a region's group spans its failure domains and one host outside, and follows a restart", "[claims]")
{
    const topology fleet({
        {.name = region_name("Antwerpen"), .domains = {domain_name("antwerpen-a"), domain_name("antwerpen-b")}},
        {.name = region_name("Gent"), .domains = {domain_name("gent-a"), domain_name("gent-b")}},
    });
    const epoch_keeper keeper(fleet, {});
    std::vector<fleet_member> members {
        memberOf("a1", "Antwerpen", "antwerpen-a", 1),
        memberOf("a2", "Antwerpen", "antwerpen-b", 1),
        memberOf("g1", "Gent", "gent-a", 1),
        memberOf("g2", "Gent", "gent-b", 1),
    };
    std::vector<claim_epoch> epochs;
    while (auto epoch = keeper.next(epochs, members, 1000)) {
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
    const auto next = keeper.next(epochs, members, 2000);
    REQUIRE(next);
    CHECK(next->number == 2);
}
