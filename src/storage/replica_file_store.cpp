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
// In the order in which `setAside` renames them.
constexpr std::array recordFiles {identityFile, snapshotFile, logFile, commitFile};

std::string damagedName(std::string_view name)
{
    return "damaged-" + std::string(name);
}

// Payload of a log frame: the entries, and the commit index known when they were appended.
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
        if (auto outcome = loadIdentity(image); !outcome) {
            return outcome.error();
        }
        if (auto outcome = loadSnapshot(image); !outcome) {
            return outcome.error();
        }
        if (auto outcome = loadLog(image); !outcome) {
            return outcome.error();
        }
        // The commit file is not synced and may be lost in a power failure; the log frames hold the commit index as of the last append.
        // When it could not be written either, this process still knows the index.
        image.commit = std::max({image.commit, loadCommitIndex(), m_commitIndex});
        if (image.commit > image.snapshot.index + image.entries.size()) {
            // An index is recorded as committed only after its entry was synced, so the tail of the log is damaged, not torn.
            return errc::corruptRecord;
        }
        m_commitIndex = image.commit;
        image.hasLostRecords = std::ranges::any_of(recordFiles, [this](std::string_view name) { return m_files.exists(damagedName(name)); });
        return image;
    }

    status setAside() override
    {
        m_commitIndex = 0;
        // The identity is renamed and synced first: files left behind by a crash then have no identity and are set aside by the next start.
        for (const auto name : recordFiles) {
            if (!m_files.exists(name)) {
                continue;
            }
            if (auto outcome = m_files.rename(name, damagedName(name)); !outcome) {
                return outcome;
            }
            if (auto outcome = m_files.syncFolder(); !outcome) {
                return outcome;
            }
        }
        return success();
    }

    status saveHardState(disk_id disk, const hard_state &state) override
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
        if (auto outcome = m_files.append(logFile, frameRecord(encodeEntries(entries, m_commitIndex))); !outcome) {
            return outcome;
        }
        if (auto outcome = m_files.sync(logFile); !outcome) {
            return outcome;
        }
        return isNew ? m_files.syncFolder() : status(success());
    }

    status recordCommitIndex(log_index commit) override
    {
        m_commitIndex = commit;
        schema::replica_message record;
        record.set_commit_index(commit);
        return m_files.write(commitFile, frameRecord(record.SerializeAsString()));
    }

    status saveSnapshot(const replica_snapshot &snapshot, std::span<const log_entry> retained) override
    {
        // A crash between the two replacements leaves a log that starts before the snapshot; `load` skips the entries that the snapshot covers.
        if (auto outcome = replaceFile(m_files, snapshotFile, frameRecord(encode(snapshot).SerializeAsString())); !outcome) {
            return outcome;
        }
        return replaceFile(m_files, logFile, retained.empty() ? std::string {} : frameRecord(encodeEntries(retained, m_commitIndex)));
    }

private:
    // Reads the record of a file that holds exactly one.
    [[nodiscard]] result<std::string> readSingleRecord(std::string_view name) const
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
        const auto payload = readSingleRecord(identityFile);
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
        image.hardState = {.term = record.term(), .votedFor = record.voted_disk()};
        return success();
    }

    status loadSnapshot(replica_image &image) const
    {
        if (!m_files.exists(snapshotFile)) {
            return success();
        }
        const auto payload = readSingleRecord(snapshotFile);
        schema::snapshot_record record;
        if (!payload) {
            return payload.error();
        }
        if (!record.ParseFromString(payload.value())) {
            return errc::corruptRecord;
        }
        image.snapshot = decode(record);
        image.hardState.term = std::max(image.hardState.term, image.snapshot.term);
        return success();
    }

    [[nodiscard]] log_index loadCommitIndex() const
    {
        schema::replica_message record;
        const auto payload = m_files.exists(commitFile) ? readSingleRecord(commitFile) : result<std::string>(errc::fileUnreadable);
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
        bool conflictsWithSnapshot = false;
        for (const auto payload : frames.value().payloads) {
            schema::replica_message batch;
            if (!batch.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
                return errc::corruptRecord;
            }
            image.commit = std::max<log_index>(image.commit, batch.commit_index());
            for (const auto &entry : batch.entries()) {
                if (auto outcome = insertEntry(image, decode(entry), conflictsWithSnapshot); !outcome) {
                    return outcome;
                }
            }
        }
        if (frames.value().validBytes < content.value().size()) {
            return truncateTornTail(frames.value().validBytes);
        }
        return success();
    }

    // `conflictsWithSnapshot` is set while the entries follow one that differs from the last entry of the snapshot: a leader's snapshot replaced
    // them, and they must not follow it.
    static status insertEntry(replica_image &image, log_entry entry, bool &conflictsWithSnapshot)
    {
        const log_index first = image.snapshot.index + 1;
        if (entry.index < first) {
            // The entry replaced all entries stored from its index on, including those after the snapshot.
            image.entries.clear();
            conflictsWithSnapshot = entry.index == image.snapshot.index && entry.term != image.snapshot.term;
            return success();
        }
        if (conflictsWithSnapshot) {
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

    status truncateTornTail(std::size_t validBytes)
    {
        if (auto outcome = m_files.truncate(logFile, validBytes); !outcome) {
            return outcome;
        }
        return m_files.sync(logFile);
    }

    file_system &m_files;
    log_index m_commitIndex = 0;
};

} // namespace

std::unique_ptr<replica_store> makeReplicaFileStore(file_system &files)
{
    return std::make_unique<replica_file_store>(files);
}

} // namespace hornbeampick
