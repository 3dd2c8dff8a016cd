#pragma once

#include <array>
#include <cstddef>
#include <mutex>
#include <utility>

namespace hornbeampick
{

/// State split into shards, each under its own lock.
///
/// The lock of a shard is held while the passed function runs. To avoid deadlocks and long lock times, the function must not
/// do I/O, wait, call back into the owner of the shards or access a second shard.
template <typename State, std::size_t Count = 16> class shards
{
public:
    /// Calls `function(State &)` on the shard selected by `hash`, under the lock of that shard, and returns its result.
    template <typename Function> decltype(auto) with(std::size_t hash, Function &&function)
    {
        shard &chosen = m_shards[hash % Count];
        const std::lock_guard guard(chosen.lock);
        return std::forward<Function>(function)(chosen.state);
    }

    template <typename Function> decltype(auto) with(std::size_t hash, Function &&function) const
    {
        const shard &chosen = m_shards[hash % Count];
        const std::lock_guard guard(chosen.lock);
        return std::forward<Function>(function)(chosen.state);
    }

    /// Calls `function` on every shard in turn, one lock at a time, so it does not see a consistent snapshot of all shards.
    template <typename Function> void forEach(Function &&function)
    {
        for (shard &visited : m_shards) {
            const std::lock_guard guard(visited.lock);
            function(visited.state);
        }
    }

    template <typename Function> void forEach(Function &&function) const
    {
        for (const shard &visited : m_shards) {
            const std::lock_guard guard(visited.lock);
            function(visited.state);
        }
    }

private:
    // Alignment of shards, which avoids false sharing.
    static constexpr std::size_t cacheLineBytes = 64;

    struct alignas(cacheLineBytes) shard {
        mutable std::mutex lock;
        State state {};
    };

    std::array<shard, Count> m_shards;
};

} // namespace hornbeampick
