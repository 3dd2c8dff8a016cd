#pragma once

#include "replica/rule_ledger.h"
#include "rpc/peer_types.h"
#include "rules/rule_parser.h"
#include "rules/rule_text.h"
#include "settings/settings_file.h"

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Predicted load of one service in one region, as printed by `rules plan`. Slots in use may be fractional.
struct planned_load {
    service_name service;
    region_name region;
    std::uint32_t slots = 0;
    double busyNow = 0;
    double busyPlanned = 0;
};

/// Prints results as text for people or as one JSON document.
class output
{
public:
    output(std::ostream &stream, bool json);

    void failure(errc error, std::string_view detail);
    void ruleErrors(std::span<const rule_error> errors);
    void settingsErrors(std::span<const settings_error> errors);
    void checked(std::string_view file, std::uint64_t version);
    void submitted(const submit_result &result);
    void rules(const ledger_state &state);
    void history(const ledger_state &state);
    void diff(std::span<const line_change> changes);
    void status(const fleet_status &status);
    void explanation(const steering_explanation &explanation);
    void plan(std::span<const planned_load> loads);

private:
    std::ostream &m_stream;
    bool m_json;
};

/// Formats a time in UTC, such as "2026-12-06T19:00:00Z"; returns "-" for 0.
std::string timeText(wall_ms time);

} // namespace hornbeampick
