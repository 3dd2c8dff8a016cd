#pragma once

#include "tool/command.h"

#include <optional>
#include <ostream>
#include <span>

namespace hornbeampick
{

/// Parses the command line. Returns empty when help was printed or the command line is invalid; `exit` then holds the exit code.
std::optional<tool_command> readCommandLine(std::span<const char *const> arguments, std::ostream &out, std::ostream &err, exit_code &exit);

} // namespace hornbeampick
