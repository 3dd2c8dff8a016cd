#pragma once

#include "core/names.h"
#include "core/topology.h"
#include "rules/rule_document.h"
#include "rules/rule_set.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// An error at one position of a rule file. Lines and columns count from 1.
struct rule_error {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string expected;
    std::string found;

    /// Formats the error as "file:line:column: expected …, found …".
    [[nodiscard]] std::string text() const;
};

/// The result of parsing a rule file: the rules, or every error found. `rules` is null when there is any error.
struct rule_parse {
    std::shared_ptr<const rule_set> rules;
    std::vector<rule_error> errors;
};

/// Parses a rule file. `file` is its name in error messages.
rule_parse parseRules(std::string_view text, std::string_view file);

/// Parses a rule file incrementally: reuses the parsed chunks and block pages of `before`, so that the cost depends on the
/// difference only. Parses the whole file when `before` is null.
rule_parse parseRules(const rule_document &document, std::string_view file, const rule_set *before);

/// Reports the names in `rules` that are unknown to the topology and the list of services. Each home region of client blocks is
/// reported once.
std::vector<rule_error> checkNames(const rule_set &rules, const topology &fleet, std::span<const service_name> services, std::string_view file);

} // namespace hornbeampick
