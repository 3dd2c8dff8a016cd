#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// Returns `text` with its ASCII letters in lower case.
std::string toLower(std::string_view text);

/// Compares two texts ignoring the case of ASCII letters.
bool equalIgnoringCase(std::string_view a, std::string_view b);

/// Maximum length of the names of hosts, upstreams and services, in bytes.
constexpr std::size_t maxNameLength = 256;

/// Returns true for 1 to `maxNameLength` visible ASCII characters. Such a name can be part of any message, header field and log line.
bool isPlainName(std::string_view name);

/// Returns `name` for log lines, or a replacement when it is not a plain name.
std::string printableName(std::string_view name);

/// An IP address and port.
struct endpoint_address {
    std::string ip;
    std::uint16_t port = 0;
};

/// Splits "ip:port". The port is 0 when `text` has none or it is not a number from 0 to 65535.
endpoint_address parseEndpoint(std::string_view text);

} // namespace hornbeampick
