#include "command_line.h"

#include <array>
#include <cstdlib>
#include <cxxopts.hpp>
#include <sstream>

namespace hornbeampick
{

namespace
{

struct command_help {
    std::string_view command;
    std::string_view positional;
    std::string_view text;
};

constexpr std::array commands {
    command_help {"rules check", "FILE", "validates a rule file and reports every error by line and column"},
    command_help {"rules plan", "FILE", "predicts the headroom of each region under a rule file; needs a host"},
    command_help {"rules submit", "FILE", "submits a rule file; submitting an accepted file again succeeds"},
    command_help {"rules show", "", "prints the rules in force"},
    command_help {"rules diff", "FILE", "compares the rules in force with a file; exit code 1 when they differ"},
    command_help {"rules history", "", "lists the accepted versions with operator and time"},
    command_help {"status", "", "shows the version in force on each host, and since when"},
    command_help {"explain", "", "explains where a client is steered and why (--service, --client)"},
    command_help {"drain", "region|failure-domain|host|upstream NAME", "adds a drain rule (--reason, --from, --until)"},
    command_help {"undrain", "region|failure-domain|host|upstream NAME", "removes the drain rules of a target"},
    command_help {"settings check", "FILE", "validates a daemon's settings file and reports every error"},
};

const command_help *findCommand(const std::vector<std::string> &words)
{
    for (const auto &each : commands) {
        const std::string command(each.command);
        const bool twoWords = command.find(' ') != std::string::npos;
        const std::string given = twoWords && words.size() > 1 ? words[0] + " " + words[1] : words.empty() ? "" : words[0];
        if (given == command) {
            return &each;
        }
    }
    return nullptr;
}

std::vector<std::string> splitHosts(const std::string &text)
{
    std::vector<std::string> hosts;
    std::istringstream stream(text);
    std::string host;
    while (std::getline(stream, host, ',')) {
        if (!host.empty()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

std::string environment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("hornbeampick", "Operators' tool for a hornbeampick fleet.");
    auto add = options.add_options();
    add("hosts", "peer endpoints, comma-separated ip:port, tried in turn (or HORNBEAMPICK_HOSTS)",
        cxxopts::value<std::string>()->default_value(environment("HORNBEAMPICK_HOSTS")));
    add("timeout-ms", "deadline of the whole command", cxxopts::value<int>()->default_value("5000"));
    add("output", "text or json", cxxopts::value<std::string>()->default_value("text"));
    add("plain-text", "no TLS; must match the daemons' settings", cxxopts::value<bool>()->default_value("false"));
    add("certificate", "operator's certificate (PEM)", cxxopts::value<std::string>()->default_value(""));
    add("key", "operator's key (PEM)", cxxopts::value<std::string>()->default_value(""));
    add("authority", "certificate of the certificate authority (PEM)", cxxopts::value<std::string>()->default_value(""));
    add("operator", "operator name in the history, used when no certificate provides one", cxxopts::value<std::string>()->default_value(environment("USER")));
    add("settings", "settings file against whose regions and services the names in the rules are checked", cxxopts::value<std::string>()->default_value(""));
    add("service", "service to explain", cxxopts::value<std::string>()->default_value(""));
    add("client", "client address to explain", cxxopts::value<std::string>()->default_value(""));
    add("from", "start of a drain, such as 2026-12-06T08:00+11:00", cxxopts::value<std::string>()->default_value(""));
    add("until", "end of a drain", cxxopts::value<std::string>()->default_value(""));
    add("reason", "comment of the drain rule, such as who requested it", cxxopts::value<std::string>()->default_value(""));
    add("wait", "after a submit, wait until all reachable hosts have the rules in force", cxxopts::value<bool>()->default_value("false"));
    add("help", "show this help");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    return options;
}

void printHelp(const cxxopts::Options &options, const command_help *command, std::ostream &out)
{
    if (command != nullptr) {
        out << "hornbeampick " << command->command << (command->positional.empty() ? "" : " ") << command->positional << "\n  " << command->text << "\n\n";
    } else {
        out << "Commands:\n";
        for (const auto &each : commands) {
            out << "  " << each.command << " " << each.positional << "\n      " << each.text << "\n";
        }
        out << "\n";
    }
    out << options.help() << "\nExit codes: 0 success, 1 negative result (invalid rules, conflict, difference), 2 usage error,\n"
        << "3 no host answered in time (a submit may be repeated unchanged), 4 accepted but not yet in force everywhere.\n";
}

tool_command commandOf(const cxxopts::ParseResult &parsed, std::vector<std::string> words)
{
    return {
        .words = std::move(words),
        .hosts = splitHosts(parsed["hosts"].as<std::string>()),
        .timeout = milliseconds(parsed["timeout-ms"].as<int>()),
        .json = parsed["output"].as<std::string>() == "json",
        .tls = {.certificate = parsed["certificate"].as<std::string>(),
                .key = parsed["key"].as<std::string>(),
                .authority = parsed["authority"].as<std::string>(),
                .plainText = parsed["plain-text"].as<bool>()},
        .operatorName = parsed["operator"].as<std::string>(),
        .settingsFile = parsed["settings"].as<std::string>(),
        .service = parsed["service"].as<std::string>(),
        .client = parsed["client"].as<std::string>(),
        .from = parsed["from"].as<std::string>(),
        .until = parsed["until"].as<std::string>(),
        .reason = parsed["reason"].as<std::string>(),
        .wait = parsed["wait"].as<bool>(),
    };
}

} // namespace

std::optional<tool_command> readCommandLine(std::span<const char *const> arguments, std::ostream &out, std::ostream &err, exit_code &exit)
{
    auto options = makeOptions();
    exit = exit_code::usage;
    try {
        const auto parsed = options.parse(static_cast<int>(arguments.size()), arguments.data());
        const auto words = parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>() : std::vector<std::string>();
        const auto *command = findCommand(words);
        if (parsed.count("help") > 0) {
            printHelp(options, command, out);
            exit = exit_code::ok;
            return std::nullopt;
        }
        const auto format = parsed["output"].as<std::string>();
        if (command == nullptr || (format != "text" && format != "json")) {
            printHelp(options, nullptr, err);
            return std::nullopt;
        }
        return commandOf(parsed, words);
    } catch (const cxxopts::exceptions::exception &error) {
        err << "hornbeampick: " << error.what() << "\n";
        return std::nullopt;
    }
}

} // namespace hornbeampick
