#pragma once

#include "rules/rule_parser.h"

#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// One word of a rule line.
struct word {
    std::string_view text;
    std::uint32_t column = 0;
};

/// The words of one rule line and its comment, read from left to right.
///
/// The first failed expectation is kept as the line's error; later reads then return empty values.
class line_reader
{
public:
    line_reader(std::string_view line, std::string_view file, std::uint32_t number);

    [[nodiscard]] bool blank() const
    {
        return m_words.empty();
    }
    [[nodiscard]] bool atEnd() const
    {
        return m_next >= m_words.size();
    }
    [[nodiscard]] std::uint32_t number() const
    {
        return m_number;
    }
    [[nodiscard]] std::string_view comment() const
    {
        return m_comment;
    }
    [[nodiscard]] const std::optional<rule_error> &error() const
    {
        return m_error;
    }

    /// Takes the next word when it is `keyword`.
    bool accept(std::string_view keyword);
    /// Takes the next word, which must be `keyword`.
    void expect(std::string_view keyword);
    /// Takes the next word, whatever it is; `expected` describes it.
    std::string_view take(std::string_view expected);
    /// Takes a whole number of at least `minimum`, with `suffix` behind it.
    std::uint64_t takeNumber(std::string_view expected, std::string_view suffix, std::uint64_t minimum, std::uint64_t maximum);
    /// Nothing may follow.
    void expectEnd();
    /// Records an error at the word taken last.
    void failAtTaken(std::string_view expected);
    /// Records an error at the next word.
    void failAtNext(std::string_view expected);

private:
    void fail(std::size_t index, std::string_view expected);

    std::string_view m_line;
    std::string_view m_file;
    std::string_view m_comment;
    std::uint32_t m_number;
    std::vector<word> m_words;
    std::size_t m_next = 0;
    std::optional<rule_error> m_error;
};

} // namespace hornbeampick
