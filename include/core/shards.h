#pragma once

#include <array>
#include <cstddef>
#include <mutex>
#include <utility>

namespace hornbeampick
{

/// State split into shards, each under its own lock.
///
/// A lock is held for the length of the function passed in, which must neither do I/O,
/// wait, call back into the owner of the shards, nor visit a second shard.
template <typename State, std::size_t Count = 16> class shards
{
public:
    /// Calls `function(State &)` on the shard of `hash` under its lock and returns its value.
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

    /// Visits every shard in turn, one lock at a time: no consistent view of the whole.
    template <typename Function> void each(Function &&function)
    {
        for (shard &visited : m_shards) {
            const std::lock_guard guard(visited.lock);
            function(visited.state);
        }
    }

    template <typename Function> void each(Function &&function) const
    {
        for (const shard &visited : m_shards) {
            const std::lock_guard guard(visited.lock);
            function(visited.state);
        }
    }

private:
    static constexpr std::size_t cacheLineBytes = 64;

    struct alignas(cacheLineBytes) shard {
        mutable std::mutex lock;
        State state {};
    };

    std::array<shard, Count> m_shards;
};

} // namespace hornbeampick
