#pragma once

#include "core/error.h"
#include "replica/replica_types.h"

#include <cstddef>

namespace hornbeampick
{

/// What became of a submitted rule file. On a conflict the winner is named.
struct submit_result {
    errc error = errc::ok;
    std::uint64_t version = 0;
    digest winner;
    std::string winnerOperator;
};

/// The state machine behind the log: rule versions, their history, the claim epochs, the routes and evacuations.
///
/// Deterministic: the same entries give the same state on every replica.
class rule_ledger
{
public:
    /// Accepted changes kept in the history; a repeat of an older one is no longer recognised.
    static constexpr std::size_t historySize = 4096;
    /// Epochs of one region kept open beside the newest.
    static constexpr std::size_t openEpochsARegion = 2;

    explicit rule_ledger(ledger_state state = {});

    /// Applies one committed entry; the result matters for rule changes only.
    submit_result apply(const log_entry &entry);

    /// The same change as a patch where that is smaller: what goes into the log.
    [[nodiscard]] rules_change shortened(rules_change change) const;

    /// Compare-and-set on the version, idempotent by content: what `apply` would answer now.
    [[nodiscard]] submit_result judge(const rules_change &change) const;

    [[nodiscard]] const ledger_state &state() const
    {
        return m_state;
    }

private:
    [[nodiscard]] submit_result conflict() const;
    submit_result accept(const rules_change &change);
    void open(const claim_epoch &epoch);
    void evacuate(const evacuation_order &order);

    ledger_state m_state;
};

} // namespace hornbeampick
