#include "core/text.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace hornbeampick
{

namespace
{

constexpr char firstVisibleCharacter = 0x21;
constexpr char lastVisibleCharacter = 0x7e;

} // namespace

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

bool isPlainName(std::string_view name)
{
    const auto isVisible = [](char c) { return c >= firstVisibleCharacter && c <= lastVisibleCharacter; };
    return !name.empty() && name.size() <= maxNameLength && std::ranges::all_of(name, isVisible);
}

std::string printableName(std::string_view name)
{
    return isPlainName(name) ? std::string(name) : "(not a name)";
}

endpoint_address parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    endpoint_address parsed {.ip = std::string(text.substr(0, colon)), .port = 0};
    if (colon != std::string_view::npos) {
        // Nothing can listen on port 0, which stands for a port that is not a number.
        const auto *end = text.data() + text.size();
        const auto [parsedEnd, error] = std::from_chars(text.data() + colon + 1, end, parsed.port);
        if (error != std::errc {} || parsedEnd != end) {
            parsed.port = 0;
        }
    }
    return parsed;
}

} // namespace hornbeampick
