#pragma once

#include "core/error.h"
#include "replica/replica_types.h"

#include <cstddef>
#include <utility>

namespace hornbeampick
{

/// Result of a submitted entry. On a version conflict `winner` is the digest of the rule file that was accepted instead.
struct submit_result {
    errc error = errc::ok;
    std::uint64_t version = 0;
    digest winner;
    std::string winnerOperator;
};

/// The replicated state machine: the rules and their history, claim epochs, routes and evacuations.
///
/// Deterministic: the same entries produce the same state on every replica. Not thread-safe.
class rule_ledger
{
public:
    /// Maximum number of history records; a resubmission of an older change is no longer recognised as a duplicate.
    static constexpr std::size_t maxHistoryRecords = 4096;
    /// Number of epochs of a region that stay open besides the newest.
    static constexpr std::size_t olderEpochsPerRegion = 2;

    explicit rule_ledger(ledger_state state = {});

    /// Applies one committed entry. The result is meaningful for rule changes only; other entries return ok.
    submit_result apply(const log_entry &entry);

    /// Returns the change in the form in which it is logged: as a patch against the current text when the patch is smaller than the whole text.
    [[nodiscard]] rules_change asPatchIfSmaller(rules_change change) const;

    /// Returns the result that `apply` would give now: a compare-and-set on the version, idempotent for equal content.
    [[nodiscard]] submit_result evaluate(const rules_change &change) const;

    [[nodiscard]] const ledger_state &state() const
    {
        return m_state;
    }
    /// Moves the state out of a ledger that is no longer used.
    [[nodiscard]] ledger_state release() &&
    {
        return std::move(m_state);
    }

private:
    [[nodiscard]] submit_result currentVersionConflict() const;
    submit_result acceptChange(const rules_change &change);
    void openEpoch(const claim_epoch &epoch);
    void applyEvacuation(const evacuation_order &order);

    ledger_state m_state;
};

/// Moves the entries of `image` that are known to be committed into its snapshot.
void applyCommitted(replica_image &image);

} // namespace hornbeampick
