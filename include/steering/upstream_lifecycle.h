#pragma once

#include "core/clock.h"
#include "fleet/upstream_report.h"

#include <memory>

namespace hornbeampick
{

/// Lifecycle phase of an upstream as seen by its owner.
enum class lifecycle_phase {
    unknown,
    warming,
    active,
    draining,
    silent,
    failed,
    gone,
};

/// State machine of one upstream, driven by its announcements, the expiry of its lease and connection failures. Not thread-safe.
class upstream_lifecycle
{
public:
    upstream_lifecycle();
    ~upstream_lifecycle();
    upstream_lifecycle(upstream_lifecycle &&) noexcept;
    upstream_lifecycle &operator=(upstream_lifecycle &&) noexcept;
    upstream_lifecycle(const upstream_lifecycle &) = delete;
    upstream_lifecycle &operator=(const upstream_lifecycle &) = delete;

    void onAnnounced(upstream_state state);
    /// The upstream has sent no report within its lease.
    void onLeaseExpired();
    /// A connection to the upstream was refused or lost.
    void onConnectionFailed();

    [[nodiscard]] lifecycle_phase phase() const;
    /// Returns true when the upstream may be given new requests.
    [[nodiscard]] bool acceptsRequests() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace hornbeampick
