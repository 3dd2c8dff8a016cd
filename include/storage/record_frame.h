#pragma once

#include "core/error.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// Returns `payload` as a record frame: magic number, format, payload length, payload checksum, header checksum, payload.
///
/// Each frame is written and synced before the next, so only the last frame of a file can be torn: it is then truncated, or ends in the
/// zeros of a block that was never written. Any other damage is corruption, also in the last frame, because the record may have been
/// acknowledged.
std::string frameRecord(std::string_view payload);

/// Content of a file of record frames that is read in pieces.
class record_source
{
public:
    virtual ~record_source() = default;
    /// Returns the size in bytes.
    [[nodiscard]] virtual std::size_t size() const = 0;
    /// Fills `target` with the bytes from `offset` on, all of which lie within `size`. Errors: fileUnreadable, ioFailed.
    virtual status read(std::size_t offset, std::span<char> target) const = 0;
};

/// Position of the payload of a record within its file, in bytes.
struct record_extent {
    std::size_t offset = 0;
    std::size_t length = 0;
};

/// Finds the records of a file one after the other. Holds a bounded number of bytes in memory, however large the file and its records are.
class record_reader
{
public:
    /// `source` must outlive the reader, and stay unchanged.
    explicit record_reader(const record_source &source);

    /// Returns the next record, whose checksum is verified; empty after the last one. Errors: corruptRecord, unsupportedFormat, fileUnreadable,
    /// ioFailed.
    result<std::optional<record_extent>> next();
    /// Returns the number of bytes up to the end of the last record; at the end, smaller than the file when its last frame is torn.
    [[nodiscard]] std::size_t validBytes() const
    {
        return m_validBytes;
    }

private:
    const record_source &m_source;
    std::size_t m_validBytes = 0;
};

/// The records of a file, and the length of its valid prefix in bytes.
struct framed_records {
    std::vector<std::string_view> payloads;
    // Smaller than the size of the file when its last frame is torn.
    std::size_t validBytes = 0;
};

/// Parses the frames of a file; the payloads are views into `content`. Errors: corruptRecord for a damaged frame other than a torn last one,
/// unsupportedFormat for a frame of another version.
result<framed_records> readFrames(std::string_view content);

} // namespace hornbeampick
