#include "tool/command.h"

#include "command_line.h"
#include "output.h"
#include "rules/headroom_plan.h"
#include "tool/operator_client.h"

#include <fstream>
#include <map>
#include <ostream>
#include <sstream>

namespace hornbeampick
{

namespace
{

constexpr int maxConflictAttempts = 5;

result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return errc::fileUnreadable;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

std::optional<drain_target> parseDrainTarget(std::string_view word)
{
    for (const auto target : {drain_target::region, drain_target::failureDomain, drain_target::host, drain_target::upstream}) {
        if (keywordOf(target) == word) {
            return target;
        }
    }
    return std::nullopt;
}

// Executes one command.
class tool
{
public:
    tool(const tool_command &command, std::ostream &out, std::ostream &err)
        : m_command(command)
        , m_out(out, command.json)
        , m_err(err, command.json)
    {
    }

    exit_code run()
    {
        const auto &words = m_command.words;
        if (words[0] == "settings") {
            return runOnFile(&tool::checkSettings);
        }
        if (words[0] == "rules" && words[1] == "check") {
            return runOnFile(&tool::checkRules);
        }
        if (m_command.hosts.empty()) {
            return usage("no hosts given; use --hosts or HORNBEAMPICK_HOSTS");
        }
        const auto peers = makeGrpcPeerClient(m_command.tls, nullptr);
        operator_client client(*peers, m_command.hosts, m_command.timeout, m_clock);
        m_client = &client;
        return runOnHosts();
    }

private:
    exit_code runOnHosts()
    {
        const auto &words = m_command.words;
        if (words[0] == "status") {
            return status();
        }
        if (words[0] == "explain") {
            return explain();
        }
        if (words[0] == "drain" || words[0] == "undrain") {
            return changeDrain(words[0] == "drain");
        }
        if (words[1] == "show" || words[1] == "history") {
            return show(words[1] == "history");
        }
        if (words[1] == "plan") {
            return runOnFile(&tool::plan);
        }
        if (words[1] == "diff") {
            return runOnFile(&tool::diff);
        }
        return runOnFile(&tool::submitFile);
    }

    exit_code runOnFile(exit_code (tool::*action)(const std::string &path, const std::string &text))
    {
        if (m_command.words.size() != 3) {
            return usage("this command takes exactly one file");
        }
        const auto &path = m_command.words[2];
        const auto text = readFile(path);
        if (!text) {
            m_err.failure(errc::fileUnreadable, path);
            return exit_code::usage;
        }
        return (this->*action)(path, text.value());
    }

    exit_code usage(std::string_view detail)
    {
        m_err.failure(errc::usage, detail);
        return exit_code::usage;
    }

    exit_code failed(std::error_code error)
    {
        m_err.failure(static_cast<errc>(error.value()), "");
        return exit_code::unreachable;
    }

    exit_code checkSettings(const std::string &path, const std::string &text)
    {
        const auto parsed = parseSettings(text, path);
        if (!parsed.settings) {
            m_err.settingsErrors(parsed.errors);
            return exit_code::refused;
        }
        m_out.checked(path, 0);
        return exit_code::ok;
    }

    // Parses and validates a rule text; prints its errors and returns null when it is invalid.
    std::shared_ptr<const rule_set> parse(const std::string &path, const std::string &text)
    {
        auto parsed = parseRules(text, path);
        if (parsed.rules && !m_command.settingsFile.empty()) {
            const auto settings = loadSettings(m_command.settingsFile);
            if (!settings.settings) {
                m_err.settingsErrors(settings.errors);
                return nullptr;
            }
            parsed.errors = checkNames(*parsed.rules, topologyOf(*settings.settings), servicesOf(*settings.settings), path);
        }
        if (!parsed.errors.empty()) {
            m_err.ruleErrors(parsed.errors);
            return nullptr;
        }
        return parsed.rules;
    }

    exit_code checkRules(const std::string &path, const std::string &text)
    {
        const auto rules = parse(path, text);
        if (!rules) {
            return exit_code::refused;
        }
        m_out.checked(path, rules->version);
        return exit_code::ok;
    }

    exit_code submitFile(const std::string &path, const std::string &text)
    {
        const auto rules = parse(path, text);
        if (!rules) {
            return exit_code::refused;
        }
        const auto answer = submit(rules->version, rule_document(text));
        if (!answer) {
            return failed(answer.error());
        }
        return report(answer.value());
    }

    result<submit_result> submit(std::uint64_t version, rule_body body)
    {
        rules_change change;
        change.version = version;
        change.content = contentOf(body);
        change.body = std::move(body);
        change.operatorName = m_command.operatorName;
        return m_client->submit(change);
    }

    exit_code report(const submit_result &answer)
    {
        if (answer.error == errc::noQuorum || answer.error == errc::notLeader) {
            m_err.submitted(answer);
            return exit_code::unreachable;
        }
        if (answer.error != errc::ok) {
            m_err.submitted(answer);
            return exit_code::refused;
        }
        m_out.submitted(answer);
        return m_command.wait ? awaitInForceEverywhere(answer.version) : exit_code::ok;
    }

    exit_code awaitInForceEverywhere(std::uint64_t version)
    {
        const auto reached = m_client->awaitVersion(version);
        if (!reached) {
            return failed(reached.error());
        }
        const auto behind = std::ranges::any_of(reached.value().hosts, [version](const host_status &host) { return host.ruleVersion < version; });
        m_out.status(reached.value());
        return behind ? exit_code::pending : exit_code::ok;
    }

    exit_code status()
    {
        const auto answer = m_client->status();
        if (!answer) {
            return failed(answer.error());
        }
        m_out.status(answer.value());
        return exit_code::ok;
    }

    exit_code explain()
    {
        if (m_command.service.empty() || m_command.client.empty()) {
            return usage("--service and --client are required");
        }
        const auto answer = m_client->explain(service_name(m_command.service), m_command.client);
        if (!answer) {
            return failed(answer.error());
        }
        if (answer.value().error != errc::ok) {
            m_err.failure(answer.value().error, "");
            return exit_code::refused;
        }
        m_out.explanation(answer.value());
        return exit_code::ok;
    }

    exit_code show(bool history)
    {
        const auto state = m_client->rules(history);
        if (!state) {
            return failed(state.error());
        }
        if (history) {
            m_out.history(state.value());
        } else {
            m_out.rules(state.value());
        }
        return exit_code::ok;
    }

    exit_code diff(const std::string &path, const std::string &text)
    {
        if (!parse(path, text)) {
            return exit_code::refused;
        }
        const auto state = m_client->rules(false);
        if (!state) {
            return failed(state.error());
        }
        const auto changes = diffLines(state.value().text.text(), text);
        m_out.diff(changes);
        return changes.empty() ? exit_code::ok : exit_code::refused;
    }

    exit_code plan(const std::string &path, const std::string &text)
    {
        const auto rules = parse(path, text);
        if (!rules) {
            return exit_code::refused;
        }
        const auto loads = m_client->loads();
        if (!loads) {
            return failed(loads.error());
        }
        std::map<service_name, std::vector<region_demand>> currentDemands;
        for (const auto &load : loads.value()) {
            currentDemands[load.service].push_back({.region = load.region, .busy = static_cast<double>(load.load.inFlight), .slots = load.load.slots});
        }
        std::vector<planned_load> planned;
        for (const auto &[service, demands] : currentDemands) {
            const auto plannedDemands = planDemand(*rules, service, demands, m_clock.wallNow());
            for (std::size_t i = 0; i < plannedDemands.size(); ++i) {
                planned.push_back({.service = service,
                                   .region = plannedDemands[i].region,
                                   .slots = plannedDemands[i].slots,
                                   .busyNow = demands[i].busy,
                                   .busyPlanned = plannedDemands[i].busy});
            }
        }
        m_out.plan(planned);
        return exit_code::ok;
    }

    exit_code changeDrain(bool add)
    {
        const auto target = m_command.words.size() == 3 ? parseDrainTarget(m_command.words[1]) : std::nullopt;
        if (!target || (add && m_command.reason.empty())) {
            return usage("expected region, failure-domain, host or upstream and its name; drain also requires --reason");
        }
        // If another operator submits a version in between, the change is applied again on top of it.
        for (int attempt = 0; attempt < maxConflictAttempts; ++attempt) {
            const auto state = m_client->rules(false);
            if (!state) {
                return failed(state.error());
            }
            const auto &current = state.value();
            const std::uint64_t version = current.version + 1;
            const std::string base = current.version == 0 ? "version 1\n" : withVersion(current.text.text(), version);
            const std::string text = add ? withRule(base, drainLine(*target)) : withoutDrain(base, *target, m_command.words[2]);
            if (!parse("drain", text)) {
                return exit_code::refused;
            }
            const rule_document changed(text);
            const auto answer = current.version == 0 ? submit(version, changed) : submit(version, makePatch(current.text, changed));
            if (!answer) {
                return failed(answer.error());
            }
            if (answer.value().error != errc::versionConflict) {
                return report(answer.value());
            }
        }
        m_err.failure(errc::versionConflict, "gave up after repeated conflicts with changes of other operators");
        return exit_code::refused;
    }

    [[nodiscard]] std::string drainLine(drain_target target) const
    {
        std::string line = "drain " + std::string(keywordOf(target)) + " " + m_command.words[2];
        if (!m_command.from.empty()) {
            line += " from " + m_command.from;
        }
        if (!m_command.until.empty()) {
            line += " until " + m_command.until;
        }
        return line + "  # " + m_command.reason;
    }

    const tool_command &m_command;
    output m_out;
    output m_err;
    system_clock_source m_clock;
    operator_client *m_client = nullptr;
};

} // namespace

exit_code runTool(std::span<const char *const> arguments, std::ostream &out, std::ostream &err)
{
    exit_code exit = exit_code::usage;
    const auto command = readCommandLine(arguments, out, err, exit);
    if (!command) {
        return exit;
    }
    return tool(*command, out, err).run();
}

} // namespace hornbeampick
