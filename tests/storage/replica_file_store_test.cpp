#include "fakes/memory_files.h"
#include "fakes/replica_cluster.h"
#include "storage/record_frame.h"
#include "storage/replica_file_store.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

log_entry entryOf(log_index index, log_term term)
{
    return {.index = index, .term = term, .body = changeOf(index, "note " + std::to_string(term), "ann")};
}

replica_snapshot snapshotOf(log_index index, log_term term)
{
    replica_snapshot snapshot {.index = index, .term = term, .config = {}, .state = {}};
    snapshot.config.voters.push_back({.host = host_name("a"), .disk = 7, .address = "a:1"});
    snapshot.state.version = index;
    return snapshot;
}

// Writes in the order of a replica's life; returns how many steps succeeded.
int writeLife(replica_store &store)
{
    int done = 0;
    const auto step = [&done](const status &result) {
        done += result ? 1 : 0;
        return result.has_value();
    };
    const std::vector<log_entry> first {entryOf(2, 1), entryOf(3, 1)};
    const std::vector<log_entry> second {entryOf(3, 2), entryOf(4, 2)};
    (void)(step(store.saveIdentity(7, {.term = 1, .votedFor = 7})) && step(store.saveSnapshot(snapshotOf(1, 1), {})) && step(store.append(first))
           && step(store.append(second)) && step(store.saveIdentity(7, {.term = 2, .votedFor = 0}))
           && step(store.saveSnapshot(snapshotOf(3, 2), std::vector<log_entry> {entryOf(4, 2)})));
    return done;
}

// What must be found after `done` steps; later ones may show as well, wholly.
bool holds(const replica_image &image, int done)
{
    const bool snapshot = done < 2 || image.snapshot.index >= 1;
    const bool term = done < 5 || image.hard.term == 2;
    const auto last = image.entries.empty() ? image.snapshot.index : image.entries.back().index;
    const bool entries = done < 3 || last >= 3;
    const bool replaced = done < 4 || (last == 4 && image.entries.back().term == 2);
    const bool compacted = done < 6 || (image.snapshot.index == 3 && image.entries.size() == 1);
    return snapshot && term && entries && replaced && compacted;
}

} // namespace

TEST_CASE("replica_file_store: what was synced is found after a crash at every write and every sync", "[storage]")
{
    memory_files counted;
    writeLife(*makeReplicaFileStore(counted));
    const auto operations = counted.operations();
    REQUIRE(operations > 10);
    for (std::uint64_t failing = 1; failing <= operations + 1; ++failing) {
        for (std::uint64_t keep : {0ULL, 1ULL, 13ULL, 1'000'003ULL}) {
            memory_files files;
            files.failAfter(failing, errc::ioFailed);
            const int done = writeLife(*makeReplicaFileStore(files));
            files.crash(keep);
            const auto image = makeReplicaFileStore(files)->load();
            INFO("crash at operation " << failing << ", " << done << " steps done, tail " << keep);
            REQUIRE(image);
            CHECK(holds(image.value(), done));
        }
    }
}

TEST_CASE("replica_file_store: a torn last frame is cut off, damage is refused, at the end too", "[storage]")
{
    memory_files files;
    const auto store = makeReplicaFileStore(files);
    REQUIRE(store->saveSnapshot(snapshotOf(1, 1), {}));
    REQUIRE(store->saveIdentity(7, {.term = 1, .votedFor = 0}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(2, 1)}));
    const auto whole = files.read("log").value().size();
    REQUIRE(store->append(std::vector<log_entry> {entryOf(3, 1)}));
    const auto longer = files.read("log").value().size();

    SECTION("torn")
    {
        REQUIRE(files.truncate("log", longer - 3));
        const auto image = store->load();
        REQUIRE(image);
        CHECK(image.value().entries.size() == 1);
        CHECK(files.read("log").value().size() == whole);
    }
    SECTION("damaged in the middle")
    {
        files.corrupt("log", whole / 2);
        const auto image = store->load();
        REQUIRE(!image);
        CHECK(image.error() == errc::corruptRecord);
    }
    SECTION("damaged at the end, anywhere in the last frame")
    {
        for (std::size_t position = whole; position < longer; ++position) {
            files.corrupt("log", position);
            INFO("byte " << position - whole << " of " << longer - whole);
            const auto image = store->load();
            REQUIRE(!image);
            files.corrupt("log", position);
        }
    }
    SECTION("torn with blocks that were never written")
    {
        for (std::size_t written = whole + 1; written + 8 < longer; ++written) {
            memory_files torn;
            const auto log = files.read("log").value();
            for (const auto *name : {"identity", "snapshot"}) {
                REQUIRE(torn.write(name, files.read(name).value()));
            }
            REQUIRE(torn.write("log", log.substr(0, written) + std::string(longer - written, '\0')));
            const auto image = makeReplicaFileStore(torn)->load();
            INFO("written " << written - whole << " of " << longer - whole);
            REQUIRE(image);
            CHECK(image.value().entries.size() == 1);
        }
    }
    SECTION("damaged snapshot")
    {
        files.corrupt("snapshot", 30);
        REQUIRE(!store->load());
    }
}

TEST_CASE("replica_file_store: records set aside leave a new disk that knows of its loss, after a crash at every step too", "[storage]")
{
    const auto damaged = [](memory_files &files) {
        writeLife(*makeReplicaFileStore(files));
        files.corrupt("log", 10);
        // A sound frame behind the damage.
        REQUIRE(makeReplicaFileStore(files)->append(std::vector<log_entry> {entryOf(5, 2)}));
        REQUIRE(makeReplicaFileStore(files)->load().error() == errc::corruptRecord);
    };
    memory_files counted;
    damaged(counted);
    const auto before = counted.operations();
    REQUIRE(makeReplicaFileStore(counted)->setAside());
    const auto operations = counted.operations() - before;
    REQUIRE(operations >= 6);
    for (std::uint64_t failing = 1; failing <= operations + 1; ++failing) {
        for (std::uint64_t keep : {0ULL, 13ULL}) {
            INFO("crash at operation " << failing << ", tail " << keep);
            memory_files files;
            damaged(files);
            files.failAfter(failing, errc::ioFailed);
            const bool moved = makeReplicaFileStore(files)->setAside().has_value();
            files.crash(keep);
            const auto store = makeReplicaFileStore(files);
            auto image = store->load();
            // Never the old identity without its records.
            if (!image) {
                CHECK(!moved);
                CHECK(image.error() == errc::corruptRecord);
                REQUIRE(store->setAside());
                image = store->load();
            }
            REQUIRE(image);
            CHECK(image.value().disk == 0);
            CHECK(!image.value().formed());
            CHECK(image.value().lostRecords);
        }
    }
}

TEST_CASE("replica_file_store: entries that a later frame replaced do not return behind a snapshot", "[storage]")
{
    memory_files files;
    const auto store = makeReplicaFileStore(files);
    REQUIRE(store->saveIdentity(7, {.term = 2, .votedFor = 0}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(2, 1), entryOf(3, 1), entryOf(4, 1)}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(2, 2)}));
    // The crash falls between the new snapshot and the new log.
    const auto log = files.read("log").value();
    REQUIRE(store->saveSnapshot(snapshotOf(2, 2), {}));
    REQUIRE(files.write("log", log));
    const auto image = store->load();
    REQUIRE(image);
    CHECK(image.value().entries.empty());
}

TEST_CASE("replica_file_store: after a loss of power the log tells what was committed when its last entries came", "[storage]")
{
    memory_files files;
    auto store = makeReplicaFileStore(files);
    const std::vector<log_entry> first {entryOf(2, 1), entryOf(3, 1)};
    const std::vector<log_entry> second {entryOf(4, 1)};
    REQUIRE(store->saveIdentity(7, {.term = 1, .votedFor = 7}));
    REQUIRE(store->saveSnapshot(snapshotOf(1, 1), {}));
    REQUIRE(store->append(first));
    store->noteCommit(3);
    REQUIRE(store->append(second));
    store->noteCommit(4);
    files.crash(0);
    const auto image = makeReplicaFileStore(files)->load();
    REQUIRE(image);
    REQUIRE(image.value().commit >= 3);
    REQUIRE(image.value().commit <= 4);
}
