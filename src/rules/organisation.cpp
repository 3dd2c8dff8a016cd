#include "rules/organisation.h"

#include <algorithm>
#include <cmath>
#include <cstring>
#include <openssl/sha.h>
#include <set>

namespace hornbeampick
{

namespace
{

bool isUsableRate(double value)
{
    return value >= 0 && std::isfinite(value);
}

} // namespace

key_digest digestOfKey(std::string_view key)
{
    key_digest digest;
    static_assert(key_digest::size == SHA256_DIGEST_LENGTH);
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.bytes.data());
    return digest;
}

status checkOrganisations(std::span<const organisation> organisations)
{
    std::set<std::string_view> names;
    std::set<key_digest> keys;
    for (const auto &each : organisations) {
        const bool isNamed = !each.name.empty() && names.insert(each.name.view()).second;
        if (!isNamed || !isUsableRate(each.ratePerSecond) || !isUsableRate(each.burst)) {
            return make_error_code(errc::routingInvalid);
        }
        // The same key may be listed twice by its holder.
        const std::set<key_digest> own(each.keys.begin(), each.keys.end());
        for (const auto &key : own) {
            if (!keys.insert(key).second) {
                return make_error_code(errc::routingInvalid);
            }
        }
    }
    return success();
}

std::optional<std::vector<region_name>> commonRegions(std::span<const region_name> first, std::span<const region_name> second)
{
    if (first.empty() || second.empty()) {
        const auto only = first.empty() ? second : first;
        return std::vector<region_name>(only.begin(), only.end());
    }
    std::vector<region_name> common;
    std::ranges::copy_if(first, std::back_inserter(common), [&](const region_name &each) { return std::ranges::find(second, each) != second.end(); });
    return common.empty() ? std::nullopt : std::optional(std::move(common));
}

std::size_t organisation_index::digest_hash::operator()(const key_digest &value) const noexcept
{
    std::size_t hash = 0;
    std::memcpy(&hash, value.bytes.data(), sizeof hash);
    return hash;
}

organisation_index::organisation_index(std::span<const organisation> organisations)
{
    for (const auto &each : organisations) {
        m_byName.emplace(each.name.view(), &each);
        for (const auto &key : each.keys) {
            m_byKey.emplace(key, &each);
        }
    }
}

const organisation *organisation_index::findByKey(std::string_view key) const
{
    const auto found = key.empty() ? m_byKey.end() : m_byKey.find(digestOfKey(key));
    return found == m_byKey.end() ? nullptr : found->second;
}

const organisation *organisation_index::findByName(std::string_view name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : found->second;
}

} // namespace hornbeampick
