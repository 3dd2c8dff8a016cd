// Checks that arbitrary input gives either validated settings or at least one error.

#include "settings/settings_file.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeampick;
    const auto parsed = parseSettings({reinterpret_cast<const char *>(data), size}, "fuzz");
    if ((parsed.settings != nullptr) == !parsed.errors.empty()) {
        std::abort();
    }
    return 0;
}
