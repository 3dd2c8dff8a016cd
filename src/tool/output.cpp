#include "output.h"

#include <array>
#include <boost/json.hpp>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <ostream>

namespace hornbeampick
{

namespace
{

namespace json = boost::json;

constexpr int nameWidth = 16;
constexpr int wideWidth = 22;
constexpr int numberWidth = 10;

json::object hostObject(const host_status &host)
{
    return {
        {"host", host.self.host.view()},
        {"region", host.self.region.view()},
        {"failureDomain", host.self.domain.view()},
        {"state", textOf(host.self.state)},
        {"ruleVersion", host.ruleVersion},
        {"inForceSinceMs", host.inForceSince},
        {"rulesKnown", host.rulesKnown},
        {"replicaRole", host.replicaRole},
        {"leader", host.leader},
        {"term", host.term},
        {"cutOff", host.cutOff},
    };
}

void printJson(std::ostream &stream, const json::value &value)
{
    stream << json::serialize(value) << "\n";
}

} // namespace

std::string timeText(wall_ms time)
{
    if (time == 0) {
        return "-";
    }
    constexpr wall_ms msPerSecond = 1000;
    const auto whole = static_cast<std::time_t>(time / msPerSecond);
    std::tm parts {};
    gmtime_r(&whole, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

output::output(std::ostream &stream, bool json)
    : m_stream(stream)
    , m_json(json)
{
}

void output::failure(errc error, std::string_view detail)
{
    const std::string message = make_error_code(error).message();
    if (m_json) {
        printJson(m_stream, json::object {{"error", errorCode(error)}, {"message", message}, {"detail", detail}});
        return;
    }
    m_stream << errorCode(error) << ": " << message << (detail.empty() ? "" : ": ") << detail << "\n";
}

void output::ruleErrors(std::span<const rule_error> errors)
{
    json::array list;
    for (const auto &error : errors) {
        if (m_json) {
            list.push_back(json::object {
                {"file", error.file},
                {"line", error.line},
                {"column", error.column},
                {"expected", error.expected},
                {"found", error.found},
            });
        } else {
            m_stream << error.text() << "\n";
        }
    }
    if (m_json) {
        printJson(m_stream, json::object {{"error", errorCode(errc::rulesInvalid)}, {"errors", std::move(list)}});
    }
}

void output::settingsErrors(std::span<const settings_error> errors)
{
    json::array list;
    for (const auto &error : errors) {
        if (m_json) {
            list.push_back(json::object {{"file", error.file}, {"line", error.line}, {"key", error.key}, {"expected", error.expected}});
        } else {
            m_stream << error.text() << "\n";
        }
    }
    if (m_json) {
        printJson(m_stream, json::object {{"error", errorCode(errc::settingsInvalid)}, {"errors", std::move(list)}});
    }
}

void output::checked(std::string_view file, std::uint64_t version)
{
    if (m_json) {
        printJson(m_stream, json::object {{"file", file}, {"version", version}, {"valid", true}});
    } else if (version > 0) {
        m_stream << file << ": version " << version << " is valid\n";
    } else {
        m_stream << file << " is valid\n";
    }
}

void output::submitted(const submit_result &result)
{
    if (result.error != errc::ok) {
        std::string detail;
        if (result.error == errc::versionConflict) {
            detail
                = "version " + std::to_string(result.version) + " is in force; the accepted file is " + result.winner.hex() + ", by " + result.winnerOperator;
        }
        failure(result.error, detail);
        return;
    }
    if (m_json) {
        printJson(m_stream,
                  json::object {{"accepted", true}, {"version", result.version}, {"digest", result.winner.hex()}, {"operator", result.winnerOperator}});
        return;
    }
    m_stream << "accepted: version " << result.version << ", digest " << result.winner.hex() << ", by " << result.winnerOperator << "\n";
}

void output::rules(const ledger_state &state)
{
    if (m_json) {
        printJson(
            m_stream,
            json::object {{"version", state.version}, {"digest", state.text.content().hex()}, {"operator", state.operatorName}, {"text", state.text.text()}});
        return;
    }
    m_stream << state.text.text();
}

void output::history(const ledger_state &state)
{
    json::array list;
    for (const auto &record : state.history) {
        if (m_json) {
            list.push_back(json::object {
                {"version", record.version},
                {"digest", record.content.hex()},
                {"operator", record.operatorName},
                {"acceptedAtMs", record.acceptedAt},
            });
        } else {
            m_stream << std::setw(numberWidth) << record.version << "  " << timeText(record.acceptedAt) << "  " << record.content.hex() << "  "
                     << record.operatorName << "\n";
        }
    }
    if (m_json) {
        printJson(m_stream, list);
    }
}

void output::diff(std::span<const line_change> changes)
{
    json::array list;
    for (const auto &change : changes) {
        if (m_json) {
            list.push_back(json::object {{"change", change.added ? "added" : "removed"}, {"line", change.line}});
        } else {
            m_stream << (change.added ? "+ " : "- ") << change.line << "\n";
        }
    }
    if (m_json) {
        printJson(m_stream, list);
    }
}

void output::status(const fleet_status &status)
{
    if (m_json) {
        json::array hosts;
        for (const auto &host : status.hosts) {
            hosts.push_back(hostObject(host));
        }
        json::array silent;
        for (const auto &member : status.silent) {
            silent.push_back(json::object {{"host", member.host.view()}, {"state", textOf(member.state)}});
        }
        printJson(m_stream, json::object {{"hosts", std::move(hosts)}, {"silent", std::move(silent)}});
        return;
    }
    m_stream << std::left << std::setw(nameWidth) << "HOST" << std::setw(wideWidth) << "FAILURE DOMAIN" << std::setw(numberWidth) << "STATE"
             << std::setw(numberWidth) << "VERSION" << std::setw(wideWidth) << "IN FORCE SINCE" << std::setw(numberWidth) << "REPLICA"
             << "NOTE\n";
    for (const auto &host : status.hosts) {
        m_stream << std::left << std::setw(nameWidth) << host.self.host.view() << std::setw(wideWidth) << host.self.domain.view() << std::setw(numberWidth)
                 << textOf(host.self.state) << std::setw(numberWidth) << host.ruleVersion << std::setw(wideWidth) << timeText(host.inForceSince)
                 << std::setw(numberWidth) << host.replicaRole << (host.cutOff ? "cut off " : "") << (host.rulesKnown ? "" : "no rules known yet") << "\n";
    }
    for (const auto &member : status.silent) {
        m_stream << std::left << std::setw(nameWidth) << member.host.view() << std::setw(wideWidth) << member.domain.view() << std::setw(numberWidth)
                 << textOf(member.state) << "does not answer\n";
    }
}

void output::explanation(const steering_explanation &explanation)
{
    if (m_json) {
        json::array entries;
        for (const auto &entry : explanation.entries) {
            entries.push_back(json::object {{"host", entry.host.view()}, {"region", entry.region.view()}, {"address", entry.httpAddress}});
        }
        printJson(m_stream,
                  json::object {
                      {"ruleVersion", explanation.ruleVersion},
                      {"home", explanation.home.view()},
                      {"destination", explanation.destination.view()},
                      {"reason", explanation.reason},
                      {"epoch", explanation.epoch},
                      {"entries", std::move(entries)},
                      {"rules", json::value_from(explanation.rules)},
                  });
        return;
    }
    m_stream << "home " << explanation.home.view() << ", goes to " << explanation.destination.view() << " (" << explanation.reason << ") by rule version "
             << explanation.ruleVersion << ", epoch " << explanation.epoch << "\nentry hosts:";
    for (const auto &entry : explanation.entries) {
        m_stream << " " << entry.host.view();
    }
    m_stream << "\n";
    for (const auto &rule : explanation.rules) {
        m_stream << "  " << rule << "\n";
    }
}

void output::plan(std::span<const planned_load> loads)
{
    json::array list;
    if (!m_json) {
        m_stream << std::left << std::setw(nameWidth) << "SERVICE" << std::setw(nameWidth) << "REGION" << std::right << std::setw(numberWidth) << "SLOTS"
                 << std::setw(numberWidth) << "BUSY" << std::setw(numberWidth) << "PLANNED" << std::setw(numberWidth) << "HEADROOM"
                 << "\n";
    }
    for (const auto &load : loads) {
        const double headroom = load.slots - load.busyPlanned;
        if (m_json) {
            list.push_back(json::object {
                {"service", load.service.view()},
                {"region", load.region.view()},
                {"slots", load.slots},
                {"busyNow", load.busyNow},
                {"busyPlanned", load.busyPlanned},
                {"headroomPlanned", headroom},
            });
        } else {
            m_stream << std::left << std::setw(nameWidth) << load.service.view() << std::setw(nameWidth) << load.region.view() << std::right
                     << std::setw(numberWidth) << load.slots << std::fixed << std::setprecision(1) << std::setw(numberWidth) << load.busyNow
                     << std::setw(numberWidth) << load.busyPlanned << std::setw(numberWidth) << headroom << (headroom < 0 ? "  over" : "") << "\n";
        }
    }
    if (m_json) {
        printJson(m_stream, list);
    }
}

} // namespace hornbeampick
