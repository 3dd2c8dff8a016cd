#include "fakes/replica_cluster.h"
#include "storage/record_frame.h"

#include "replica.pb.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

constexpr std::uint64_t firstSeed = 20261204;

std::uint64_t sequenceCount()
{
    const char *text = std::getenv("HORNBEAMPICK_SEQUENCES");
    constexpr std::uint64_t defaultCount = 10'000;
    return text == nullptr ? defaultCount : std::strtoull(text, nullptr, 10);
}

// A random sequence of submits and failures against one cluster.
class fault_history
{
public:
    // `hasDiskFailures`: disks are full or fail for a while too; without it, a seed gives the sequence that it gave before there were any.
    explicit fault_history(std::uint64_t seed, std::size_t hosts = 3, bool hasDiskFailures = false)
        : m_cluster(hosts, seed)
        , m_hasDiskFailures(hasDiskFailures)
    {
        m_cluster.run(milliseconds(600));
    }

    void runCommands(int commands)
    {
        for (int i = 0; i < commands; ++i) {
            runRandomCommand();
            m_cluster.run(milliseconds(10 * (1 + m_cluster.random().below(30))));
        }
    }

    // Ends all failures. Afterwards every accepted change must be present on every host.
    void recover()
    {
        healDisks();
        m_cluster.healAll();
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            m_cluster.start(i);
        }
        m_cluster.run(milliseconds(4000));
    }

    [[nodiscard]] std::string violation()
    {
        if (!m_cluster.violations.empty()) {
            return m_cluster.violations.front();
        }
        if (!m_cluster.leader()) {
            return "no leader after all failures ended";
        }
        std::map<std::uint64_t, digest> accepted;
        for (const auto &[change, verdict] : m_cluster.verdicts) {
            if (verdict.error != errc::ok) {
                continue;
            }
            const auto [known, isNew] = accepted.try_emplace(change.version, change.content);
            if (!isNew && known->second != change.content) {
                return "two files accepted as version " + std::to_string(change.version);
            }
        }
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            const auto &state = m_cluster.engine(i)->ledger().state();
            for (const auto &[version, content] : accepted) {
                const bool kept
                    = std::ranges::any_of(state.history, [&](const history_record &record) { return record.version == version && record.content == content; });
                if (!kept) {
                    return "version " + std::to_string(version) + " was accepted but is missing on host " + std::to_string(i);
                }
            }
        }
        return {};
    }

    [[nodiscard]] std::size_t acceptedCount() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(m_cluster.verdicts, [](const replica_cluster::verdict &each) { return each.result.error == errc::ok; }));
    }

private:
    void runRandomCommand()
    {
        auto &random = m_cluster.random();
        const std::size_t host = random.below(m_cluster.size());
        const std::size_t other = random.below(m_cluster.size());
        constexpr std::uint64_t commandKinds = 16;
        constexpr std::uint64_t diskFailureKinds = 6;
        switch (random.below(commandKinds + (m_hasDiskFailures ? diskFailureKinds : 0))) {
        case 0:
        case 1:
        case 2:
        case 3:
            submitNext(host);
            break;
        case 4:
            // Resubmits the last change at any host.
            if (m_last.version > 0) {
                m_cluster.submit(host, m_last);
            }
            break;
        case 5:
            submitConflicting();
            break;
        case 6:
            if (random.below(2) == 0) {
                m_cluster.kill(host);
            } else {
                m_cluster.crash(host);
            }
            break;
        case 7:
        case 8:
            m_cluster.start(host);
            break;
        case 9:
            m_cluster.cut(host, other, true);
            break;
        case 10:
            m_cluster.healAll();
            break;
        case 11:
            m_cluster.setMessageFaults(static_cast<unsigned>(random.below(30)), static_cast<unsigned>(random.below(20)),
                                       static_cast<unsigned>(random.below(40)));
            break;
        case 12:
            m_cluster.freeze(host, random.below(2) == 0);
            break;
        case 13:
            loseDisk(host, [&] { m_cluster.emptyDisk(host); });
            break;
        case 14:
            m_cluster.drift(host, minClockRate + static_cast<double>(random.below(100)) / 100);
            break;
        case 15:
            loseDisk(host, [&] { corruptRandomByte(host); });
            break;
        case 16:
        case 17:
            fillDisk(host);
            break;
        case 18:
            fillDisksInTurn();
            break;
        case 19:
            failWrites(host);
            break;
        case 20:
        case 21:
            healDisks();
            break;
        default:
            break;
        }
    }

    // Leaves the disk room for no bytes or a few.
    void fillDisk(std::size_t host)
    {
        constexpr std::uint64_t maxRoomBytes = 600;
        const std::size_t room = m_cluster.random().below(2) == 0 ? 0 : m_cluster.random().below(maxRoomBytes);
        m_cluster.files(host).setCapacity(m_cluster.files(host).usedBytes() + room);
    }

    // Fills one disk after another for a moment, with a submit during each.
    void fillDisksInTurn()
    {
        for (std::size_t host = 0; host < m_cluster.size(); ++host) {
            fillDisk(host);
            submitNext(host);
            m_cluster.run(milliseconds(10 * (1 + m_cluster.random().below(40))));
            m_cluster.files(host).setCapacity(std::nullopt);
            m_cluster.run(milliseconds(10 * (1 + m_cluster.random().below(40))));
        }
    }

    // Writes and syncs fail from one of the next on.
    void failWrites(std::size_t host)
    {
        constexpr std::uint64_t maxOperations = 8;
        m_cluster.files(host).failAfter(1 + m_cluster.random().below(maxOperations), errc::ioFailed);
    }

    void healDisks()
    {
        for (std::size_t host = 0; m_hasDiskFailures && host < m_cluster.size(); ++host) {
            m_cluster.files(host).setCapacity(std::nullopt);
            m_cluster.files(host).failAfter(0, errc::ioFailed);
        }
    }

    void submitNext(std::size_t host)
    {
        const std::size_t target = m_cluster.leader().value_or(host);
        if (!m_cluster.up(target)) {
            return;
        }
        const auto version = m_cluster.engine(target)->ledger().state().version + 1;
        m_last = makeRulesChange(version, std::to_string(m_cluster.random().next()), "operator");
        m_cluster.submit(target, m_last);
    }

    // Two operators submit different files with the same version.
    void submitConflicting()
    {
        const auto target = m_cluster.leader();
        if (!target) {
            return;
        }
        const auto version = m_cluster.engine(*target)->ledger().state().version + 1;
        m_cluster.submit(*target, makeRulesChange(version, std::to_string(m_cluster.random().next()), "first"));
        m_cluster.submit(*target, makeRulesChange(version, std::to_string(m_cluster.random().next()), "second"));
    }

    // Loses one disk at a time, and the next only after the lost one has been replaced.
    void loseDisk(std::size_t host, const std::function<void()> &lose)
    {
        const auto leader = m_cluster.leader();
        const bool allVoting
            = leader && m_cluster.engine(*leader)->view().config.voters.size() == m_cluster.size() && m_cluster.engine(*leader)->view().config.learners.empty();
        if (!allVoting || *leader == host) {
            return;
        }
        healDisks();
        m_cluster.crash(host);
        lose();
        m_cluster.start(host);
        // The disk is replaced before anything else fails: three voters do not tolerate the loss of two disks at once.
        m_cluster.healAll();
        for (std::size_t i = 0; i < m_cluster.size(); ++i) {
            m_cluster.start(i);
        }
        m_cluster.run(milliseconds(3000));
    }

    // Corrupts a random byte of the log or the snapshot.
    void corruptRandomByte(std::size_t host)
    {
        auto &files = m_cluster.files(host);
        const std::string_view name = m_cluster.random().below(2) == 0 ? "log" : "snapshot";
        const auto content = files.exists(name) ? files.read(name) : result<std::string>(std::string());
        if (!content.value().empty()) {
            files.corrupt(name, m_cluster.random().below(content.value().size()));
        }
    }

    // Clock rates range from this value to 1.0 above it, relative to the cluster's clock.
    static constexpr double minClockRate = 0.6;

    replica_cluster m_cluster;
    bool m_hasDiskFailures = false;
    rules_change m_last;
};

// Checks the sequences of one kind; without accepted changes their invariants would hold trivially.
void checkHistories(std::size_t hosts, bool hasDiskFailures)
{
    constexpr int commands = 12;
    std::size_t acceptedCount = 0;
    const std::uint64_t sequences = sequenceCount();
    for (std::uint64_t i = 0; i < sequences; ++i) {
        const std::uint64_t seed = firstSeed + i;
        fault_history history(seed, hosts, hasDiskFailures);
        history.runCommands(commands);
        history.recover();
        const auto violation = history.violation();
        if (!violation.empty()) {
            INFO("seed " << seed << ": " << violation);
            REQUIRE(violation.empty());
        }
        acceptedCount += history.acceptedCount();
    }
    INFO("accepted in all: " << acceptedCount);
    CHECK(acceptedCount > sequences);
}

} // namespace

TEST_CASE("replica: histories of failures keep one leader a term, committed entries, rising versions and every yes", "[replica][property]")
{
    checkHistories(3, false);
}

TEST_CASE("replica: histories with disks that are full or fail for a while keep the same", "[replica][property][storage]")
{
    checkHistories(3, true);
}

TEST_CASE("replica: a snapshot that arrives late does not drop entries acknowledged since", "[replica]")
{
    const replica_id leader {.host = host_name("l"), .disk = 1, .address = "l:1"};
    const replica_id self {.host = host_name("f"), .disk = 2, .address = "f:1"};
    seeded_random_source random(firstSeed);
    manual_clock clock;
    replica_image image {
        .disk = 2, .hardState = {.term = 1}, .snapshot = {.index = 1, .term = 1, .config = {.voters = {leader, self}, .learners = {}}, .state = {}}};
    replica_core core({.self = self}, image, random, clock.now());
    replica_message append {.kind = replica_message_kind::appendRequest, .from = leader, .to = self, .term = 1, .lastIndex = 1, .lastTerm = 1};
    append.entries = {{.index = 2, .term = 1, .body = barrier_entry {}}, {.index = 3, .term = 1, .body = barrier_entry {}}};
    core.step(append, clock.now());
    REQUIRE(core.takeOutput().messages.back().lastIndex == 3);
    core.markPersisted();
    replica_message late {.kind = replica_message_kind::snapshotRequest, .from = leader, .to = self, .term = 1};
    late.snapshot = replica_snapshot {.index = 2, .term = 1, .config = image.snapshot.config, .state = {}};
    core.step(late, clock.now());
    CHECK(core.lastIndex() == 3);
    CHECK(core.commitIndex() == 2);
}

TEST_CASE("replica: the same change sent again after a lost answer gets the same yes", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto change = makeRulesChange(1, "a", "ann");
    cluster.submit(*cluster.leader(), change);
    cluster.run(milliseconds(200));
    cluster.crash(*cluster.leader());
    cluster.run(milliseconds(1000));
    cluster.submit(*cluster.leader(), change);
    cluster.run(milliseconds(200));
    REQUIRE(cluster.verdicts.size() == 2);
    CHECK(cluster.verdicts[0].result.error == errc::ok);
    CHECK(cluster.verdicts[1].result.error == errc::ok);
    CHECK(cluster.verdicts[1].result.winnerOperator == "ann");
}

TEST_CASE("replica: of two files with the same version one wins and the other learns whose", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto first = makeRulesChange(1, "first", "ann");
    cluster.submit(*cluster.leader(), first);
    cluster.submit(*cluster.leader(), makeRulesChange(1, "second", "bob"));
    cluster.run(milliseconds(200));
    REQUIRE(cluster.verdicts.size() == 2);
    CHECK(cluster.verdicts[0].result.error == errc::ok);
    CHECK(cluster.verdicts[1].result.error == errc::versionConflict);
    CHECK(cluster.verdicts[1].result.winner == first.content);
    CHECK(cluster.verdicts[1].result.winnerOperator == "ann");
}

TEST_CASE("replica: a leader that only sends and never hears steps down, and another one leads", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto partitioned = *cluster.leader();
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (i != partitioned) {
            cluster.cut(i, partitioned, true);
        }
    }
    cluster.run(milliseconds(1500));
    REQUIRE(cluster.leader());
    CHECK(*cluster.leader() != partitioned);
    CHECK(cluster.engine(partitioned)->view().role != replica_role::leader);
}

TEST_CASE("replica: without a majority a submit is not confirmed and serving state stays", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto leader = *cluster.leader();
    cluster.submit(leader, makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(200));
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        if (i != leader) {
            cluster.crash(i);
        }
    }
    cluster.submit(leader, makeRulesChange(2, "b", "ann"));
    cluster.run(milliseconds(1000));
    REQUIRE(cluster.verdicts.size() == 2);
    CHECK(cluster.verdicts[1].result.error == errc::noQuorum);
    CHECK(cluster.engine(leader)->ledger().state().version == 1);
}

TEST_CASE("replica: a second host lost right after the repair of a first loses nothing", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    for (std::uint64_t version = 1; version <= 20; ++version) {
        cluster.submit(*cluster.leader(), makeRulesChange(version, "a", "ann"));
        cluster.run(milliseconds(50));
    }
    const auto leader = *cluster.leader();
    const std::size_t lost = (leader + 1) % 3;
    cluster.crash(lost);
    cluster.emptyDisk(lost);
    cluster.start(lost);
    // The leader is lost as soon as the new disk is a voter.
    for (int i = 0; i < 500; ++i) {
        cluster.run(milliseconds(10));
        const auto config = cluster.engine(leader)->view().config;
        if (config.voters.size() == 3 && config.learners.empty() && cluster.engine(lost)->view().role == replica_role::follower) {
            break;
        }
    }
    cluster.crash(leader);
    cluster.emptyDisk(leader);
    cluster.run(milliseconds(2000));
    REQUIRE(cluster.leader());
    CHECK(cluster.engine(*cluster.leader())->ledger().state().version == 20);
    cluster.start(leader);
    cluster.run(milliseconds(3000));
    CHECK(cluster.engine(leader)->ledger().state().version == 20);
    CHECK(cluster.violations.empty());
}

TEST_CASE("replica: a killed host that restarts alone still has what was in force on it", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(500));
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.kill(i);
    }
    cluster.start(0);
    CHECK(cluster.engine(0)->ledger().state().version == 1);
    CHECK(cluster.violations.empty());
}

TEST_CASE("replica: a damaged disk is set aside and filled again from the others, without anybody's help", "[replica][storage]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    for (std::uint64_t version = 1; version <= 20; ++version) {
        cluster.submit(*cluster.leader(), makeRulesChange(version, "a", "ann"));
        cluster.run(milliseconds(50));
    }
    const std::size_t damaged = (*cluster.leader() + 1) % 3;
    cluster.crash(damaged);
    cluster.files(damaged).corrupt("snapshot", 30);
    cluster.start(damaged);
    cluster.run(milliseconds(3000));
    CHECK(cluster.stopped.empty());
    CHECK(cluster.engine(damaged)->view().role == replica_role::follower);
    CHECK(cluster.engine(damaged)->ledger().state().version == 20);
    CHECK(cluster.engine(*cluster.leader())->view().config.voters.size() == 3);
    CHECK(cluster.violations.empty());
}

TEST_CASE("replica: when all disks are damaged no empty log is formed over what was accepted", "[replica][storage]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(500));
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.crash(i);
        cluster.files(i).corrupt("snapshot", 30);
    }
    for (std::size_t i = 0; i < cluster.size(); ++i) {
        cluster.start(i);
    }
    cluster.run(milliseconds(5000));
    CHECK(!cluster.leader());
    cluster.submit(0, makeRulesChange(1, "another", "bob"));
    REQUIRE(cluster.verdicts.size() == 2);
    CHECK(cluster.verdicts[1].result.error == errc::notAVoter);
}

// Voters whose disks were full for a moment stayed stopped, so that after a majority of such moments no change was accepted any more.
TEST_CASE("replica: after every disk was full in turn, all changes are accepted and read back", "[replica][storage]")
{
    const std::size_t hosts = GENERATE(3, 6);
    const std::size_t extraBytes = GENERATE(0, 1, 40, 400);
    INFO(hosts << " hosts, room for " << extraBytes << " bytes");
    replica_cluster cluster(hosts, firstSeed);
    cluster.run(milliseconds(1000));
    std::uint64_t version = 0;
    const auto submitChanges = [&](int count) {
        for (int i = 0; i < count; ++i) {
            REQUIRE(cluster.leader());
            cluster.submit(*cluster.leader(), makeRulesChange(++version, "a", "ann"));
            cluster.run(milliseconds(600));
            // A change whose answer was unclear is sent again.
            if (cluster.verdicts.back().result.error != errc::ok) {
                REQUIRE(cluster.verdicts.back().result.error == errc::noQuorum);
                REQUIRE(cluster.leader());
                cluster.submit(*cluster.leader(), makeRulesChange(version, "a", "ann"));
                cluster.run(milliseconds(600));
            }
            REQUIRE(cluster.verdicts.back().result.error == errc::ok);
        }
    };
    for (std::size_t full = 0; full < hosts; ++full) {
        cluster.files(full).setCapacity(cluster.files(full).usedBytes() + extraBytes);
        submitChanges(3);
        cluster.files(full).setCapacity(std::nullopt);
        cluster.run(milliseconds(1000));
    }
    submitChanges(1);
    // A snapshot that was sent while the disk was full is sent again after 2 s.
    cluster.run(milliseconds(2000));
    for (std::size_t host = 0; host < hosts; ++host) {
        CHECK(cluster.engine(host)->ledger().state().version == version);
    }
    CHECK(cluster.engine(*cluster.leader())->view().config.voters.size() == hosts);
    CHECK(cluster.violations.empty());
}

TEST_CASE("replica: a voter with a full disk acknowledges nothing and votes for nothing until it has room, and the others go on", "[replica][storage]")
{
    const errc failure = GENERATE(errc::diskFull, errc::ioFailed);
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const std::size_t leader = *cluster.leader();
    const std::size_t full = (leader + 1) % 3;
    const std::size_t third = (leader + 2) % 3;
    cluster.files(full).failAfter(1, failure);
    cluster.submit(leader, makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(500));
    REQUIRE(cluster.verdicts.size() == 1);
    CHECK(cluster.verdicts[0].result.error == errc::ok);
    CHECK(cluster.engine(full)->view().role == replica_role::stopped);
    CHECK(cluster.stopped.at(full) == failure);

    // Without the third voter, a change needs the acknowledgement of the full one.
    cluster.cut(third, leader, true);
    cluster.cut(leader, third, true);
    cluster.submit(leader, makeRulesChange(2, "b", "ann"));
    cluster.run(milliseconds(1000));
    REQUIRE(cluster.verdicts.size() == 2);
    CHECK(cluster.verdicts[1].result.error == errc::noQuorum);
    // Neither of the others can be elected without the vote of the full one.
    cluster.run(milliseconds(3000));
    CHECK(!cluster.leader());
    CHECK(cluster.engine(full)->ledger().state().version <= 1);

    cluster.files(full).failAfter(0, failure);
    cluster.run(milliseconds(2000));
    CHECK(cluster.stopped.empty());
    REQUIRE(cluster.leader());
    cluster.submit(*cluster.leader(), makeRulesChange(2, "b", "ann"));
    cluster.run(milliseconds(500));
    CHECK(cluster.verdicts.back().result.error == errc::ok);
    CHECK(cluster.engine(full)->ledger().state().version == 2);
    CHECK(cluster.violations.empty());
}

TEST_CASE("replica: a leader with a full disk gives up leading, and what it had proposed is unclear", "[replica][storage]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const std::size_t full = *cluster.leader();
    cluster.files(full).setCapacity(cluster.files(full).usedBytes() + 1);
    cluster.submit(full, makeRulesChange(1, "a", "ann"));
    REQUIRE(cluster.verdicts.size() == 1);
    CHECK(cluster.verdicts[0].result.error == errc::noQuorum);
    CHECK(cluster.engine(full)->view().role == replica_role::stopped);
    cluster.run(milliseconds(1000));
    REQUIRE(cluster.leader());
    CHECK(*cluster.leader() != full);
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(200));
    CHECK(cluster.verdicts.back().result.error == errc::ok);
    cluster.files(full).setCapacity(std::nullopt);
    cluster.run(milliseconds(1000));
    CHECK(cluster.engine(full)->view().role == replica_role::follower);
    CHECK(cluster.engine(full)->ledger().state().version == 1);
    CHECK(cluster.violations.empty());
}

// A failed sync leaves a record that can be read but is not stored, and a later sync of the same file does not store it either.
TEST_CASE("replica: what a failed sync left in the cache is stored anew before it is acknowledged", "[replica][storage]")
{
    // The operation that fails: the write of the log, its sync, and later ones.
    const std::uint64_t failing = GENERATE(1, 2, 3, 4, 5);
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const std::size_t leader = *cluster.leader();
    const std::size_t faulty = (leader + 1) % 3;
    const std::size_t third = (leader + 2) % 3;
    cluster.kill(third);
    cluster.files(faulty).failAfter(failing, errc::ioFailed);
    cluster.submit(leader, makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(50));
    cluster.files(faulty).failAfter(0, errc::ioFailed);
    cluster.run(milliseconds(2000));
    if (cluster.verdicts.back().result.error != errc::ok) {
        cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
        cluster.run(milliseconds(500));
    }
    REQUIRE(cluster.verdicts.back().result.error == errc::ok);
    // All lose power, and the former leader stays away: the change is left on the faulty disk only.
    cluster.crash(leader);
    cluster.crash(faulty);
    cluster.start(faulty);
    cluster.start(third);
    cluster.run(milliseconds(2000));
    REQUIRE(cluster.leader());
    CHECK(cluster.engine(*cluster.leader())->ledger().state().version == 1);
    CHECK(cluster.violations.empty());
}

// A process that is killed between the write and the sync of a record finds the record, although a loss of power would still erase it.
TEST_CASE("replica: a record that a killed process wrote but did not sync is synced before it is acknowledged", "[replica][storage]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const std::size_t leader = *cluster.leader();
    const std::size_t killed = (leader + 1) % 3;
    const std::size_t third = (leader + 2) % 3;
    cluster.kill(third);
    // The log is written, and its sync fails.
    cluster.files(killed).failAfter(2, errc::ioFailed);
    cluster.submit(leader, makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(30));
    cluster.kill(killed);
    cluster.files(killed).failAfter(0, errc::ioFailed);
    cluster.start(killed);
    cluster.run(milliseconds(1000));
    if (cluster.verdicts.back().result.error != errc::ok) {
        cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
        cluster.run(milliseconds(500));
    }
    REQUIRE(cluster.verdicts.back().result.error == errc::ok);
    cluster.crash(leader);
    cluster.crash(killed);
    cluster.start(killed);
    cluster.start(third);
    cluster.run(milliseconds(2000));
    REQUIRE(cluster.leader());
    CHECK(cluster.engine(*cluster.leader())->ledger().state().version == 1);
}

TEST_CASE("replica: disks that are full while the log is formed delay it only until they have room", "[replica][storage]")
{
    const std::size_t room = GENERATE(0, 10, 60, 100, 150, 200, 300);
    INFO("room for " << room << " bytes");
    replica_cluster cluster(3, firstSeed, {.bootstrapHosts = 3});
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.kill(host);
        cluster.emptyDisk(host);
        cluster.files(host).setCapacity(room);
        cluster.start(host);
    }
    cluster.run(milliseconds(3000));
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.files(host).setCapacity(std::nullopt);
        cluster.run(milliseconds(1000));
    }
    cluster.run(milliseconds(2000));
    REQUIRE(cluster.leader());
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(500));
    REQUIRE(cluster.verdicts.size() == 1);
    CHECK(cluster.verdicts[0].result.error == errc::ok);
    for (std::size_t host = 0; host < 3; ++host) {
        CHECK(cluster.engine(host)->ledger().state().version == 1);
    }
    CHECK(cluster.violations.empty());
}

TEST_CASE("replica: a voter whose disk is full for a few seconds keeps its place, and so does a learner", "[replica][storage]")
{
    replica_cluster cluster(4, firstSeed, {.bootstrapHosts = 3});
    cluster.run(milliseconds(1000));
    cluster.start(3);
    cluster.run(milliseconds(2000));
    const auto before = cluster.engine(*cluster.leader())->view().config;
    REQUIRE(before.voters.size() == 3);
    REQUIRE(before.learners.size() == 1);
    const std::size_t voter = (*cluster.leader() + 1) % 3;
    std::uint64_t version = 0;
    for (const std::size_t full : {voter, std::size_t {3}}) {
        cluster.files(full).setCapacity(cluster.files(full).usedBytes());
        for (int i = 0; i < 3; ++i) {
            cluster.submit(*cluster.leader(), makeRulesChange(++version, "a", "ann"));
            cluster.run(milliseconds(1000));
        }
        CHECK(cluster.engine(full)->view().role == replica_role::stopped);
        cluster.files(full).setCapacity(std::nullopt);
        cluster.run(milliseconds(1000));
        CHECK(cluster.engine(full)->ledger().state().version == version);
    }
    const auto after = cluster.engine(*cluster.leader())->view().config;
    CHECK(after.voters == before.voters);
    CHECK(after.learners == before.learners);
}

TEST_CASE("replica: a full disk that is tried again and again does not fill further", "[replica][storage]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const std::size_t full = (*cluster.leader() + 1) % 3;
    auto &files = cluster.files(full);
    const std::size_t usedBefore = files.usedBytes();
    constexpr std::size_t room = 300;
    files.setCapacity(usedBefore + room);
    for (std::uint64_t version = 1; version <= 10; ++version) {
        cluster.submit(*cluster.leader(), makeRulesChange(version, std::string(200, 'a'), "ann"));
        cluster.run(milliseconds(400));
    }
    REQUIRE(cluster.engine(full)->view().role == replica_role::stopped);
    const std::size_t used = files.usedBytes();
    const auto operations = files.operations();
    constexpr milliseconds waited {10000};
    // An attempt writes and syncs each of three files; there are a few attempts a second.
    constexpr std::uint64_t maxOperationsPerSecond = 80;
    cluster.run(waited);
    CHECK(files.usedBytes() <= used);
    CHECK(files.operations() - operations <= maxOperationsPerSecond * 10);
    for (const auto *name : {"identity.new", "snapshot.new", "log.new"}) {
        CHECK(!files.exists(name));
    }
}

TEST_CASE("replica: a host that starts with a full disk shows what was in force, and votes once it has room", "[replica][storage]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(500));
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.kill(host);
        cluster.files(host).setCapacity(cluster.files(host).usedBytes());
    }
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.start(host);
        CHECK(cluster.engine(host)->ledger().state().version == 1);
    }
    cluster.run(milliseconds(1000));
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.files(host).setCapacity(std::nullopt);
    }
    cluster.run(milliseconds(2000));
    REQUIRE(cluster.leader());
    cluster.submit(*cluster.leader(), makeRulesChange(2, "b", "ann"));
    cluster.run(milliseconds(500));
    CHECK(cluster.verdicts.back().result.error == errc::ok);
    CHECK(cluster.violations.empty());
}

TEST_CASE("replica: records of a newer release stop the voter for good", "[replica][storage]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const std::size_t newer = (*cluster.leader() + 1) % 3;
    cluster.kill(newer);
    auto &files = cluster.files(newer);
    schema::hard_state_record record;
    record.set_format(2);
    REQUIRE(files.write("identity", frameRecord(record.SerializeAsString())));
    const auto written = files.read("identity").value();
    cluster.start(newer);
    cluster.run(milliseconds(5000));
    CHECK(cluster.engine(newer)->view().role == replica_role::stopped);
    CHECK(cluster.stopped.at(newer) == errc::unsupportedFormat);
    CHECK(files.read("identity").value() == written);
}

// Entry hosts decide on regions by what a replica says is the newest.
TEST_CASE("replica: a host that is cut off from the others confirms its state no longer", "[replica][home]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto former = *cluster.leader();
    const auto ageOf = [&](std::size_t host) { return cluster.clock().now() - cluster.engine(host)->view().confirmedAt; };
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        REQUIRE(ageOf(host) < milliseconds(300));
    }
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        cluster.cut(former, host, host != former);
        cluster.cut(host, former, host != former);
    }
    cluster.run(milliseconds(5000));
    REQUIRE(ageOf(former) > milliseconds(4900));
    REQUIRE(ageOf((former + 1) % 3) < milliseconds(300));
    REQUIRE(ageOf((former + 2) % 3) < milliseconds(300));
    cluster.healAll();
    cluster.run(milliseconds(2000));
    REQUIRE(ageOf(former) < milliseconds(300));
}

// A host that was suspended took messages that had waited in its socket for new ones, and confirmed a state that had been overtaken meanwhile.
TEST_CASE("replica: a host that was suspended confirms nothing later than its last contact", "[replica][home]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto leader = *cluster.leader();
    const auto suspended = (leader + 1) % cluster.size();
    REQUIRE(cluster.engine(suspended)->view().confirmedAt > cluster.clock().now() - milliseconds(200));
    cluster.freeze(suspended, true);
    const auto suspendedAt = cluster.clock().now();
    cluster.run(milliseconds(50));
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        cluster.cut(host, suspended, true);
    }
    cluster.run(milliseconds(400));
    cluster.freeze(suspended, false);
    cluster.run(milliseconds(100));
    CHECK(cluster.engine(suspended)->view().confirmedAt <= suspendedAt);
    // In contact again, it confirms again.
    cluster.healAll();
    cluster.run(milliseconds(1000));
    CHECK(cluster.engine(suspended)->view().confirmedAt > cluster.clock().now() - milliseconds(200));
}

// The leader kept the largest time that a host had told; one whose machine had started again, and its clock with it, confirmed nothing for as long
// as it had run before.
TEST_CASE("replica: a host whose clock began anew confirms its state again", "[replica][home]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(4000));
    const auto host = (*cluster.leader() + 1) % cluster.size();
    cluster.crash(host);
    cluster.restartClock(host);
    cluster.start(host);
    cluster.run(milliseconds(1000));
    CHECK(cluster.confirmedAge(host) < milliseconds(200));
}

// The same at a leader: replies that had waited in its socket counted as a majority's contact.
TEST_CASE("replica: a leader that was suspended does not count replies that waited", "[replica][home]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto leader = *cluster.leader();
    cluster.run(milliseconds(10));
    cluster.freeze(leader, true);
    const auto suspendedAt = cluster.clock().now();
    cluster.run(milliseconds(50));
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        cluster.cut(host, leader, true);
    }
    cluster.run(milliseconds(400));
    cluster.freeze(leader, false);
    cluster.run(milliseconds(20));
    CHECK(cluster.engine(leader)->view().confirmedAt <= suspendedAt);
}

// Guards against a follower that confirms by the word of a leader that has lost its majority and has not noticed yet.
TEST_CASE("replica: a follower that is cut off together with the leader confirms nothing later than the contact to a majority", "[replica][home]")
{
    replica_cluster cluster(5, firstSeed);
    cluster.run(milliseconds(1000));
    const auto leader = *cluster.leader();
    const auto follower = (leader + 1) % cluster.size();
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        const bool isBeyondCut = host != leader && host != follower;
        for (const auto near : {leader, follower}) {
            cluster.cut(near, host, isBeyondCut);
            cluster.cut(host, near, isBeyondCut);
        }
    }
    const auto cutAt = cluster.clock().now();
    // The leader steps down two election timeouts after the cut.
    cluster.run(milliseconds(150));
    CHECK(cluster.engine(follower)->view().leader.has_value());
    CHECK(cluster.engine(follower)->view().confirmedAt <= cutAt);
    cluster.healAll();
    cluster.run(milliseconds(3000));
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        CHECK(cluster.confirmedAge(host) < milliseconds(300));
    }
}

TEST_CASE("replica: a host at another address takes the place of a voter that is gone for good", "[replica]")
{
    replica_cluster cluster(4, firstSeed, {.bootstrapHosts = 3});
    cluster.run(milliseconds(1000));
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(200));
    const std::size_t failed = (*cluster.leader() + 1) % 3;
    cluster.crash(failed);
    cluster.start(3);
    cluster.run(milliseconds(9000));
    const auto leader = cluster.leader();
    REQUIRE(leader);
    const auto config = cluster.engine(*leader)->view().config;
    REQUIRE(config.voters.size() == 3);
    REQUIRE(std::ranges::find(config.voters, host_name("h3"), &replica_id::host) != config.voters.end());
    REQUIRE(cluster.engine(3)->ledger().state().version == 1);
    // The new voter counts towards the quorum: another original voter may now be lost.
    const std::size_t other = 3 - failed - *leader;
    cluster.crash(other);
    cluster.submit(*leader, makeRulesChange(2, "b", "ann"));
    cluster.run(milliseconds(2000));
    REQUIRE(cluster.verdicts.back().result.error == errc::ok);
    REQUIRE(cluster.violations.empty());
}

TEST_CASE("replica: hosts beyond those that form the log join it, also when another host leads", "[replica]")
{
    replica_cluster cluster(6, firstSeed, {.bootstrapHosts = 3, .voters = 7});
    cluster.run(milliseconds(500));
    for (std::size_t host = 3; host < 6; ++host) {
        cluster.start(host);
    }
    cluster.run(milliseconds(5000));
    REQUIRE(cluster.leader());
    REQUIRE(cluster.engine(*cluster.leader())->view().config.voters.size() == 6);
    // Two of the six disks are lost immediately after an acceptance that only a majority may have stored.
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(100));
    for (std::size_t host = 0; host < 6; ++host) {
        cluster.crash(host);
    }
    cluster.emptyDisk(0);
    cluster.emptyDisk(1);
    for (std::size_t host = 0; host < 6; ++host) {
        cluster.start(host);
    }
    cluster.run(milliseconds(6000));
    REQUIRE(cluster.leader());
    for (std::size_t host = 0; host < 6; ++host) {
        REQUIRE(cluster.engine(host)->ledger().state().version == 1);
    }
    REQUIRE(cluster.violations.empty());
}

TEST_CASE("replica: a voter that was replaced while it was away is taken in again", "[replica]")
{
    replica_cluster cluster(4, firstSeed, {.bootstrapHosts = 3});
    cluster.run(milliseconds(1000));
    const std::size_t away = (*cluster.leader() + 1) % 3;
    cluster.crash(away);
    cluster.start(3);
    cluster.run(milliseconds(9000));
    cluster.submit(*cluster.leader(), makeRulesChange(1, "a", "ann"));
    cluster.run(milliseconds(200));
    cluster.start(away);
    cluster.run(milliseconds(6000));
    REQUIRE(cluster.engine(away)->ledger().state().version == 1);
}

TEST_CASE("replica: the highest routes win, evacuations are kept, and both survive a loss of power", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto leader = *cluster.leader();
    cluster.submitEntry(leader, routing_table {.version = 9, .document = "nine"});
    cluster.submitEntry(leader, routing_table {.version = 7, .document = "seven"});
    cluster.submitEntry(leader, routing_table {.version = 9, .document = "another nine"});
    cluster.submitEntry(leader, evacuation_order {.domain = domain_name("b"), .active = true});
    cluster.submitEntry(leader, evacuation_order {.domain = domain_name("a"), .active = true});
    cluster.submitEntry(leader, evacuation_order {.domain = domain_name("b"), .active = true});
    cluster.submitEntry(leader, evacuation_order {.domain = domain_name("a"), .active = false});
    cluster.run(milliseconds(300));
    REQUIRE(cluster.outcomes == std::vector<errc>(7, errc::ok));
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.crash(host);
    }
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.start(host);
    }
    cluster.run(milliseconds(3000));
    for (std::size_t host = 0; host < 3; ++host) {
        const auto &state = cluster.engine(host)->ledger().state();
        REQUIRE(state.routing.version == 9);
        REQUIRE(state.routing.document == "nine");
        REQUIRE(state.evacuated == std::vector {domain_name("b")});
    }
}

TEST_CASE("replica: after a loss of power what was in force is back before any leader", "[replica]")
{
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    for (std::uint64_t version = 1; version <= 5; ++version) {
        cluster.submitEntry(*cluster.leader(), routing_table {.version = version});
        cluster.run(milliseconds(200));
    }
    for (std::size_t host = 0; host < 3; ++host) {
        cluster.crash(host);
    }
    cluster.start(0);
    // The commit index of the last entry may not have been recorded yet.
    REQUIRE(cluster.engine(0)->ledger().state().routing.version >= 4);
}

// The log was compacted by the number of its entries alone, so that a few hundred changes of a large configuration filled memory and disk.
TEST_CASE("replica: the log is compacted before its entries take more than their share of the memory", "[replica][memory]")
{
    constexpr std::size_t documentBytes = 4 * 1024 * 1024;
    const std::size_t maxBytes = replica_node_options().maxLogBytes + 2 * documentBytes;
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    for (std::uint64_t version = 1; version <= 12; ++version) {
        cluster.submitEntry(*cluster.leader(), routing_table {.version = version, .document = std::string(documentBytes, 'd')});
        cluster.run(milliseconds(100));
        for (std::size_t host = 0; host < cluster.size(); ++host) {
            INFO("version " << version << ", host " << host);
            REQUIRE(cluster.files(host).usedBytes() < maxBytes);
        }
    }
    REQUIRE(cluster.outcomes == std::vector<errc>(12, errc::ok));
}

// All unacknowledged entries were sent again with each heartbeat and each proposal; a follower that answers late was sent a large configuration
// dozens of times, and the leader held all copies.
TEST_CASE("replica: entries in flight to a slow follower are not sent again with each heartbeat", "[replica][memory]")
{
    constexpr std::size_t documentBytes = 100 * 1024;
    constexpr std::size_t changes = 6;
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto leader = *cluster.leader();
    const auto slow = (leader + 1) % cluster.size();
    cluster.cut(slow, leader, true);
    for (std::uint64_t version = 1; version <= changes; ++version) {
        cluster.submitEntry(leader, routing_table {.version = version, .document = std::string(documentBytes, 'd')});
        cluster.run(milliseconds(100));
    }
    REQUIRE(cluster.outcomes == std::vector<errc>(changes, errc::ok));
    REQUIRE(cluster.leader() == leader);
    // Each entry once, and all of them again once a retry interval of about 100 ms.
    const auto sentBytes = cluster.entryBytesSent[std::pair(leader, slow)];
    INFO("bytes sent: " << sentBytes);
    CHECK(sentBytes < changes * (changes + 2) / 2 * documentBytes);
    cluster.healAll();
    cluster.run(milliseconds(1000));
    CHECK(cluster.engine(slow)->ledger().state().routing.version == changes);
}

// Proposals were taken without a bound while no follower answered.
TEST_CASE("replica: a leader refuses changes beyond what its memory bears while none is confirmed", "[replica][memory]")
{
    constexpr std::size_t documentBytes = 3 * 1024 * 1024;
    replica_cluster cluster(3, firstSeed);
    cluster.run(milliseconds(1000));
    const auto leader = *cluster.leader();
    for (std::size_t host = 0; host < cluster.size(); ++host) {
        cluster.cut(host, leader, true);
    }
    for (std::uint64_t version = 1; version <= 4; ++version) {
        cluster.submitEntry(leader, routing_table {.version = version, .document = std::string(documentBytes, 'd')});
    }
    CHECK(cluster.outcomes == std::vector<errc>(2, errc::logBusy));
    cluster.healAll();
    cluster.run(milliseconds(2000));
    cluster.outcomes.clear();
    cluster.submitEntry(*cluster.leader(), routing_table {.version = 9, .document = "later"});
    cluster.run(milliseconds(500));
    CHECK(cluster.outcomes == std::vector<errc> {errc::ok});
}

// With the votes of all remaining hosts required, a vote that takes longer to store than an election lasts always came too late: each attempt began
// a new term, whose vote had to be stored again.
TEST_CASE("replica: a leader is elected although a voter that is needed stores its vote slower than an election lasts", "[replica]")
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + 10; ++seed) {
        CAPTURE(seed);
        replica_cluster cluster(4, seed);
        cluster.run(milliseconds(1000));
        const auto leader = *cluster.leader();
        const auto slow = (leader + 1) % cluster.size();
        cluster.slowDisk(slow, milliseconds(180));
        cluster.crash(leader);
        // Three of four voters are needed and left.
        cluster.run(milliseconds(2500));
        REQUIRE(cluster.leader());
        cluster.submitEntry(*cluster.leader(), routing_table {.version = 5, .document = "five"});
        cluster.run(milliseconds(2000));
        REQUIRE(cluster.outcomes == std::vector<errc> {errc::ok});
    }
}

// Regression test for a sequence found by the property test above: a new disk starts to follow a leader that is replaced before the change
// that adds the disk is committed. The disk then sent no further join requests and stayed outside the log.
TEST_CASE("replica: a disk invited by a leader that was replaced meanwhile finds its place (seed 20268276)", "[replica]")
{
    fault_history history(20268276);
    history.runCommands(12);
    history.recover();
    REQUIRE(history.violation().empty());
}
