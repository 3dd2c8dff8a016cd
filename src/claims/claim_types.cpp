#include "claims/claim_types.h"

#include <charconv>

namespace hornbeampick
{

namespace
{

constexpr std::string_view regionPrefix = "r.";
constexpr std::string_view hostPrefix = "h.";

} // namespace

std::string epoch_id::text() const
{
    const std::string name = region ? std::string(regionPrefix) + region->string() : std::string(hostPrefix) + host.value_or(host_name()).string();
    return name + "." + std::to_string(number);
}

std::optional<epoch_id> epoch_id::parse(std::string_view text)
{
    const auto dot = text.rfind('.');
    const bool isRegion = text.starts_with(regionPrefix);
    if ((!isRegion && !text.starts_with(hostPrefix)) || dot == std::string_view::npos || dot <= regionPrefix.size()) {
        return std::nullopt;
    }
    epoch_id epoch;
    const std::string_view digits = text.substr(dot + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), epoch.number);
    if (digits.empty() || error != std::errc {} || end != digits.data() + digits.size()) {
        return std::nullopt;
    }
    const std::string_view name = text.substr(regionPrefix.size(), dot - regionPrefix.size());
    if (isRegion) {
        epoch.region = region_name(name);
    } else {
        epoch.host = host_name(name);
    }
    return epoch;
}

std::size_t stored_answer::bytes() const
{
    std::size_t total = body.size();
    for (const auto &[name, value] : headers) {
        total += name.size() + value.size();
    }
    return total;
}

} // namespace hornbeampick
