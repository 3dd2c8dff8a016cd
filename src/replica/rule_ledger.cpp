#include "replica/rule_ledger.h"

#include <algorithm>

namespace hornbeampick
{

rule_ledger::rule_ledger(ledger_state state)
    : m_state(std::move(state))
{
}

submit_result rule_ledger::apply(const log_entry &entry)
{
    m_state.appliedIndex = entry.index;
    if (const auto *change = std::get_if<rules_change>(&entry.body)) {
        return acceptChange(*change);
    }
    if (const auto *epoch = std::get_if<claim_epoch>(&entry.body)) {
        openEpoch(*epoch);
    }
    if (const auto *table = std::get_if<routing_table>(&entry.body); table != nullptr && table->version > m_state.routing.version) {
        m_state.routing = *table;
    }
    if (const auto *order = std::get_if<evacuation_order>(&entry.body)) {
        applyEvacuation(*order);
    }
    return {.error = errc::ok, .version = m_state.version, .winner = {}, .winnerOperator = {}};
}

submit_result rule_ledger::evaluate(const rules_change &change) const
{
    const auto &history = m_state.history;
    const auto repeated
        = std::ranges::find_if(history, [&](const history_record &record) { return record.version == change.version && record.content == change.content; });
    if (repeated != history.end()) {
        return {.error = errc::ok, .version = change.version, .winner = repeated->content, .winnerOperator = repeated->operatorName};
    }
    // The first rule file may have any version; each later one must have the next version.
    if (m_state.version == 0 || change.version == m_state.version + 1) {
        return {.error = errc::ok, .version = change.version, .winner = change.content, .winnerOperator = change.operatorName};
    }
    const auto winner = std::ranges::find(history, change.version, &history_record::version);
    if (winner != history.end()) {
        return {.error = errc::versionConflict, .version = m_state.version, .winner = winner->content, .winnerOperator = winner->operatorName};
    }
    return currentVersionConflict();
}

rules_change rule_ledger::asPatchIfSmaller(rules_change change) const
{
    const auto *whole = std::get_if<rule_document>(&change.body);
    const bool isNextVersion = m_state.version > 0 && change.version == m_state.version + 1;
    if (whole == nullptr || !isNextVersion) {
        return change;
    }
    rule_patch patch = makePatch(m_state.text, *whole);
    if (patch.bytes() < whole->bytes()) {
        change.body = std::move(patch);
    }
    return change;
}

submit_result rule_ledger::currentVersionConflict() const
{
    return {.error = errc::versionConflict, .version = m_state.version, .winner = m_state.text.content(), .winnerOperator = m_state.operatorName};
}

submit_result rule_ledger::acceptChange(const rules_change &change)
{
    submit_result outcome = evaluate(change);
    const bool isNew = outcome.error == errc::ok && change.version > m_state.version;
    if (!isNew) {
        return outcome;
    }
    auto text = resolve(change.body, m_state.text);
    if (!text || text->content() != change.content) {
        // The patch is against a text that another change has replaced in the meantime.
        return currentVersionConflict();
    }
    m_state.version = change.version;
    m_state.text = std::move(*text);
    m_state.operatorName = change.operatorName;
    m_state.history.push_back({.version = change.version, .content = change.content, .operatorName = change.operatorName, .acceptedAt = change.submittedAt});
    if (m_state.history.size() > maxHistoryRecords) {
        m_state.history.erase(m_state.history.begin());
    }
    return outcome;
}

void rule_ledger::applyEvacuation(const evacuation_order &order)
{
    auto &domains = m_state.evacuated;
    std::erase(domains, order.domain);
    if (order.active) {
        domains.insert(std::ranges::upper_bound(domains, order.domain), order.domain);
    }
}

void rule_ledger::openEpoch(const claim_epoch &epoch)
{
    std::uint64_t newest = 0;
    for (const auto &known : m_state.epochs) {
        if (known.region == epoch.region) {
            newest = std::max(newest, known.number);
        }
    }
    if (epoch.number != newest + 1) {
        return;
    }
    m_state.epochs.push_back(epoch);
    std::erase_if(m_state.epochs, [&](const claim_epoch &known) { return known.region == epoch.region && known.number + olderEpochsPerRegion < epoch.number; });
}

void applyCommitted(replica_image &image)
{
    auto &snapshot = image.snapshot;
    if (!image.formed() || image.entries.empty() || image.entries.front().index > image.commit) {
        return;
    }
    rule_ledger ledger(std::move(snapshot.state));
    const auto pending = std::ranges::find_if(image.entries, [&](const log_entry &entry) { return entry.index > image.commit; });
    for (auto entry = image.entries.begin(); entry != pending; ++entry) {
        ledger.apply(*entry);
        snapshot.index = entry->index;
        snapshot.term = entry->term;
        if (auto *config = std::get_if<replica_config>(&entry->body)) {
            snapshot.config = std::move(*config);
        }
    }
    snapshot.state = std::move(ledger).release();
    image.entries.erase(image.entries.begin(), pending);
}

} // namespace hornbeampick
