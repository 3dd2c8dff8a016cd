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

/// The key of a request, its epoch, and the attempt that wants to run it.
struct claim_ticket {
    epoch_id epoch;
    std::string key;
    digest content;
    claim_owner owner;
};

struct claim_result {
    claim_outcome outcome = claim_outcome::unavailable;
    claim_owner holder;
    std::optional<stored_answer> answer;
};

/// Claims keys from their epoch's group, before the first byte of a request leaves.
///
/// Soon after an epoch has followed another, the key is claimed from both groups: a caller that looked up
/// anew between two sendings of a request then still meets its first claim. Thread-safe.
class claim_client
{
public:
    claim_client(const epoch_table &epochs, const member_table &members, claim_store &store, peer_client &peers, clock_source &clock);

    /// Not granted: everything that was got is released again.
    boost::asio::awaitable<claim_result> acquire(claim_ticket ticket, steady_time deadline);
    /// The request surely did not run: its key may be claimed anew.
    void release(const claim_ticket &ticket);
    /// Keeps the answer for repeats. Returns once a majority has it, or soon after.
    boost::asio::awaitable<void> finish(claim_ticket ticket, stored_answer answer);

private:
    [[nodiscard]] std::optional<claim_group> groupOf(const epoch_id &epoch) const;
    [[nodiscard]] std::optional<claim_group> predecessorOf(const claim_group &group) const;
    [[nodiscard]] bool hasMajority(const claim_group &group) const;
    [[nodiscard]] std::vector<claim_group> groupsFor(const claim_group &group) const;
    boost::asio::awaitable<claim_result> ask(claim_group group, claim_ticket ticket, milliseconds timeout);
    boost::asio::awaitable<bool> record(claim_group group, claim_ticket ticket, std::optional<stored_answer> answer);
    void send(const claim_group &group, const claim_ticket &ticket, claim_action action, const std::optional<stored_answer> &answer);
    void call(const epoch_member &member, const claim_request &request, milliseconds timeout, peer_done<claim_reply> done);

    const epoch_table &m_epochs;
    const member_table &m_members;
    claim_store &m_store;
    peer_client &m_peers;
    clock_source &m_clock;
};

} // namespace hornbeampick
