#pragma once

#include "replica/replica_types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace hornbeampick
{

/// Position of a host that requests an update of the ledger state from another.
struct rules_position {
    log_index index = 0;
    // Rule version of the requesting host; 0 requests the whole text.
    std::uint64_t version = 0;
    bool withHistory = false;
};

/// Ledger state sent from one host to another, with the whole rule text or with the patches that lead to it.
struct rules_update {
    // The text is empty when `patches` is set.
    ledger_state state;
    // Patches from the requesting host's version on, in order; absent when `state` holds the whole text.
    std::optional<std::vector<rule_patch>> patches;
};

/// Returns the state that results from applying `update` to `text`; empty when the patches are against another text.
std::optional<ledger_state> resolve(const rules_update &update, const rule_document &text);

/// Recent changes of the rule text, kept as patches so that updates to other hosts need not carry the whole text.
///
/// Bounded in bytes: the oldest patches are dropped first. Not thread-safe.
class patch_window
{
public:
    static constexpr std::size_t maxBytes = 256 << 10;

    /// Adds the change from `before` to `after`. A gap between the versions, or a patch larger than `maxBytes`, empties the window.
    void recordChange(const ledger_state &before, const ledger_state &after);

    /// Returns the update that brings a host at `position` to `state`; empty when the host is up to date.
    [[nodiscard]] std::optional<rules_update> updateFor(const rules_position &position, const ledger_state &state) const;

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct version_step {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        rule_patch patch;
    };

    [[nodiscard]] std::optional<std::vector<rule_patch>> patchesFrom(std::uint64_t version, std::uint64_t to) const;
    void clear();

    std::deque<version_step> m_steps;
    std::size_t m_bytes = 0;
};

} // namespace hornbeampick
