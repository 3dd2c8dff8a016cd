#pragma once

#include <cstddef>
#include <string>

namespace hornbeampick::testing
{

/// Returns a field of the status of a process, which the system gives in kilobytes, in bytes. `process` is its id or "self".
[[nodiscard]] std::size_t processStatusBytes(const std::string &process, const std::string &field);

/// Measures how much the resident memory of this process grows. Only one at a time.
class memory_use
{
public:
    /// Returns free memory to the system and resets the peak that the system keeps.
    memory_use();
    /// Returns the peak of the resident memory since the construction above what it was then, in bytes.
    [[nodiscard]] std::size_t peakGrowthBytes() const;

private:
    std::size_t m_bytesBefore = 0;
};

} // namespace hornbeampick::testing
