#pragma once

#include "core/error.h"

#include <cstddef>
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
