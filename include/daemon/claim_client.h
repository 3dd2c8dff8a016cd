#pragma once

#include "claims/claim_round.h"
#include "claims/claim_store.h"
#include "claims/epoch_table.h"
#include "core/clock.h"
#include "fleet/member_table.h"
#include "rpc/peer_client.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

/// One attempt to claim a key: the key, its epoch, the digest of the request, and the owner of the attempt.
struct claim_attempt {
    epoch_id epoch;
    std::string key;
    digest content;
    claim_owner owner;
};

struct claim_result {
    claim_outcome outcome = claim_outcome::unavailable;
    // Owner of the key, when the outcome is `held`.
    claim_owner holder;
    // Stored answer, when the outcome is `finished` and the answer was kept.
    std::optional<stored_answer> answer;
};

/// Claims idempotency keys by quorum from the claim group of their epoch, before the first byte of a request is sent.
///
/// Shortly after a change of epochs, a key is claimed from the groups of both epochs: a caller that performed a new look-up
/// between two sends of a request then still finds its first claim. Thread-safe.
class claim_client
{
public:
    claim_client(const epoch_table &epochs, const member_table &members, claim_store &store, peer_client &peers, clock_source &clock);

    /// Claims the key. If the outcome is not `granted`, partial grants are released.
    boost::asio::awaitable<claim_result> acquire(claim_attempt attempt, steady_time deadline);
    /// Releases the claim of a request that definitely did not run; its key may then be claimed again.
    void release(const claim_attempt &attempt);
    /// Stores the answer for repeated requests. Returns once a majority has stored it, or after a short timeout.
    boost::asio::awaitable<void> finish(claim_attempt attempt, stored_answer answer);

private:
    [[nodiscard]] std::optional<claim_group> groupOf(const epoch_id &epoch) const;
    [[nodiscard]] std::optional<claim_group> predecessorOf(const claim_group &group) const;
    [[nodiscard]] bool hasMajority(const claim_group &group) const;
    [[nodiscard]] std::vector<claim_group> groupsFor(const claim_group &group) const;
    boost::asio::awaitable<claim_result> acquireFrom(claim_group group, claim_attempt attempt, milliseconds timeout);
    boost::asio::awaitable<bool> recordAnswer(claim_group group, claim_attempt attempt, std::optional<stored_answer> answer);
    void sendToGroup(const claim_group &group, const claim_attempt &attempt, claim_action action, const std::optional<stored_answer> &answer);
    void callMember(const epoch_member &member, const claim_request &request, milliseconds timeout, peer_callback<claim_reply> done);

    const epoch_table &m_epochs;
    const member_table &m_members;
    claim_store &m_store;
    peer_client &m_peers;
    clock_source &m_clock;
};

} // namespace hornbeampick
