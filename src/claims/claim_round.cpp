#include "claims/claim_round.h"

#include <algorithm>
#include <cassert>

namespace hornbeampick
{

claim_round::claim_round(std::size_t members)
    : m_replyStates(members, reply_state::waiting)
{
}

void claim_round::onReply(std::size_t member, const claim_reply &reply)
{
    assert(member < m_replyStates.size());
    auto &state = m_replyStates[member];
    if (state != reply_state::waiting) {
        return;
    }
    switch (reply.verdict) {
    case claim_verdict::granted:
        state = reply_state::granted;
        break;
    case claim_verdict::held:
        state = reply_state::held;
        m_holder = reply.owner;
        break;
    case claim_verdict::finished:
        state = reply_state::finished;
        m_answer = reply.answer;
        break;
    case claim_verdict::mismatch:
        state = reply_state::mismatch;
        break;
    case claim_verdict::closed:
        state = reply_state::closed;
        break;
    case claim_verdict::absent:
        state = reply_state::failed;
        break;
    }
}

void claim_round::onFailure(std::size_t member)
{
    assert(member < m_replyStates.size());
    if (m_replyStates[member] == reply_state::waiting) {
        m_replyStates[member] = reply_state::failed;
    }
}

claim_outcome claim_round::outcome() const
{
    const std::size_t majority = m_replyStates.size() / 2 + 1;
    if (count(reply_state::finished) > 0) {
        return claim_outcome::finished;
    }
    if (count(reply_state::granted) >= majority) {
        return claim_outcome::granted;
    }
    if (count(reply_state::granted) + count(reply_state::waiting) >= majority) {
        return claim_outcome::pending;
    }
    // A member that has not replied yet may know that the request has finished.
    if (count(reply_state::waiting) > 0) {
        return claim_outcome::pending;
    }
    if (count(reply_state::mismatch) > 0) {
        return claim_outcome::mismatch;
    }
    if (count(reply_state::held) > 0) {
        return claim_outcome::held;
    }
    if (count(reply_state::closed) > m_replyStates.size() - majority) {
        return claim_outcome::closed;
    }
    return claim_outcome::unavailable;
}

std::size_t claim_round::count(reply_state state) const
{
    return static_cast<std::size_t>(std::ranges::count(m_replyStates, state));
}

} // namespace hornbeampick
