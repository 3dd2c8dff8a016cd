#pragma once

#include "core/shards.h"

#include <functional>
#include <memory>
#include <thread>

namespace hornbeampick
{

/// A shared pointer to an immutable value that many threads read and one thread replaces occasionally. Thread-safe.
///
/// Each shard has its own copy of the pointer, which reduces lock contention between readers on different threads. Concurrent
/// writers would leave the shards with different values. While a write is in progress, readers may still see the former value.
template <typename T> class published
{
public:
    using pointer = std::shared_ptr<const T>;

    /// Replaces the value. Must not be called concurrently.
    void set(const pointer &value)
    {
        m_values.forEach([&](pointer &each) { each = value; });
    }

    /// Returns the current value; null before the first `set`.
    [[nodiscard]] pointer get() const
    {
        const std::size_t thread = std::hash<std::thread::id> {}(std::this_thread::get_id());
        return m_values.with(thread, [](const pointer &value) { return value; });
    }

private:
    shards<pointer> m_values;
};

} // namespace hornbeampick
