#pragma once

#include "tool/command.h"

#include <optional>
#include <ostream>
#include <span>

namespace hornbeampick
{

/// Reads the command line. Empty when help was printed or the line is wrong; `exit` then says which.
std::optional<tool_command> readCommandLine(std::span<const char *const> arguments, std::ostream &out, std::ostream &err, exit_code &exit);

} // namespace hornbeampick
