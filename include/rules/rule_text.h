#pragma once

#include "rules/rule_document.h"
#include "rules/rule_set.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// Edits of rule files as text: lines that are not concerned stay as they are.

/// The same rules under another version. `text` must parse.
std::string withVersion(std::string_view text, std::uint64_t version);

/// A rule line at the end.
std::string withRule(std::string_view text, std::string_view line);

/// Without the drains of one target; the same text when there are none.
std::string withoutDrain(std::string_view text, drain_target target, std::string_view name);

/// The line that gives a client block its home; empty when there is none. Searches the whole text.
std::string clientsLine(const rule_document &document, const client_block &block);

/// One line that only one of two texts has.
struct line_change {
    // Added in the second text, else removed from the first.
    bool added = false;
    std::string line;

    bool operator==(const line_change &) const = default;
};

/// Smallest set of line changes from `before` to `after`, in order.
std::vector<line_change> diffLines(std::string_view before, std::string_view after);

} // namespace hornbeampick
