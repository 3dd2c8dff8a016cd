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
    // The command ran with a negative result: invalid rules, a version conflict or a difference.
    refused = 1,
    usage = 2,
    // No host answered in time; a submit may be repeated unchanged.
    unreachable = 3,
    // Accepted, but not in force on every reachable host within the deadline.
    pending = 4,
};

/// The parsed command line.
struct tool_command {
    // Words of the command and its arguments, such as "rules", "submit" and the file.
    std::vector<std::string> words;
    // Peer endpoints, "ip:port", tried in turn.
    std::vector<std::string> hosts;
    // Deadline of the whole command.
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

/// Runs the tool with the arguments of `main`, the program name included. Writes results to `out` and errors to `err`.
exit_code runTool(std::span<const char *const> arguments, std::ostream &out, std::ostream &err);

} // namespace hornbeampick
