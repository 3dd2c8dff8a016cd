#pragma once

#include "replica/replica_types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace hornbeampick
{

/// What one host has of the rules when it asks another.
struct rules_position {
    log_index index = 0;
    // 0: the whole text is wanted.
    std::uint64_t version = 0;
    bool withHistory = false;
};

/// The state of the log as one host passes it to another: with its whole text, or with the way to it.
struct rules_update {
    // Its text is empty when there are patches.
    ledger_state state;
    // From the asker's version on, in order; absent: the text is whole.
    std::optional<std::vector<rule_patch>> patches;
};

/// The state that `update` leads to from `text`. Empty when its patches start from another text.
std::optional<ledger_state> resolve(const rules_update &update, const rule_document &text);

/// The latest changes of the rules on one host, kept to bring others up to date with little.
///
/// Bounded in bytes. Not thread-safe.
class patch_window
{
public:
    static constexpr std::size_t bytesMaximum = 256 << 10;

    /// Notes that `after` replaced `before`. A gap between the versions empties the window.
    void note(const ledger_state &before, const ledger_state &after);

    /// What a host at `position` needs to reach `state`; empty when it has it.
    [[nodiscard]] std::optional<rules_update> updateFor(const rules_position &position, const ledger_state &state) const;

    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    struct step {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        rule_patch patch;
    };

    [[nodiscard]] std::optional<std::vector<rule_patch>> patchesFrom(std::uint64_t version, std::uint64_t to) const;
    void clear();

    std::deque<step> m_steps;
    std::size_t m_bytes = 0;
};

} // namespace hornbeampick
