// Checks that arbitrary input either parses or gives errors with a line and column.

#include "rules/rule_parser.h"
#include "rules/rule_text.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hornbeampick;
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto parsed = parseRules(text, "fuzz");
    if ((parsed.rules != nullptr) == !parsed.errors.empty()) {
        std::abort();
    }
    for (const auto &error : parsed.errors) {
        if (error.line == 0 || error.column == 0 || error.expected.empty()) {
            std::abort();
        }
    }
    if (parsed.rules && parseRules(withVersion(text, parsed.rules->version), "fuzz").rules == nullptr) {
        std::abort();
    }
    return 0;
}
