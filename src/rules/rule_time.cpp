#include "rules/rule_time.h"

#include <algorithm>
#include <charconv>

namespace hornbeampick
{

namespace
{

// Reads the fixed-width numbers and the separators of a time.
class time_reader
{
public:
    explicit time_reader(std::string_view text)
        : m_rest(text)
    {
    }

    int digits(std::size_t count)
    {
        const auto value = parseDecimal(m_rest.substr(0, count));
        const bool complete = value && m_rest.size() >= count;
        m_wellFormed = m_wellFormed && complete;
        m_rest.remove_prefix(std::min(count, m_rest.size()));
        return static_cast<int>(value.value_or(0));
    }

    bool accept(char separator)
    {
        if (m_rest.empty() || m_rest.front() != separator) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    void expect(char separator)
    {
        m_wellFormed = accept(separator) && m_wellFormed;
    }

    [[nodiscard]] bool wellFormed() const
    {
        return m_wellFormed && m_rest.empty();
    }

    void fail()
    {
        m_wellFormed = false;
    }

private:
    std::string_view m_rest;
    bool m_wellFormed = true;
};

std::chrono::minutes readOffset(time_reader &reader)
{
    if (reader.accept('Z')) {
        return {};
    }
    const bool west = reader.accept('-');
    if (!west) {
        reader.expect('+');
    }
    const int hours = reader.digits(2);
    reader.expect(':');
    const int minutes = reader.digits(2);
    constexpr int maxOffsetHours = 14;
    constexpr int maxOffsetMinutes = 59;
    if (hours > maxOffsetHours || minutes > maxOffsetMinutes) {
        reader.fail();
    }
    const auto offset = std::chrono::hours(hours) + std::chrono::minutes(minutes);
    return west ? -offset : offset;
}

} // namespace

std::optional<std::uint32_t> parseDecimal(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<wall_ms> parseTime(std::string_view text)
{
    constexpr std::size_t yearDigits = 4;
    constexpr int hoursPerDay = 24;
    constexpr int sexagesimalBase = 60;
    time_reader reader(text);
    const int year = reader.digits(yearDigits);
    reader.expect('-');
    const int month = reader.digits(2);
    reader.expect('-');
    const int day = reader.digits(2);
    reader.expect('T');
    const int hour = reader.digits(2);
    reader.expect(':');
    const int minute = reader.digits(2);
    const int second = reader.accept(':') ? reader.digits(2) : 0;
    const auto offset = readOffset(reader);

    const std::chrono::year_month_day date(std::chrono::year(year), std::chrono::month(static_cast<unsigned>(month)),
                                           std::chrono::day(static_cast<unsigned>(day)));
    const bool valid = reader.wellFormed() && date.ok() && hour < hoursPerDay && minute < sexagesimalBase && second < sexagesimalBase;
    if (!valid) {
        return std::nullopt;
    }
    const auto time = std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) + seconds(second) - offset;
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace hornbeampick
