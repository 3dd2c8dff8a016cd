#pragma once

#include <cstdint>
#include <mutex>
#include <random>

namespace hornbeampick
{

/// Source of randomness. Implementations are safe to call from any thread.
class random_source
{
public:
    virtual ~random_source() = default;

    /// Uniform over [0, bound); `bound` is at least 1.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;
};

/// A seeded generator behind a lock: the same seed gives the same sequence.
class seeded_random_source final : public random_source
{
public:
    explicit seeded_random_source(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mutex m_lock;
    std::mt19937_64 m_engine;
};

/// A seed from the operating system.
std::uint64_t operatingSystemSeed();

} // namespace hornbeampick
