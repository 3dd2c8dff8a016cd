#include "peer_fields.h"

#include "core/text.h"

#include <charconv>

namespace hornbeampick
{

namespace
{

constexpr std::string_view attemptsField = "Hornbeampick-Attempts";
constexpr std::string_view routesVersionField = "Hornbeampick-Routes-Version";
constexpr std::string_view organisationField = "Hornbeampick-Organisation";

template <typename Number> Number parseOr(std::string_view text, Number fallback)
{
    Number value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() ? value : fallback;
}

} // namespace

bool isPeerField(std::string_view name)
{
    return equalIgnoringCase(name, attemptsField) || equalIgnoringCase(name, routesVersionField) || equalIgnoringCase(name, organisationField);
}

void encodePeerRequest(const peer_request &request, std::string &header)
{
    header.append(attemptsField).append(": ").append(std::to_string(request.attempts)).append("\r\n");
    header.append(routesVersionField).append(": ").append(std::to_string(request.routesVersion)).append("\r\n");
    if (!request.organisation.empty()) {
        header.append(organisationField).append(": ").append(request.organisation).append("\r\n");
    }
}

void encodeAttemptsSent(std::uint32_t attempts, std::string &header)
{
    header.append(attemptsField).append(": ").append(std::to_string(attempts)).append("\r\n");
}

std::uint32_t decodeAttemptsSent(const header_view &header)
{
    return parseOr<std::uint32_t>(header.value(attemptsField), 0);
}

peer_request decodePeerRequest(const header_view &header)
{
    const peer_request defaults;
    return {
        .attempts = parseOr(header.value(attemptsField), defaults.attempts),
        .routesVersion = parseOr(header.value(routesVersionField), defaults.routesVersion),
        .organisation = header.value(organisationField),
    };
}

} // namespace hornbeampick
