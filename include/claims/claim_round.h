#pragma once

#include "claims/claim_types.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace hornbeampick
{

/// Result of a claim attempt.
enum class claim_outcome {
    pending,
    // A majority granted the key: only this attempt may run the request.
    granted,
    // The request ran; `answer` holds its answer if it was stored.
    finished,
    // Another attempt holds the key.
    held,
    // The key was used with another request.
    mismatch,
    // The epoch is closed on so many members that a majority is no longer possible.
    closed,
    // Too few members replied.
    unavailable,
};

/// One attempt to claim a key from a claim group by quorum; decides the outcome from the members' replies.
///
/// Any two majorities share a member, and a member grants a key to one owner only, so at most one
/// attempt is granted. The caller must release the grants of an attempt that fails. Performs no I/O. Not thread-safe.
class claim_round
{
public:
    explicit claim_round(std::size_t members);

    /// `member` is the index in the group; only the first reply or failure of a member counts.
    void onReply(std::size_t member, const claim_reply &reply);
    void onFailure(std::size_t member);

    [[nodiscard]] claim_outcome outcome() const;
    /// Returns the owner of the key, when the outcome is `held`.
    [[nodiscard]] const claim_owner &holder() const
    {
        return m_holder;
    }
    [[nodiscard]] const std::optional<stored_answer> &answer() const
    {
        return m_answer;
    }

private:
    enum class reply_state {
        waiting,
        granted,
        held,
        finished,
        mismatch,
        closed,
        failed,
    };

    [[nodiscard]] std::size_t count(reply_state state) const;

    std::vector<reply_state> m_replyStates;
    claim_owner m_holder;
    std::optional<stored_answer> m_answer;
};

} // namespace hornbeampick
