// Any bytes of a log either read, end in a torn tail, or are refused with a type.

#include "storage/record_frame.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeampick;
    const std::string_view content(reinterpret_cast<const char *>(data), size);
    const auto records = readFrames(content);
    if (records && records.value().goodBytes > size) {
        std::abort();
    }
    // What is written behind any content that reads is read back.
    if (records && records.value().goodBytes == size) {
        const std::string longer = std::string(content) + frameRecord("tail");
        const auto again = readFrames(longer);
        if (!again || again.value().payloads.back() != "tail") {
            std::abort();
        }
    }
    return 0;
}
