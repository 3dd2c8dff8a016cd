#pragma once

#include "claims/claim_store.h"
#include "claims/epoch_table.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/published.h"
#include "replica/rule_update.h"
#include "rules/rule_set.h"
#include "steering/cap_table.h"

#include <atomic>
#include <memory>
#include <mutex>

namespace hornbeampick
{

/// Holds the rules in force on this host and applies newer states of the replicated log to them, to the claim epochs and to the caps.
///
/// The applied index and the rule version never decrease. Thread-safe.
class active_rules
{
public:
    active_rules(epoch_table &epochs, claim_store &claims, cap_table &caps, clock_source &clock);

    /// Applies `state` if it is newer than the state in force; returns false otherwise, or when its rules cannot be parsed.
    bool update(const ledger_state &state);

    /// Applies an update received from another host. Errors: corruptRecord when its patches are not against the text in force.
    result<bool> update(const rules_update &received);

    /// Returns the update that brings a host at `position` to the state in force; empty when it is up to date.
    [[nodiscard]] std::optional<rules_update> updateFor(const rules_position &position) const;

    /// Never null.
    [[nodiscard]] std::shared_ptr<const ledger_state> state() const;
    /// Null until the first rules are in force.
    [[nodiscard]] std::shared_ptr<const rule_set> rules() const;
    /// Returns when the current version came into force on this host, by its wall clock; 0 until the first rules are in force.
    [[nodiscard]] wall_ms inForceSince() const;

private:
    epoch_table &m_epochs;
    claim_store &m_claims;
    cap_table &m_caps;
    clock_source &m_clock;
    // Guards `m_window` and serialises updates.
    mutable std::mutex m_updateLock;
    patch_window m_window;
    published<ledger_state> m_state;
    published<rule_set> m_rules;
    std::atomic<wall_ms> m_inForceSince {0};
};

} // namespace hornbeampick
