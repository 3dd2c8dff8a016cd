#include "fakes/field_lines.h"

namespace hornbeampick::testing
{

std::vector<std::string> invalidFieldLines()
{
    using namespace std::string_literals;
    std::vector<std::string> lines {
        "X Note: a", "X-Note : a", "X-Note\t: a", "X\tNote: a",  " X-Note: a",  "\tX-Note: a", " : a",
        " ",         "X-Note",     " X-Note",     "X-\rNote: a", "\rX-Note: a", "X-\nNote: a",
    };
    // Readers that skip such a line, or join it with the one before, take the body for one with another framing.
    for (const std::string name : {"Content-Length", "Transfer-Encoding"}) {
        const std::string value = name == "Content-Length" ? "2" : "chunked";
        for (const auto &line :
             {" " + name + ": " + value, "\t" + name + ": " + value, name + " : " + value, name + "\t: " + value, "\x01" + name + ": " + value}) {
            lines.push_back(line);
        }
    }
    constexpr unsigned char firstPrintable = 0x21;
    constexpr unsigned char deleteByte = 0x7f;
    for (unsigned char byte = 0; byte < firstPrintable; ++byte) {
        if (byte != '\r' && byte != '\n') {
            lines.push_back("X-"s + static_cast<char>(byte) + "Note: a");
            lines.push_back("X-Note"s + static_cast<char>(byte) + ": a");
        }
    }
    lines.push_back("X-"s + static_cast<char>(deleteByte) + "Note: a");
    return lines;
}

std::vector<std::string> validFieldLines()
{
    return {"x!#$%&'*+-.^_`|~9: a", "X-Note:", "X-Note:a", "X-Note: \t a \t", "X-Note: a b", "X-Note: a\tb", "X-Note: a:b", "9: a"};
}

} // namespace hornbeampick::testing
