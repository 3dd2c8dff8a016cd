#pragma once

#include "rules/rule_parser.h"

#include <charconv>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// A word of a rule line and its column, counted from 1.
struct word {
    std::string_view text;
    std::uint32_t column = 0;
};

/// Reads the words of a rule line from left to right, and its comment. Refers to the line, which must outlive the reader.
///
/// The first failed expectation is kept as the error of the line; later reads return empty values or the minimum.
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

    /// Consumes the next word if it is `keyword`; returns whether it was.
    bool accept(std::string_view keyword);
    /// Consumes the next word, which must be `keyword`; records an error otherwise.
    void expect(std::string_view keyword);
    /// Consumes and returns the next word. `expected` describes it in the error when there is none.
    std::string_view take(std::string_view expected);
    /// Consumes an integer from `minimum` to `maximum` followed by `suffix`; returns `minimum` on error.
    std::uint64_t takeNumber(std::string_view expected, std::string_view suffix, std::uint64_t minimum, std::uint64_t maximum);
    /// Records an error when another word follows.
    void expectEnd();
    /// Records an error at the word consumed last.
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
