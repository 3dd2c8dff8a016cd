// Checks that arbitrary log content is read in full, ends in a torn tail, or is rejected with an error code.

#include "storage/record_frame.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeampick;
    const std::string_view content(reinterpret_cast<const char *>(data), size);
    const auto records = readFrames(content);
    if (records && records.value().validBytes > size) {
        std::abort();
    }
    // A record appended to valid content must be read back.
    if (records && records.value().validBytes == size) {
        const std::string longer = std::string(content) + frameRecord("tail");
        const auto again = readFrames(longer);
        if (!again || again.value().payloads.back() != "tail") {
            std::abort();
        }
    }
    return 0;
}
