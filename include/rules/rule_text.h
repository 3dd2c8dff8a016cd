#pragma once

#include "rules/rule_document.h"
#include "rules/rule_set.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// Text edits of rule files; unaffected lines remain unchanged.

/// Returns `text` with another version number. `text` must be a valid rule file.
std::string withVersion(std::string_view text, std::uint64_t version);

/// Returns `text` with a rule line appended.
std::string withRule(std::string_view text, std::string_view line);

/// Returns `text` without the drain rules of one target; unchanged when there are none.
std::string withoutDrain(std::string_view text, drain_target target, std::string_view name);

/// Returns the line that assigns a home to a client block; empty when there is none. Takes time linear in the size of the text.
std::string clientsLine(const rule_document &document, const client_block &block);

/// A line that was added or removed between two texts.
struct line_change {
    // False when the line was removed.
    bool added = false;
    std::string line;

    bool operator==(const line_change &) const = default;
};

/// Returns a minimal sequence of line changes from `before` to `after`, in order.
std::vector<line_change> diffLines(std::string_view before, std::string_view after);

} // namespace hornbeampick
