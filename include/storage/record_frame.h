#pragma once

#include "core/error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// Frames records in a file: mark, format, length, checksum of the payload, checksum of the header, payload.
///
/// One frame is one synced write, so only the last frame of a file can be torn: it then ends too soon, or in the
/// zeros of a block that was never written. Any other damage is damage, also at the end: what was there may have been
/// acknowledged.
std::string frameRecord(std::string_view payload);

/// The records of a file, and how many of its bytes are good.
struct framed_records {
    std::vector<std::string_view> payloads;
    // Less than the size of the file when its last frame is torn.
    std::size_t goodBytes = 0;
};

/// Views into `content`. Errors: corruptRecord for a damaged frame that is not a torn last one, unsupportedFormat for a frame of another version.
result<framed_records> readFrames(std::string_view content);

} // namespace hornbeampick
