#pragma once

#include "claims/claim_store.h"
#include "claims/epoch_table.h"
#include "core/clock.h"
#include "core/published.h"
#include "replica/replica_types.h"
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
    std::mutex m_updateLock;
    published<ledger_state> m_state;
    published<rule_set> m_rules;
    std::atomic<wall_ms> m_inForceSince {0};
};

} // namespace hornbeampick
