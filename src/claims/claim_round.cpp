#include "claims/claim_round.h"

#include <algorithm>
#include <cassert>

namespace hornbeampick
{

claim_round::claim_round(std::size_t members)
    : m_seats(members, seat::waiting)
{
}

void claim_round::onReply(std::size_t member, const claim_reply &reply)
{
    assert(member < m_seats.size());
    auto &state = m_seats[member];
    if (state != seat::waiting) {
        return;
    }
    switch (reply.verdict) {
    case claim_verdict::granted:
        state = seat::granted;
        break;
    case claim_verdict::held:
        state = seat::held;
        m_holder = reply.owner;
        break;
    case claim_verdict::finished:
        state = seat::finished;
        m_answer = reply.answer;
        break;
    case claim_verdict::mismatch:
        state = seat::mismatch;
        break;
    case claim_verdict::closed:
        state = seat::closed;
        break;
    case claim_verdict::absent:
        state = seat::failed;
        break;
    }
}

void claim_round::onFailure(std::size_t member)
{
    assert(member < m_seats.size());
    if (m_seats[member] == seat::waiting) {
        m_seats[member] = seat::failed;
    }
}

claim_outcome claim_round::outcome() const
{
    const std::size_t majority = m_seats.size() / 2 + 1;
    if (count(seat::finished) > 0) {
        return claim_outcome::finished;
    }
    if (count(seat::granted) >= majority) {
        return claim_outcome::granted;
    }
    if (count(seat::granted) + count(seat::waiting) >= majority) {
        return claim_outcome::pending;
    }
    // A member that is still to answer may know how the request ended.
    if (count(seat::waiting) > 0) {
        return claim_outcome::pending;
    }
    if (count(seat::mismatch) > 0) {
        return claim_outcome::mismatch;
    }
    if (count(seat::held) > 0) {
        return claim_outcome::held;
    }
    if (count(seat::closed) > m_seats.size() - majority) {
        return claim_outcome::closed;
    }
    return claim_outcome::unavailable;
}

std::size_t claim_round::count(seat state) const
{
    return static_cast<std::size_t>(std::ranges::count(m_seats, state));
}

} // namespace hornbeampick
