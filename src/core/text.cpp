#include "core/text.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace hornbeampick
{

std::string toLower(std::string_view text)
{
    std::string out(text);
    std::ranges::transform(out, out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

bool equalIgnoringCase(std::string_view a, std::string_view b)
{
    return std::ranges::equal(a, b, [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

endpoint_address parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    endpoint_address parsed {.ip = std::string(text.substr(0, colon)), .port = 0};
    if (colon != std::string_view::npos) {
        // The port stays 0 when it is not a number; nothing can listen on port 0.
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), parsed.port);
    }
    return parsed;
}

} // namespace hornbeampick
