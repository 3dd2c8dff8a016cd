#pragma once

#include <string>
#include <vector>

namespace hornbeampick::testing
{

/// Returns header lines, without their CRLF, whose field name holds a blank or a control byte, within or around fields that every reader knows.
std::vector<std::string> invalidFieldLines();

/// Returns unusual header lines, without their CRLF, whose field name is valid.
std::vector<std::string> validFieldLines();

} // namespace hornbeampick::testing
