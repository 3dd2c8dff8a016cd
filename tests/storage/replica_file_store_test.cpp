#include "codec/replica_codec.h"
#include "fakes/memory_files.h"
#include "fakes/memory_use.h"
#include "fakes/replica_cluster.h"
#include "storage/record_frame.h"
#include "storage/replica_file_store.h"

#include <catch2/catch.hpp>
#include <filesystem>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

log_entry entryOf(log_index index, log_term term)
{
    return {.index = index, .term = term, .body = makeRulesChange(index, "note " + std::to_string(term), "ann")};
}

replica_snapshot snapshotOf(log_index index, log_term term)
{
    replica_snapshot snapshot {.index = index, .term = term, .config = {}, .state = {}};
    snapshot.config.voters.push_back({.host = host_name("a"), .disk = 7, .address = "a:1"});
    snapshot.state.version = index;
    return snapshot;
}

// Performs the writes of a replica in their usual order; returns the number of steps that succeeded.
int writeReplicaSequence(replica_store &store)
{
    int completedSteps = 0;
    const auto step = [&completedSteps](const status &result) {
        completedSteps += result ? 1 : 0;
        return result.has_value();
    };
    const std::vector<log_entry> first {entryOf(2, 1), entryOf(3, 1)};
    const std::vector<log_entry> second {entryOf(3, 2), entryOf(4, 2)};
    (void)(step(store.saveHardState(7, {.term = 1, .votedFor = 7})) && step(store.saveSnapshot(snapshotOf(1, 1), {})) && step(store.append(first))
           && step(store.append(second)) && step(store.saveHardState(7, {.term = 2, .votedFor = 0}))
           && step(store.saveSnapshot(snapshotOf(3, 2), std::vector<log_entry> {entryOf(4, 2)})));
    return completedSteps;
}

// Returns true when `image` holds the effects of the first `completedSteps` steps; later steps may be visible too, but only completely.
bool containsCompletedSteps(const replica_image &image, int completedSteps)
{
    const bool snapshot = completedSteps < 2 || image.snapshot.index >= 1;
    const bool term = completedSteps < 5 || image.hardState.term == 2;
    const auto last = image.entries.empty() ? image.snapshot.index : image.entries.back().index;
    const bool entries = completedSteps < 3 || last >= 3;
    const bool replaced = completedSteps < 4 || (last == 4 && image.entries.back().term == 2);
    const bool compacted = completedSteps < 6 || (image.snapshot.index == 3 && image.entries.size() == 1);
    return snapshot && term && entries && replaced && compacted;
}

// The routes of a large configuration, with the document that they come from.
routing_table largeTable(std::uint64_t version)
{
    constexpr std::size_t routeCount = 1440;
    constexpr std::size_t documentBytes = 90'000;
    routing_table table {.version = version, .document = std::string(documentBytes, 'd')};
    for (std::size_t i = 0; i < routeCount; ++i) {
        table.routes.push_back({.name = "route-" + std::to_string(i),
                                .hostname = "shop" + std::to_string(i % 40) + ".example",
                                .pathPrefix = "/large" + std::to_string(i) + "/",
                                .services = {{.service = service_name("archive"), .weight = 1}}});
    }
    return table;
}

// A log frame as every build writes it.
std::string logFrame(std::span<const log_entry> entries, log_index commit)
{
    schema::replica_message batch;
    batch.set_commit_index(commit);
    for (const auto &entry : entries) {
        *batch.add_entries() = encode(entry);
    }
    return frameRecord(batch.SerializeAsString());
}

} // namespace

TEST_CASE("replica_file_store: what was synced is found after a crash at every write and every sync", "[storage]")
{
    memory_files countingFiles;
    writeReplicaSequence(*makeReplicaFileStore(countingFiles));
    const auto operations = countingFiles.operations();
    REQUIRE(operations > 10);
    for (std::uint64_t failing = 1; failing <= operations + 1; ++failing) {
        for (std::uint64_t keep : {0ULL, 1ULL, 13ULL, 1'000'003ULL}) {
            memory_files files;
            files.failAfter(failing, errc::ioFailed);
            const int completedSteps = writeReplicaSequence(*makeReplicaFileStore(files));
            files.crash(keep);
            const auto image = makeReplicaFileStore(files)->load();
            INFO("crash at operation " << failing << ", " << completedSteps << " steps done, tail " << keep);
            REQUIRE(image);
            CHECK(containsCompletedSteps(image.value(), completedSteps));
        }
    }
}

TEST_CASE("replica_file_store: a torn last frame is cut off, damage is refused, at the end too", "[storage]")
{
    memory_files files;
    const auto store = makeReplicaFileStore(files);
    REQUIRE(store->saveSnapshot(snapshotOf(1, 1), {}));
    REQUIRE(store->saveHardState(7, {.term = 1, .votedFor = 0}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(2, 1)}));
    const auto sizeBefore = files.read("log").value().size();
    REQUIRE(store->append(std::vector<log_entry> {entryOf(3, 1)}));
    const auto sizeAfter = files.read("log").value().size();

    SECTION("torn")
    {
        REQUIRE(files.truncate("log", sizeAfter - 3));
        const auto image = store->load();
        REQUIRE(image);
        CHECK(image.value().entries.size() == 1);
        CHECK(files.read("log").value().size() == sizeBefore);
    }
    SECTION("damaged in the middle")
    {
        files.corrupt("log", sizeBefore / 2);
        const auto image = store->load();
        REQUIRE(!image);
        CHECK(image.error() == errc::corruptRecord);
    }
    SECTION("damaged at the end, anywhere in the last frame")
    {
        for (std::size_t position = sizeBefore; position < sizeAfter; ++position) {
            files.corrupt("log", position);
            INFO("byte " << position - sizeBefore << " of " << sizeAfter - sizeBefore);
            const auto image = store->load();
            REQUIRE(!image);
            files.corrupt("log", position);
        }
    }
    SECTION("torn with blocks that were never written")
    {
        for (std::size_t written = sizeBefore + 1; written + 8 < sizeAfter; ++written) {
            memory_files torn;
            const auto log = files.read("log").value();
            for (const auto *name : {"identity", "snapshot"}) {
                REQUIRE(torn.write(name, files.read(name).value()));
            }
            REQUIRE(torn.write("log", log.substr(0, written) + std::string(sizeAfter - written, '\0')));
            const auto image = makeReplicaFileStore(torn)->load();
            INFO("written " << written - sizeBefore << " of " << sizeAfter - sizeBefore);
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
    const auto writeDamagedLog = [](memory_files &files) {
        writeReplicaSequence(*makeReplicaFileStore(files));
        files.corrupt("log", 10);
        // Adds a valid frame after the damaged one, so that the damage does not count as a torn tail.
        REQUIRE(makeReplicaFileStore(files)->append(std::vector<log_entry> {entryOf(5, 2)}));
        REQUIRE(makeReplicaFileStore(files)->load().error() == errc::corruptRecord);
    };
    memory_files countingFiles;
    writeDamagedLog(countingFiles);
    const auto before = countingFiles.operations();
    REQUIRE(makeReplicaFileStore(countingFiles)->setAside());
    const auto operations = countingFiles.operations() - before;
    REQUIRE(operations >= 6);
    for (std::uint64_t failing = 1; failing <= operations + 1; ++failing) {
        for (std::uint64_t keep : {0ULL, 13ULL}) {
            INFO("crash at operation " << failing << ", tail " << keep);
            memory_files files;
            writeDamagedLog(files);
            files.failAfter(failing, errc::ioFailed);
            const bool moved = makeReplicaFileStore(files)->setAside().has_value();
            files.crash(keep);
            const auto store = makeReplicaFileStore(files);
            auto image = store->load();
            // The old identity must never be loaded without its records.
            if (!image) {
                CHECK(!moved);
                CHECK(image.error() == errc::corruptRecord);
                REQUIRE(store->setAside());
                image = store->load();
            }
            REQUIRE(image);
            CHECK(image.value().disk == 0);
            CHECK(!image.value().formed());
            CHECK(image.value().hasLostRecords);
        }
    }
}

TEST_CASE("replica_file_store: entries that a later frame replaced do not return behind a snapshot", "[storage]")
{
    memory_files files;
    const auto store = makeReplicaFileStore(files);
    REQUIRE(store->saveHardState(7, {.term = 2, .votedFor = 0}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(2, 1), entryOf(3, 1), entryOf(4, 1)}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(2, 2)}));
    // Simulates a crash between the replacement of the snapshot and that of the log.
    const auto log = files.read("log").value();
    REQUIRE(store->saveSnapshot(snapshotOf(2, 2), {}));
    REQUIRE(files.write("log", log));
    const auto image = store->load();
    REQUIRE(image);
    CHECK(image.value().entries.empty());
}

// A snapshot replaced a log that conflicts with it, but on a full disk the log could not be replaced. The entries after the conflicting one then
// followed the snapshot, as if a leader had sent them.
TEST_CASE("replica_file_store: entries that follow one in conflict with the snapshot are dropped", "[storage]")
{
    memory_files files;
    const auto store = makeReplicaFileStore(files);
    REQUIRE(store->saveHardState(7, {.term = 4, .votedFor = 0}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(1, 1), entryOf(2, 3), entryOf(3, 3)}));
    REQUIRE(store->append(std::vector<log_entry> {entryOf(4, 3)}));
    const auto log = files.read("log").value();
    REQUIRE(store->saveSnapshot(snapshotOf(2, 2), {}));
    REQUIRE(files.write("log", log));
    const auto image = store->load();
    REQUIRE(image);
    CHECK(image.value().snapshot.index == 2);
    CHECK(image.value().entries.empty());
    // Entries that agree with the snapshot are kept.
    REQUIRE(store->append(std::vector<log_entry> {entryOf(2, 2), entryOf(3, 4)}));
    const auto replaced = store->load();
    REQUIRE(replaced);
    REQUIRE(replaced.value().entries.size() == 1);
    CHECK(replaced.value().entries[0].term == 4);
}

TEST_CASE("replica_file_store: a replacement that finds no room keeps the old file and leaves no other", "[storage]")
{
    memory_files files;
    const auto store = makeReplicaFileStore(files);
    REQUIRE(store->saveHardState(7, {.term = 1, .votedFor = 7}));
    REQUIRE(store->saveSnapshot(snapshotOf(1, 1), {}));
    const std::size_t used = files.usedBytes();
    for (std::size_t room = 0; room < 40; ++room) {
        files.setCapacity(used + room);
        const auto saved = store->saveHardState(7, {.term = 2, .votedFor = 7});
        REQUIRE(!saved);
        CHECK(saved.error() == errc::diskFull);
        CHECK(files.usedBytes() == used);
        const auto image = store->load();
        REQUIRE(image);
        CHECK(image.value().hardState.term == 1);
    }
}

TEST_CASE("replica_file_store: after a loss of power the log tells what was committed when its last entries came", "[storage]")
{
    memory_files files;
    auto store = makeReplicaFileStore(files);
    const std::vector<log_entry> first {entryOf(2, 1), entryOf(3, 1)};
    const std::vector<log_entry> second {entryOf(4, 1)};
    REQUIRE(store->saveHardState(7, {.term = 1, .votedFor = 7}));
    REQUIRE(store->saveSnapshot(snapshotOf(1, 1), {}));
    REQUIRE(store->append(first));
    REQUIRE(store->recordCommitIndex(3));
    REQUIRE(store->append(second));
    REQUIRE(store->recordCommitIndex(4));
    files.crash(0);
    const auto image = makeReplicaFileStore(files)->load();
    REQUIRE(image);
    REQUIRE(image.value().commit >= 3);
    REQUIRE(image.value().commit <= 4);
}

// Entries were applied while the log was read, up to the index in the commit file. One that a later frame replaced was then applied instead of
// the committed one (seed 20261763 of the histories with disks that fail).
TEST_CASE("replica_file_store: of two entries with the same index the committed one is applied", "[storage]")
{
    memory_files files;
    const auto store = makeReplicaFileStore(files);
    REQUIRE(store->saveHardState(7, {.term = 2, .votedFor = 0}));
    REQUIRE(store->saveSnapshot(snapshotOf(1, 1), {}));
    const auto tableOf = [](log_term term) {
        return std::vector<log_entry> {{.index = 2, .term = term, .body = routing_table {.version = 1, .document = "term " + std::to_string(term)}}};
    };
    REQUIRE(store->append(tableOf(1)));
    REQUIRE(store->append(tableOf(2)));
    REQUIRE(store->recordCommitIndex(2));
    const auto image = makeReplicaFileStore(files)->load();
    REQUIRE(image);
    CHECK(image.value().snapshot.index == 2);
    CHECK(image.value().snapshot.state.routing.document == "term 2");
}

// A start decoded the whole log at once: after some hundred changes of a large configuration a control host needed more memory than its
// machine had, each time it started.
TEST_CASE("replica_file_store: a log of 1,000 large configurations that a former build wrote is loaded in bounded memory", "[storage][memory]")
{
    constexpr std::uint64_t changes = 1000;
    // A former build wrote all entries that it found at a start as one frame.
    constexpr std::uint64_t changesBeforeStart = 100;
    constexpr std::size_t allowedBytes = 64 * 1024 * 1024;
    const auto folder = std::filesystem::temp_directory_path() / ("hb-large-log-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    {
        const auto files = makePosixFileSystem(folder.string());
        REQUIRE(files);
        auto &disk = *files.value();
        const auto store = makeReplicaFileStore(disk);
        REQUIRE(store->saveHardState(7, {.term = 1, .votedFor = 0}));
        REQUIRE(store->saveSnapshot(snapshotOf(1, 1), {}));
        std::vector<log_entry> first;
        for (std::uint64_t version = 1; version <= changesBeforeStart; ++version) {
            first.push_back({.index = version + 1, .term = 1, .body = largeTable(version)});
        }
        REQUIRE(disk.append("log", logFrame(first, 1)));
        first = {};
        for (std::uint64_t version = changesBeforeStart + 1; version <= changes; ++version) {
            const std::vector<log_entry> entry {{.index = version + 1, .term = 1, .body = largeTable(version)}};
            REQUIRE(disk.append("log", logFrame(entry, version)));
        }
        const memory_use memory;
        const auto image = makeReplicaFileStore(disk)->load();
        REQUIRE(image);
        CHECK(image.value().snapshot.state.routing.version == changes - 1);
        CHECK(image.value().snapshot.index + image.value().entries.size() == changes + 1);
        INFO("peak growth in bytes: " << memory.peakGrowthBytes());
        CHECK(memory.peakGrowthBytes() < allowedBytes);
        REQUIRE(makeReplicaFileStore(disk)->saveSnapshot(image.value().snapshot, image.value().entries));
        CHECK(disk.size("log").value() + disk.size("snapshot").value() < 2 * 1024 * 1024);
    }
    std::filesystem::remove_all(folder);
}
