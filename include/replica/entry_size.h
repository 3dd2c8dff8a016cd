#pragma once

#include "replica/replica_types.h"

#include <cstddef>
#include <span>

namespace hornbeampick
{

/// Returns the approximate memory of an entry in bytes, which is at least the size of its record on disk.
[[nodiscard]] std::size_t memoryOf(const log_entry &entry);
[[nodiscard]] std::size_t memoryOf(std::span<const log_entry> entries);

} // namespace hornbeampick
