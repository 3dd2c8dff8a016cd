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

/// The rules in force on this host, and all that follows from a newer state of the log.
///
/// The applied index and the version only rise. Thread-safe.
class rule_keeper
{
public:
    rule_keeper(epoch_table &epochs, claim_store &claims, cap_table &caps, clock_source &clock);

    /// Takes over `state` when it is newer than what is in force. Returns false otherwise.
    bool update(const ledger_state &state);

    /// Takes over what another host passed on. Errors: corruptRecord when its patches do not fit the text in force.
    result<bool> update(const rules_update &passed);

    /// What a host at `position` needs to have the same; empty when it has it.
    [[nodiscard]] std::optional<rules_update> updateFor(const rules_position &position) const;

    /// Never null.
    [[nodiscard]] std::shared_ptr<const ledger_state> state() const;
    /// Null before the first rules.
    [[nodiscard]] std::shared_ptr<const rule_set> rules() const;
    [[nodiscard]] wall_ms inForceSince() const;

private:
    epoch_table &m_epochs;
    claim_store &m_claims;
    cap_table &m_caps;
    clock_source &m_clock;
    // Guards the window and the order of updates.
    mutable std::mutex m_updateLock;
    patch_window m_window;
    published<ledger_state> m_state;
    published<rule_set> m_rules;
    std::atomic<wall_ms> m_inForceSince {0};
};

} // namespace hornbeampick
