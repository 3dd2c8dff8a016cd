#pragma once

#include "claims/claim_types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace hornbeampick
{

enum class claim_outcome {
    pending,
    // A majority granted the key: this attempt alone may run the request.
    granted,
    // The request ran; the answer is there if it was kept.
    finished,
    held,
    mismatch,
    // The epoch is closed on so many members that no majority is left.
    closed,
    // Too few members answered.
    unavailable,
};

/// One attempt to claim a key from a group: decides from the members' replies.
///
/// Any two majorities share a member, and a member grants a key to one owner, so at most one
/// attempt is ever granted. An attempt that is not granted releases what it got. Pure.
class claim_round
{
public:
    explicit claim_round(std::size_t members);

    void onReply(std::size_t member, const claim_reply &reply);
    void onFailure(std::size_t member);

    [[nodiscard]] claim_outcome outcome() const;
    /// Who holds the key, when the outcome is `held`.
    [[nodiscard]] const claim_owner &holder() const
    {
        return m_holder;
    }
    [[nodiscard]] const std::optional<stored_answer> &answer() const
    {
        return m_answer;
    }

private:
    enum class seat {
        waiting,
        granted,
        held,
        finished,
        mismatch,
        closed,
        failed,
    };

    [[nodiscard]] std::size_t count(seat state) const;

    std::vector<seat> m_seats;
    claim_owner m_holder;
    std::optional<stored_answer> m_answer;
};

} // namespace hornbeampick
