#include "core/digest.h"

#include <array>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace hornbeampick
{

namespace
{

constexpr unsigned bitsPerByte = 8;
constexpr std::size_t wordBytes = 8;

struct state_deleter {
    void operator()(XXH3_state_t *state) const
    {
        XXH3_freeState(state);
    }
};

void appendWord(std::string &out, std::uint64_t word)
{
    for (std::size_t i = 0; i < wordBytes; ++i) {
        out.push_back(static_cast<char>(word >> (bitsPerByte * (wordBytes - 1 - i))));
    }
}

std::uint64_t readWord(std::string_view bytes)
{
    std::uint64_t word = 0;
    for (const char c : bytes) {
        word = (word << bitsPerByte) | static_cast<unsigned char>(c);
    }
    return word;
}

} // namespace

std::string digest::hex() const
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(high), static_cast<unsigned long long>(low));
    return text.data();
}

std::string digest::bytes() const
{
    std::string out;
    out.reserve(2 * wordBytes);
    appendWord(out, high);
    appendWord(out, low);
    return out;
}

digest digestOf(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<XXH3_state_t, state_deleter> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (const auto part : parts) {
        const std::uint64_t size = part.size();
        XXH3_128bits_update(state.get(), &size, sizeof size);
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const auto value = XXH3_128bits_digest(state.get());
    return {.high = value.high64, .low = value.low64};
}

digest digestFromBytes(std::string_view bytes)
{
    if (bytes.size() != 2 * wordBytes) {
        return {};
    }
    return {.high = readWord(bytes.substr(0, wordBytes)), .low = readWord(bytes.substr(wordBytes))};
}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace hornbeampick
