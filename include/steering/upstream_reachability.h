#pragma once

#include "core/clock.h"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace hornbeampick
{

struct reachability_options {
    /// Upstreams are probed when attempts wait and no upstream has been heard of for this long.
    milliseconds silence {400};
    /// Upstreams are probed after this many failed connections without a successful one in between.
    std::uint32_t connectFailures = 2;
};

/// Result of a probe of upstreams in every failure domain.
enum class probe_outcome {
    // A connection was established.
    reached,
    // Every connection was refused.
    refused,
    // No connection was established, and some got no answer.
    silent,
};

/// Decides whether this host has lost its links to all upstreams. Failed attempts alone do not tell a cut of the own links from
/// failing upstreams, so they only make the state suspect; a probe of upstreams in every failure domain decides. Thread-safe.
class upstream_reachability
{
public:
    explicit upstream_reachability(const reachability_options &options = {});

    /// Records that a request begins to wait for an upstream.
    void onAttempt(steady_time now);
    /// Records that an upstream has responded on any connection.
    void onResponse();
    /// Records that a new connection to an upstream was established, or that it failed.
    void onConnected();
    void onConnectFailure();

    /// Returns true when the outcomes of attempts call for a probe.
    [[nodiscard]] bool isSuspect(steady_time now) const;
    /// Records that a probe begins. Must not be called concurrently with itself or `onProbe`.
    void beginProbe();
    /// Records the outcome of a probe of `probed` upstreams. Returns true when this changes `isIsolated`. While responses still arrive, a
    /// silent probe does not isolate the host, since an overloaded link delays it, nor does the refusal of very few upstreams, which may
    /// have ended.
    bool onProbe(probe_outcome outcome, std::size_t probed);
    /// Returns true while no upstream can be reached.
    [[nodiscard]] bool isIsolated() const
    {
        return m_isolated;
    }

private:
    reachability_options m_options;
    // When the first attempt since the last response began; the epoch of the clock when there was none.
    std::atomic<steady_time> m_waitingSince {steady_time {}};
    std::atomic<std::uint32_t> m_connectFailures {0};
    std::atomic<std::uint64_t> m_responses {0};
    std::uint64_t m_responsesBeforeProbe = 0;
    std::atomic<bool> m_isolated {false};
};

} // namespace hornbeampick
