#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// Returns `text` with its ASCII letters in lower case.
std::string toLower(std::string_view text);

/// Compares two texts ignoring the case of ASCII letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// An IP address and port.
struct endpoint_address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Splits "ip:port". The port is 0 when `text` has none or it is not a number.
endpoint_address parseEndpoint(std::string_view text);

} // namespace hornbeampick
