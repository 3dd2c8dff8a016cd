#include "daemon/active_rules.h"

#include "core/free_memory.h"
#include "observe/log.h"
#include "rules/rule_parser.h"

namespace hornbeampick
{

namespace
{

// Parsing a first rule text above this size leaves much freed memory in the process; it is returned to the system.
constexpr std::size_t largeTextBytes = 1 << 20;

} // namespace

active_rules::active_rules(epoch_table &epochs, claim_store &claims, cap_table &caps, clock_source &clock)
    : m_epochs(epochs)
    , m_claims(claims)
    , m_caps(caps)
    , m_clock(clock)
{
    m_state.set(std::make_shared<const ledger_state>());
}

bool active_rules::update(const ledger_state &state)
{
    const std::lock_guard guard(m_updateLock);
    const auto known = m_state.get();
    if (state.appliedIndex <= known->appliedIndex || state.version < known->version) {
        return false;
    }
    if (state.version > known->version) {
        const auto parsed = parseRules(state.text, "accepted rules", m_rules.get().get());
        if (!parsed.rules) {
            // The rules were accepted by a newer release and cannot be parsed by this one; the rules in force stay.
            logEvent(log_level::error, "rules-unreadable", {{"version", static_cast<std::int64_t>(state.version)}, {"place", parsed.errors.front().text()}});
            return false;
        }
        m_rules.set(parsed.rules);
        m_caps.setRules(parsed.rules);
        m_inForceSince = m_clock.wallNow();
        logEvent(log_level::info, "rules-in-force", {{"version", static_cast<std::int64_t>(state.version)}, {"operator", state.operatorName}});
    }
    m_epochs.update(state.epochs);
    for (const auto &[region, first] : m_epochs.firstOpen()) {
        m_claims.closeEpochsBefore(region, first);
    }
    m_window.recordChange(*known, state);
    m_state.set(std::make_shared<const ledger_state>(state));
    if (known->text.empty() && state.text.bytes() > largeTextBytes) {
        releaseFreeMemory();
    }
    return true;
}

result<bool> active_rules::update(const rules_update &received)
{
    const auto state = resolve(received, m_state.get()->text);
    if (!state) {
        return errc::corruptRecord;
    }
    return update(*state);
}

std::optional<rules_update> active_rules::updateFor(const rules_position &position) const
{
    const std::lock_guard guard(m_updateLock);
    return m_window.updateFor(position, *m_state.get());
}

std::shared_ptr<const ledger_state> active_rules::state() const
{
    return m_state.get();
}

std::shared_ptr<const rule_set> active_rules::rules() const
{
    return m_rules.get();
}

wall_ms active_rules::inForceSince() const
{
    return m_inForceSince;
}

} // namespace hornbeampick
