#pragma once

#include "core/clock.h"
#include "rpc/peer_client.h"

#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Exit codes of the operators' tool.
enum class exit_code {
    ok = 0,
    // The command was carried out and the answer is no: bad rules, a conflict, a difference.
    refused = 1,
    usage = 2,
    // No host answered, or not in time; a submit may be sent again unchanged.
    unreachable = 3,
    // Accepted, but not in force on every reachable host within the deadline.
    pending = 4,
};

/// What the command line asked for.
struct tool_command {
    // Words of the command, such as "rules", "submit".
    std::vector<std::string> words;
    std::vector<std::string> hosts;
    milliseconds timeout {5000};
    bool json = false;
    tls_files tls;
    std::string operatorName;
    std::string settingsFile;
    std::string service;
    std::string client;
    std::string from;
    std::string until;
    std::string reason;
    bool wait = false;
};

/// Runs the tool as `main` does.
exit_code runTool(std::span<const char *const> arguments, std::ostream &out, std::ostream &err);

} // namespace hornbeampick
