#include "replica/rule_update.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

// Counted for the two digests and the versions of each patch.
constexpr std::size_t stepOverheadBytes = 48;

std::size_t bytesOf(const rule_patch &patch)
{
    return patch.bytes() + stepOverheadBytes;
}

} // namespace

std::optional<ledger_state> resolve(const rules_update &update, const rule_document &text)
{
    ledger_state state = update.state;
    if (!update.patches) {
        return state;
    }
    state.text = text;
    for (const auto &patch : *update.patches) {
        auto next = state.text.patched(patch);
        if (!next) {
            return std::nullopt;
        }
        state.text = std::move(*next);
    }
    return state;
}

void patch_window::recordChange(const ledger_state &before, const ledger_state &after)
{
    if (after.version == before.version) {
        return;
    }
    version_step next {.from = before.version, .to = after.version, .patch = makePatch(before.text, after.text)};
    const std::size_t bytes = bytesOf(next.patch);
    const bool isContiguous = m_steps.empty() || m_steps.back().to == next.from;
    if (!isContiguous || bytes > maxBytes) {
        clear();
    }
    if (bytes > maxBytes) {
        return;
    }
    m_bytes += bytes;
    m_steps.push_back(std::move(next));
    while (m_bytes > maxBytes) {
        m_bytes -= bytesOf(m_steps.front().patch);
        m_steps.pop_front();
    }
}

std::optional<rules_update> patch_window::updateFor(const rules_position &position, const ledger_state &state) const
{
    if (state.appliedIndex <= position.index) {
        return std::nullopt;
    }
    rules_update update {.state = state, .patches = patchesFrom(position.version, state.version)};
    if (update.patches) {
        update.state.text = {};
    }
    if (!position.withHistory) {
        update.state.history.clear();
    }
    return update;
}

std::optional<std::vector<rule_patch>> patch_window::patchesFrom(std::uint64_t version, std::uint64_t to) const
{
    std::vector<rule_patch> patches;
    if (version == 0) {
        return std::nullopt;
    }
    if (version == to) {
        return patches;
    }
    const auto first = std::ranges::find(m_steps, version, &version_step::from);
    if (first == m_steps.end() || m_steps.back().to != to) {
        return std::nullopt;
    }
    for (auto each = first; each != m_steps.end(); ++each) {
        patches.push_back(each->patch);
    }
    return patches;
}

void patch_window::clear()
{
    m_steps.clear();
    m_bytes = 0;
}

} // namespace hornbeampick
