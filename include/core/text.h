#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// `text` with its ASCII letters in lower case.
std::string lowered(std::string_view text);

/// True when both are the same but for the case of ASCII letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// An "ip:port" in its parts.
struct endpoint_address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Port 0 when `text` names none.
endpoint_address parseEndpoint(std::string_view text);

} // namespace hornbeampick
