#pragma once

#include "core/shards.h"

#include <functional>
#include <memory>
#include <thread>

namespace hornbeampick
{

/// An immutable value that many threads read and one replaces now and then.
///
/// Every shard holds its own pointer, so that readers on different threads seldom meet at a lock.
template <typename T> class published
{
public:
    using pointer = std::shared_ptr<const T>;

    void set(const pointer &value)
    {
        m_values.each([&](pointer &each) { each = value; });
    }

    /// Null before the first `set`.
    [[nodiscard]] pointer get() const
    {
        const std::size_t thread = std::hash<std::thread::id> {}(std::this_thread::get_id());
        return m_values.with(thread, [](const pointer &value) { return value; });
    }

private:
    shards<pointer> m_values;
};

} // namespace hornbeampick
