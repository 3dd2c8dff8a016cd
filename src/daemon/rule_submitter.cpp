#include "daemon/rule_submitter.h"

#include "rules/rule_parser.h"

namespace hornbeampick
{

namespace
{

submit_result failure(errc error)
{
    return {.error = error, .version = 0, .winner = {}, .winnerOperator = {}};
}

} // namespace

rule_submitter::rule_submitter(const rule_submitter_parts &parts, std::vector<service_name> services, std::vector<std::string> voterAddresses)
    : m_parts(parts)
    , m_services(std::move(services))
    , m_voters(std::move(voterAddresses))
{
}

void rule_submitter::submit(rules_change change, bool relayed, milliseconds timeout, submit_done done)
{
    if (!isValid(change)) {
        done(failure(errc::rulesInvalid));
        return;
    }
    change.submittedAt = relayed ? change.submittedAt : m_parts.clock.wallNow();
    if (m_parts.replica != nullptr) {
        submitHere(std::move(change), relayed, timeout, std::move(done));
    } else {
        askVoter(0, false, std::move(change), timeout, std::move(done));
    }
}

bool rule_submitter::isValid(const rules_change &change) const
{
    const auto parsed = parseRules(change.text, "rules");
    if (!parsed.rules || parsed.rules->version != change.version || digestOf({change.text}) != change.content) {
        return false;
    }
    return checkNames(*parsed.rules, m_parts.fleet, m_services, "rules").empty();
}

void rule_submitter::submitHere(rules_change change, bool relayed, milliseconds timeout, submit_done done)
{
    const auto view = m_parts.replica->view();
    if (view.role == replica_role::leader) {
        m_parts.replica->submit(std::move(change), std::move(done));
        return;
    }
    if (relayed || !view.leader) {
        done(failure(errc::notLeader));
        return;
    }
    m_parts.peers.submit(view.leader->address, change, true, timeout, [done = std::move(done)](const result<submit_result> &reply) {
        // A lost answer says nothing about whether the change was accepted.
        if (reply) {
            done(reply.value());
        } else {
            done(failure(reply.error() == errc::unreachable ? errc::notLeader : errc::noQuorum));
        }
    });
}

void rule_submitter::askVoter(std::size_t position, bool unsure, rules_change change, milliseconds timeout, submit_done done)
{
    if (position >= m_voters.size()) {
        done(failure(unsure ? errc::noQuorum : errc::notLeader));
        return;
    }
    const std::string address = m_voters[position];
    m_parts.peers.submit(address, change, false, timeout,
                         [this, position, unsure, change, timeout, done = std::move(done)](const result<submit_result> &reply) mutable {
                             const bool answered = reply && reply.value().error != errc::notLeader && reply.value().error != errc::notAVoter;
                             if (answered) {
                                 done(reply.value());
                             } else {
                                 // The one that did not answer may have passed the change on.
                                 askVoter(position + 1, unsure || (!reply && reply.error() != errc::unreachable), std::move(change), timeout, std::move(done));
                             }
                         });
}

} // namespace hornbeampick
