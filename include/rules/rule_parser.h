#pragma once

#include "core/names.h"
#include "core/topology.h"
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

/// Names in `rules` that neither the topology nor the services know.
std::vector<rule_error> checkNames(const rule_set &rules, const topology &fleet, std::span<const service_name> services, std::string_view file);

/// Milliseconds since the Unix epoch of "2026-12-06T20:00+01:00" (or "Z", with optional seconds); empty when malformed.
std::optional<wall_ms> parseTime(std::string_view text);

} // namespace hornbeampick
