#include "rules/rule_time.h"

#include <algorithm>
#include <charconv>

namespace hornbeampick
{

namespace
{

// Reads fixed-width digits and marks of a time.
class time_reader
{
public:
    explicit time_reader(std::string_view text)
        : m_rest(text)
    {
    }

    int digits(std::size_t count)
    {
        const auto value = wholeNumber(m_rest.substr(0, count));
        const bool signless = value && m_rest.size() >= count;
        m_good = m_good && signless;
        m_rest.remove_prefix(std::min(count, m_rest.size()));
        return static_cast<int>(value.value_or(0));
    }

    bool accept(char mark)
    {
        if (m_rest.empty() || m_rest.front() != mark) {
            return false;
        }
        m_rest.remove_prefix(1);
        return true;
    }

    void expect(char mark)
    {
        m_good = accept(mark) && m_good;
    }

    [[nodiscard]] bool good() const
    {
        return m_good && m_rest.empty();
    }

    void fail()
    {
        m_good = false;
    }

private:
    std::string_view m_rest;
    bool m_good = true;
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
    constexpr int hoursMaximum = 14;
    constexpr int minutesMaximum = 59;
    if (hours > hoursMaximum || minutes > minutesMaximum) {
        reader.fail();
    }
    const auto offset = std::chrono::hours(hours) + std::chrono::minutes(minutes);
    return west ? -offset : offset;
}

} // namespace

std::optional<std::uint32_t> wholeNumber(std::string_view text)
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
    constexpr int hoursADay = 24;
    constexpr int sixty = 60;
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
    const bool valid = reader.good() && date.ok() && hour < hoursADay && minute < sixty && second < sixty;
    if (!valid) {
        return std::nullopt;
    }
    const auto time = std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) + seconds(second) - offset;
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace hornbeampick
