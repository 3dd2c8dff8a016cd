#pragma once

#include <cstdint>
#include <mutex>
#include <random>

namespace hornbeampick
{

/// Interface to a source of random numbers. Implementations are thread-safe.
class random_source
{
public:
    virtual ~random_source() = default;

    /// Returns a number from [0, bound), uniform but for the modulo bias. `bound` must be at least 1.
    std::uint64_t below(std::uint64_t bound);

    /// Returns a number that is uniform over all 64-bit values.
    virtual std::uint64_t next() = 0;
};

/// A pseudo-random generator protected by a lock. The same seed gives the same sequence.
class seeded_random_source final : public random_source
{
public:
    explicit seeded_random_source(std::uint64_t seed);
    std::uint64_t next() override;

private:
    std::mutex m_lock;
    std::mt19937_64 m_engine;
};

/// Returns a random seed from the operating system.
std::uint64_t operatingSystemSeed();

} // namespace hornbeampick
