#include "storage/replica_file_store.h"

#include "codec/replica_codec.h"
#include "replica/rule_ledger.h"
#include "storage/record_frame.h"

#include <algorithm>
#include <array>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>
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

// A file of the data folder, read in pieces.
class file_source final : public record_source
{
public:
    file_source(const file_system &files, std::string_view name, std::size_t size)
        : m_files(files)
        , m_name(name)
        , m_size(size)
    {
    }
    [[nodiscard]] std::size_t size() const override
    {
        return m_size;
    }
    status read(std::size_t offset, std::span<char> target) const override
    {
        return m_files.readAt(m_name, offset, target);
    }

private:
    const file_system &m_files;
    std::string_view m_name;
    std::size_t m_size;
};

// The payload of one record, as the input of a message decoder.
class extent_stream final : public google::protobuf::io::CopyingInputStream
{
public:
    extent_stream(const record_source &source, const record_extent &extent)
        : m_source(source)
        , m_rest(extent)
    {
    }
    int Read(void *buffer, int size) override
    {
        const std::span<char> target(static_cast<char *>(buffer), std::min(static_cast<std::size_t>(size), m_rest.length));
        if (auto outcome = m_source.read(m_rest.offset, target); !outcome) {
            m_outcome = outcome;
            return -1;
        }
        m_rest = {.offset = m_rest.offset + target.size(), .length = m_rest.length - target.size()};
        return static_cast<int>(target.size());
    }
    [[nodiscard]] const status &outcome() const
    {
        return m_outcome;
    }

private:
    const record_source &m_source;
    record_extent m_rest;
    status m_outcome = success();
};

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
        applyCommitted(image);
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
        file_replacement log(m_files, logFile);
        for (std::size_t i = 0; i < retained.size(); ++i) {
            if (auto outcome = log.append(frameRecord(encodeEntries(retained.subspan(i, 1), m_commitIndex))); !outcome) {
                return outcome;
            }
        }
        return log.commit();
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
        const auto size = m_files.size(logFile);
        if (!size) {
            return size.error();
        }
        const file_source source(m_files, logFile, size.value());
        record_reader reader(source);
        bool conflictsWithSnapshot = false;
        while (true) {
            const auto record = reader.next();
            if (!record) {
                return record.error();
            }
            if (!record.value()) {
                break;
            }
            if (auto outcome = readBatch(source, *record.value(), image, conflictsWithSnapshot); !outcome) {
                return outcome;
            }
        }
        return reader.validBytes() < size.value() ? truncateTornTail(reader.validBytes()) : status(success());
    }

    // Reads the entries of one log frame, and applies those that were committed when the frame was written: the memory in use does not grow with
    // the log. No later frame replaces them. The commit file cannot tell that: at an index that it covers, the log may still hold an entry that a
    // later frame replaces.
    static status readBatch(const record_source &source, const record_extent &extent, replica_image &image, bool &conflictsWithSnapshot)
    {
        extent_stream bytes(source, extent);
        google::protobuf::io::CopyingInputStreamAdaptor buffer(&bytes);
        google::protobuf::io::CodedInputStream input(&buffer);
        std::string encoded;
        while (const auto tag = input.ReadTag()) {
            const int field = google::protobuf::internal::WireFormatLite::GetTagFieldNumber(tag);
            if (field == schema::replica_message::kCommitIndexFieldNumber) {
                std::uint64_t commit = 0;
                if (!input.ReadVarint64(&commit)) {
                    return errc::corruptRecord;
                }
                image.commit = std::max<log_index>(image.commit, commit);
                continue;
            }
            if (field != schema::replica_message::kEntriesFieldNumber) {
                if (!google::protobuf::internal::WireFormatLite::SkipField(&input, tag)) {
                    return errc::corruptRecord;
                }
                continue;
            }
            std::uint32_t length = 0;
            schema::log_entry entry;
            if (!input.ReadVarint32(&length) || !input.ReadString(&encoded, static_cast<int>(length)) || !entry.ParseFromString(encoded)) {
                return errc::corruptRecord;
            }
            if (auto outcome = insertEntry(image, decode(entry), conflictsWithSnapshot); !outcome) {
                return outcome;
            }
            applyCommitted(image);
        }
        return bytes.outcome();
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
