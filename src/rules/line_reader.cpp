#include "line_reader.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

constexpr std::string_view whitespace = " \t\r";

std::string_view trimmed(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::vector<word> splitWords(std::string_view text)
{
    std::vector<word> words;
    std::size_t at = text.find_first_not_of(whitespace);
    while (at != std::string_view::npos) {
        const std::size_t end = std::min(text.find_first_of(whitespace, at), text.size());
        words.push_back({.text = text.substr(at, end - at), .column = static_cast<std::uint32_t>(at + 1)});
        at = text.find_first_not_of(whitespace, end);
    }
    return words;
}

} // namespace

line_reader::line_reader(std::string_view line, std::string_view file, std::uint32_t number)
    : m_line(line)
    , m_file(file)
    , m_number(number)
{
    const auto hash = line.find('#');
    if (hash != std::string_view::npos) {
        m_comment = trimmed(line.substr(hash + 1));
        line = line.substr(0, hash);
    }
    m_words = splitWords(line);
}

bool line_reader::accept(std::string_view keyword)
{
    if (m_error || atEnd() || m_words[m_next].text != keyword) {
        return false;
    }
    ++m_next;
    return true;
}

void line_reader::expect(std::string_view keyword)
{
    if (!m_error && !accept(keyword)) {
        failAtNext(std::string("'").append(keyword).append("'"));
    }
}

std::string_view line_reader::take(std::string_view expected)
{
    if (m_error) {
        return {};
    }
    if (atEnd()) {
        failAtNext(expected);
        return {};
    }
    return m_words[m_next++].text;
}

std::uint64_t line_reader::takeNumber(std::string_view expected, std::string_view suffix, std::uint64_t minimum, std::uint64_t maximum)
{
    std::string_view text = take(expected);
    if (m_error) {
        return minimum;
    }
    std::uint64_t value = 0;
    const bool hasSuffix = text.ends_with(suffix);
    if (hasSuffix) {
        text.remove_suffix(suffix.size());
    }
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool complete = error == std::errc {} && end == text.data() + text.size();
    if (!hasSuffix || !complete || value < minimum || value > maximum) {
        failAtTaken(expected);
        return minimum;
    }
    return value;
}

void line_reader::expectEnd()
{
    if (!m_error && !atEnd()) {
        failAtNext("the end of the rule");
    }
}

void line_reader::failAtTaken(std::string_view expected)
{
    fail(m_next - 1, expected);
}

void line_reader::failAtNext(std::string_view expected)
{
    fail(m_next, expected);
}

void line_reader::fail(std::size_t index, std::string_view expected)
{
    if (m_error) {
        return;
    }
    const bool atWord = index < m_words.size();
    m_error = rule_error {
        .file = std::string(m_file),
        .line = m_number,
        .column = atWord ? m_words[index].column : static_cast<std::uint32_t>(m_line.size() + 1),
        .expected = std::string(expected),
        .found = atWord ? std::string(m_words[index].text) : "the end of the line",
    };
}

} // namespace hornbeampick
