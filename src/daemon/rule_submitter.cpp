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
    const check_result found = check(change);
    if (found == check_result::invalid) {
        done(failure(errc::rulesInvalid));
        return;
    }
    change.submittedAt = relayed ? change.submittedAt : m_parts.clock.wallNow();
    if (m_parts.replica == nullptr) {
        submitToVoter(0, false, std::move(change), timeout, std::move(done));
        return;
    }
    // Only validated changes enter the log: a leader that lacks the base version refuses, and the caller retries.
    const replica_view view = m_parts.replica->view();
    if (view.role == replica_role::leader && found == check_result::unknownBase) {
        done(failure(errc::notLeader));
        return;
    }
    submitOrRelay(view, std::move(change), relayed, timeout, std::move(done));
}

rule_submitter::check_result rule_submitter::check(const rules_change &change) const
{
    const auto state = m_parts.rules.state();
    const auto text = resolve(change.body, state->text);
    if (!text) {
        // A version that already exists is left to the log, which accepts it or reports a conflict.
        return change.version <= state->version ? check_result::valid : check_result::unknownBase;
    }
    const auto parsed = parseRules(*text, "rules", m_parts.rules.rules().get());
    const bool matchesChange = parsed.rules && parsed.rules->version == change.version && text->content() == change.content;
    const bool isValid = matchesChange && checkNames(*parsed.rules, m_parts.fleet, m_services, "rules").empty();
    return isValid ? check_result::valid : check_result::invalid;
}

void rule_submitter::submitOrRelay(const replica_view &view, rules_change change, bool relayed, milliseconds timeout, submit_done done)
{
    if (view.role == replica_role::leader) {
        m_parts.replica->submit(std::move(change), std::move(done));
        return;
    }
    if (relayed || !view.leader) {
        done(failure(errc::notLeader));
        return;
    }
    m_parts.peers.submit(view.leader->address, change, true, timeout, [done = std::move(done)](const result<submit_result> &reply) {
        // After a lost reply it is unknown whether the change was accepted.
        if (reply) {
            done(reply.value());
        } else {
            done(failure(reply.error() == errc::unreachable ? errc::notLeader : errc::noQuorum));
        }
    });
}

void rule_submitter::submitToVoter(std::size_t position, bool maybeAccepted, rules_change change, milliseconds timeout, submit_done done)
{
    if (position >= m_voters.size()) {
        done(failure(maybeAccepted ? errc::noQuorum : errc::notLeader));
        return;
    }
    const std::string address = m_voters[position];
    m_parts.peers.submit(
        address, change, false, timeout, [this, position, maybeAccepted, change, timeout, done = std::move(done)](const result<submit_result> &reply) mutable {
            const bool answered = reply && reply.value().error != errc::notLeader && reply.value().error != errc::notAVoter;
            if (answered) {
                done(reply.value());
            } else {
                // A voter that did not answer may have passed the change on.
                submitToVoter(position + 1, maybeAccepted || (!reply && reply.error() != errc::unreachable), std::move(change), timeout, std::move(done));
            }
        });
}

} // namespace hornbeampick
