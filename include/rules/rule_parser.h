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

/// What is wrong at one place of a rule file. Lines and columns count from 1.
struct rule_error {
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string expected;
    std::string found;

    /// "file:line:column: expected …, found …".
    [[nodiscard]] std::string text() const;
};

/// A parsed file, or every error found in it. Nothing of a bad file is usable.
struct rule_parse {
    std::shared_ptr<const rule_set> rules;
    std::vector<rule_error> errors;
};

/// Reads a rule file. `file` names it in errors only.
rule_parse parseRules(std::string_view text, std::string_view file);

/// The same, at the cost of what differs from `before`, whose chunks and block pages the result shares. Null: reads all.
rule_parse parseRules(const rule_document &document, std::string_view file, const rule_set *before);

/// Names in `rules` that neither the topology nor the services know; each home of client blocks once.
std::vector<rule_error> checkNames(const rule_set &rules, const topology &fleet, std::span<const service_name> services, std::string_view file);

} // namespace hornbeampick
