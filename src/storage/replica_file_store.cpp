#include "storage/replica_file_store.h"

#include "codec/replica_codec.h"
#include "storage/record_frame.h"

#include <algorithm>
#include <array>
#include <string>

namespace hornbeampick
{

namespace
{

constexpr std::string_view identityFile = "identity";
constexpr std::string_view snapshotFile = "snapshot";
constexpr std::string_view logFile = "log";
constexpr std::string_view commitFile = "commit";
constexpr std::uint32_t identityFormat = 1;
// In the order in which they are set aside.
constexpr std::array recordFiles {identityFile, snapshotFile, logFile, commitFile};

std::string damagedName(std::string_view name)
{
    return "damaged-" + std::string(name);
}

// A frame of the log: entries, each behind its length.
// Entries, and what was committed when they came.
std::string encodeEntries(std::span<const log_entry> entries, log_index commit)
{
    schema::replica_message batch;
    batch.set_commit_index(commit);
    for (const auto &entry : entries) {
        *batch.add_entries() = encode(entry);
    }
    return batch.SerializeAsString();
}

class replica_file_store final : public replica_store
{
public:
    explicit replica_file_store(file_system &files)
        : m_files(files)
    {
    }

    result<replica_image> load() override
    {
        replica_image image;
        if (auto done = loadIdentity(image); !done) {
            return done.error();
        }
        if (auto done = loadSnapshot(image); !done) {
            return done.error();
        }
        if (auto done = loadLog(image); !done) {
            return done.error();
        }
        // The note of its own may be lost with the power; the log still tells what was committed when its last entries came.
        image.commit = std::max(image.commit, loadCommit());
        if (image.commit > image.snapshot.index + image.entries.size()) {
            // Noted only after it was synced: the end of the log was damaged, not torn.
            return errc::corruptRecord;
        }
        image.lostRecords = std::ranges::any_of(recordFiles, [this](std::string_view name) { return m_files.exists(damagedName(name)); });
        return image;
    }

    status setAside() override
    {
        // The identity goes first, and surely: what is left behind by a crash has no identity and is set aside again.
        for (const auto name : recordFiles) {
            if (!m_files.exists(name)) {
                continue;
            }
            if (auto done = m_files.rename(name, damagedName(name)); !done) {
                return done;
            }
            if (auto done = m_files.syncFolder(); !done) {
                return done;
            }
        }
        return success();
    }

    status saveIdentity(disk_id disk, const hard_state &state) override
    {
        schema::hard_state_record record;
        record.set_format(identityFormat);
        record.set_disk(disk);
        record.set_term(state.term);
        record.set_voted_disk(state.votedFor);
        return replaceFile(m_files, identityFile, frameRecord(record.SerializeAsString()));
    }

    status append(std::span<const log_entry> entries) override
    {
        const bool isNew = !m_files.exists(logFile);
        if (auto done = m_files.append(logFile, frameRecord(encodeEntries(entries, m_commit))); !done) {
            return done;
        }
        if (auto done = m_files.sync(logFile); !done) {
            return done;
        }
        return isNew ? m_files.syncFolder() : status(success());
    }

    void noteCommit(log_index commit) override
    {
        m_commit = commit;
        schema::replica_message record;
        record.set_commit_index(commit);
        // Only a hint: when it cannot be written, the next leader tells.
        (void)m_files.write(commitFile, frameRecord(record.SerializeAsString()));
    }

    status saveSnapshot(const replica_snapshot &snapshot, std::span<const log_entry> kept) override
    {
        // A crash between the two leaves a log that begins before the snapshot: `load` skips what it covers.
        if (auto done = replaceFile(m_files, snapshotFile, frameRecord(encode(snapshot).SerializeAsString())); !done) {
            return done;
        }
        return replaceFile(m_files, logFile, kept.empty() ? std::string {} : frameRecord(encodeEntries(kept, m_commit)));
    }

private:
    // The only record of a file that is always replaced as a whole.
    [[nodiscard]] result<std::string> readSingle(std::string_view name) const
    {
        const auto content = m_files.read(name);
        if (!content) {
            return content.error();
        }
        const auto frames = readFrames(content.value());
        if (!frames) {
            return frames.error();
        }
        if (frames.value().payloads.size() != 1) {
            return errc::corruptRecord;
        }
        return std::string(frames.value().payloads.front());
    }

    status loadIdentity(replica_image &image) const
    {
        if (!m_files.exists(identityFile)) {
            return m_files.exists(snapshotFile) ? status(errc::corruptRecord) : status(success());
        }
        const auto payload = readSingle(identityFile);
        schema::hard_state_record record;
        if (!payload) {
            return payload.error();
        }
        if (!record.ParseFromString(payload.value())) {
            return errc::corruptRecord;
        }
        if (record.format() != identityFormat) {
            return errc::unsupportedFormat;
        }
        image.disk = record.disk();
        image.hard = {.term = record.term(), .votedFor = record.voted_disk()};
        return success();
    }

    status loadSnapshot(replica_image &image) const
    {
        if (!m_files.exists(snapshotFile)) {
            return success();
        }
        const auto payload = readSingle(snapshotFile);
        schema::snapshot_record record;
        if (!payload) {
            return payload.error();
        }
        if (!record.ParseFromString(payload.value())) {
            return errc::corruptRecord;
        }
        image.snapshot = decode(record);
        image.hard.term = std::max(image.hard.term, image.snapshot.term);
        return success();
    }

    [[nodiscard]] log_index loadCommit() const
    {
        schema::replica_message record;
        const auto payload = m_files.exists(commitFile) ? readSingle(commitFile) : result<std::string>(errc::fileUnreadable);
        const bool readable = payload && record.ParseFromString(payload.value());
        return readable ? record.commit_index() : 0;
    }

    status loadLog(replica_image &image)
    {
        if (!m_files.exists(logFile)) {
            return success();
        }
        const auto content = m_files.read(logFile);
        if (!content) {
            return content.error();
        }
        const auto frames = readFrames(content.value());
        if (!frames) {
            return frames.error();
        }
        for (const auto payload : frames.value().payloads) {
            schema::replica_message batch;
            if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
                return errc::corruptRecord;
            }
            image.commit = std::max<log_index>(image.commit, batch.commit_index());
            for (const auto &entry : batch.entries()) {
                if (auto done = place(image, decode(entry)); !done) {
                    return done;
                }
            }
        }
        if (frames.value().goodBytes < content.value().size()) {
            return cutTornTail(frames.value().goodBytes);
        }
        return success();
    }

    static status place(replica_image &image, log_entry entry)
    {
        const log_index first = image.snapshot.index + 1;
        if (entry.index < first) {
            // It replaced all that was stored behind it, whether the snapshot covers it or not.
            image.entries.clear();
            return success();
        }
        const log_index position = entry.index - first;
        if (position > image.entries.size()) {
            return errc::corruptRecord;
        }
        image.entries.resize(position);
        image.entries.push_back(std::move(entry));
        return success();
    }

    status cutTornTail(std::size_t goodBytes)
    {
        if (auto done = m_files.truncate(logFile, goodBytes); !done) {
            return done;
        }
        return m_files.sync(logFile);
    }

    file_system &m_files;
    log_index m_commit = 0;
};

} // namespace

std::unique_ptr<replica_store> makeReplicaFileStore(file_system &files)
{
    return std::make_unique<replica_file_store>(files);
}

} // namespace hornbeampick
