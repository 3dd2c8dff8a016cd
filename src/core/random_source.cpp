#include "core/random_source.h"

#include <cassert>

namespace hornbeampick
{

std::uint64_t random_source::below(std::uint64_t bound)
{
    assert(bound > 0);
    return next() % bound;
}

seeded_random_source::seeded_random_source(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t seeded_random_source::next()
{
    const std::lock_guard guard(m_lock);
    return m_engine();
}

std::uint64_t operatingSystemSeed()
{
    constexpr unsigned deviceBits = 32;
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << deviceBits) | device();
}

} // namespace hornbeampick
