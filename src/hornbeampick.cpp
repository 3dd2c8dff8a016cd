// Entry point of the operators' tool.

#include "tool/command.h"

#include <iostream>
#include <span>

int main(int argc, char **argv)
{
    const std::span<const char *const> arguments(argv, static_cast<std::size_t>(argc));
    return static_cast<int>(hornbeampick::runTool(arguments, std::cout, std::cerr));
}
