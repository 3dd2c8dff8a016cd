#pragma once

#include "core/clock.h"
#include "fleet/upstream_report.h"

#include <memory>

namespace hornbeampick
{

/// The states an owner distinguishes of an upstream.
enum class life_phase {
    unknown,
    warming,
    active,
    draining,
    silent,
    failed,
    gone,
};

/// State machine of one upstream, from announcements, silence and failed connections.
class upstream_life
{
public:
    upstream_life();
    ~upstream_life();
    upstream_life(upstream_life &&) noexcept;
    upstream_life &operator=(upstream_life &&) noexcept;
    upstream_life(const upstream_life &) = delete;
    upstream_life &operator=(const upstream_life &) = delete;

    void onAnnounced(upstream_state state);
    /// No report for longer than its lease.
    void onSilent();
    /// A connection was refused or broke.
    void onFailed();

    [[nodiscard]] life_phase phase() const;
    [[nodiscard]] bool takesWork() const;

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
};

} // namespace hornbeampick
