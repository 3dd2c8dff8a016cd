#include "rules/rule_parser.h"

#include "line_reader.h"

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace hornbeampick
{

namespace
{

constexpr std::uint64_t rateMaximum = 10'000'000;
constexpr std::uint64_t shareMaximum = 1'000'000;
constexpr std::uint64_t linkMaximum = 1'000'000;
constexpr std::string_view rateText = "a rate such as 60/s";
constexpr std::string_view linkText = "a link rate such as 800Mbit/s, 4Gbit/s or 64kbit/s";
constexpr std::string_view shareText = "a share such as 1/3 or 25%, above none and at most all";
constexpr std::string_view timeText = "a time such as 2026-12-06T20:00+01:00";

struct link_unit {
    std::string_view suffix;
    std::uint64_t bitsPerSecond;
};

constexpr std::array linkUnits {
    link_unit {"kbit/s", 1'000},
    link_unit {"Mbit/s", 1'000'000},
    link_unit {"Gbit/s", 1'000'000'000},
};

std::optional<std::uint32_t> wholeNumber(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Reads one file; one method a kind of rule.
class rule_file
{
public:
    rule_file(std::string_view text, std::string_view file)
        : m_text(text)
        , m_file(file)
    {
    }

    rule_parse parse()
    {
        std::uint32_t number = 0;
        std::string_view rest = m_text;
        while (!rest.empty()) {
            const auto end = std::min(rest.find('\n'), rest.size());
            readLine(rest.substr(0, end), ++number);
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
        if (!m_versionSeen && m_errors.empty()) {
            report(1, 1, "'version' and a number as the first rule", "none");
        }
        checkShares();
        if (!m_errors.empty()) {
            return {.rules = nullptr, .errors = std::move(m_errors)};
        }
        makeHomes();
        return {.rules = std::make_shared<const rule_set>(std::move(m_rules)), .errors = {}};
    }

private:
    void readLine(std::string_view text, std::uint32_t number)
    {
        line_reader line(text, m_file, number);
        if (line.blank()) {
            return;
        }
        readRule(line);
        line.expectEnd();
        if (line.error()) {
            m_errors.push_back(*line.error());
        }
    }

    void readRule(line_reader &line)
    {
        if (!m_versionSeen) {
            readVersion(line);
            return;
        }
        if (line.accept("region")) {
            readCapacity(line);
        } else if (line.accept("link")) {
            readLink(line);
        } else if (line.accept("shift")) {
            readShift(line);
        } else if (line.accept("drain")) {
            readDrain(line);
        } else if (line.accept("rest")) {
            readRest(line);
        } else if (line.accept("clients")) {
            readClients(line);
        } else {
            line.failAtNext("'region', 'link', 'shift', 'drain', 'rest' or 'clients'");
            return;
        }
        if (line.atEnd() && line.comment().empty()) {
            line.failAtNext("a comment naming who asked for the rule");
        }
    }

    void readVersion(line_reader &line)
    {
        line.expect("version");
        m_rules.version = line.takeNumber("a version of at least 1", "", 1, std::numeric_limits<std::int64_t>::max());
        m_versionSeen = !line.error();
    }

    void readCapacity(line_reader &line)
    {
        capacity_rule rule;
        rule.region = region_name(line.take("a region"));
        line.expect("capacity");
        rule.service = service_name(line.take("a service"));
        unique(line, {"capacity", rule.region.view(), rule.service.view()});
        rule.perSecond = rate(line);
        rule.origin = originOf(line);
        m_rules.capacities.push_back(std::move(rule));
    }

    void readLink(line_reader &line)
    {
        link_rule rule;
        rule.first = region_name(line.take("a region"));
        rule.second = region_name(line.take("a region"));
        if (rule.first == rule.second) {
            line.failAtTaken("another region");
        }
        unique(line, {"link", std::min(rule.first, rule.second).view(), std::max(rule.first, rule.second).view()});
        line.expect("cap");
        rule.bitsPerSecond = linkRate(line);
        rule.origin = originOf(line);
        m_rules.links.push_back(std::move(rule));
    }

    void readShift(line_reader &line)
    {
        shift_rule rule;
        rule.service = service_name(line.take("a service"));
        line.expect("from");
        rule.from = region_name(line.take("a region"));
        line.expect("to");
        rule.to = region_name(line.take("a region"));
        if (rule.from == rule.to) {
            line.failAtTaken("another region");
        }
        line.expect("share");
        readShare(line, rule);
        if (line.accept("cap")) {
            rule.perSecond = rate(line);
        }
        rule.window = window(line);
        if (!line.error() && !rule.window.from) {
            line.failAtNext("'from' and a time: a shift is ramped from its start");
        }
        rule.origin = originOf(line);
        m_rules.shifts.push_back(std::move(rule));
    }

    void readDrain(line_reader &line)
    {
        drain_rule rule;
        bool known = false;
        for (const auto target : {drain_target::region, drain_target::failureDomain, drain_target::host, drain_target::upstream}) {
            if (!known && line.accept(keywordOf(target))) {
                rule.target = target;
                known = true;
            }
        }
        if (!known) {
            line.failAtNext("'region', 'failure-domain', 'host' or 'upstream'");
        }
        rule.name = std::string(line.take("a name"));
        rule.window = window(line);
        rule.origin = originOf(line);
        m_rules.drains.push_back(std::move(rule));
    }

    void readRest(line_reader &line)
    {
        rest_rule rule;
        line.expect("service");
        rule.service = service_name(line.take("a service"));
        line.expect("in");
        rule.region = region_name(line.take("a region"));
        rule.window = window(line);
        rule.origin = originOf(line);
        m_rules.rests.push_back(std::move(rule));
    }

    void readClients(line_reader &line)
    {
        clients_rule rule;
        const auto block = parseClientBlock(line.take("a client block"));
        if (!block) {
            line.failAtTaken("a client block such as 10.20.0.0/16, with no bits beyond its prefix");
        }
        rule.block = block.value_or(client_block {});
        line.expect("home");
        rule.home = region_name(line.take("a region"));
        rule.origin = originOf(line);
        if (!line.error() && !m_blocks.insert(rule.block).second) {
            line.failAtTaken("each client block once");
        }
        m_rules.clients.push_back(std::move(rule));
    }

    static std::uint32_t rate(line_reader &line)
    {
        return static_cast<std::uint32_t>(line.takeNumber(rateText, "/s", 1, rateMaximum));
    }

    static std::uint64_t linkRate(line_reader &line)
    {
        std::string_view text = line.take(linkText);
        for (const auto &unit : linkUnits) {
            if (!text.ends_with(unit.suffix)) {
                continue;
            }
            const auto number = wholeNumber(text.substr(0, text.size() - unit.suffix.size()));
            if (number && *number > 0 && *number <= linkMaximum) {
                return *number * unit.bitsPerSecond;
            }
        }
        line.failAtTaken(linkText);
        return 0;
    }

    static void readShare(line_reader &line, shift_rule &rule)
    {
        constexpr std::uint32_t percent = 100;
        const std::string_view text = line.take(shareText);
        const auto slash = text.find('/');
        std::optional<std::uint32_t> numerator;
        std::optional<std::uint32_t> denominator;
        if (text.ends_with('%')) {
            numerator = wholeNumber(text.substr(0, text.size() - 1));
            denominator = percent;
        } else if (slash != std::string_view::npos) {
            numerator = wholeNumber(text.substr(0, slash));
            denominator = wholeNumber(text.substr(slash + 1));
        }
        const bool valid = numerator && denominator && *numerator > 0 && *numerator <= *denominator && *denominator <= shareMaximum;
        if (!valid) {
            line.failAtTaken(shareText);
            return;
        }
        rule.numerator = *numerator;
        rule.denominator = *denominator;
    }

    static std::optional<wall_ms> time(line_reader &line)
    {
        const auto value = parseTime(line.take(timeText));
        if (!value) {
            line.failAtTaken(timeText);
        }
        return value;
    }

    static time_window window(line_reader &line)
    {
        time_window window;
        if (line.accept("from")) {
            window.from = time(line);
        }
        if (line.accept("until")) {
            window.until = time(line);
            if (!line.error() && window.from && *window.until <= *window.from) {
                line.failAtTaken("an end after the start");
            }
        }
        return window;
    }

    static rule_origin originOf(const line_reader &line)
    {
        return {.line = line.number(), .requester = std::string(line.comment())};
    }

    void unique(line_reader &line, const std::vector<std::string_view> &subject)
    {
        if (!line.error() && !m_subjects.emplace(subject.begin(), subject.end()).second) {
            line.failAtTaken("one such rule only");
        }
    }

    // Shares of one service that leave one region at the same time must not exceed the whole.
    void checkShares()
    {
        for (const auto &shift : m_rules.shifts) {
            std::uint64_t parts = 0;
            constexpr std::uint64_t whole = 1'000'000'000;
            for (const auto &other : m_rules.shifts) {
                if (other.service == shift.service && other.from == shift.from && other.window.overlaps(shift.window)) {
                    parts += whole * other.numerator / other.denominator;
                }
            }
            if (parts > whole) {
                report(shift.origin.line, 1, "shares that together move at most all of the service out of the region", "more");
            }
        }
    }

    void makeHomes()
    {
        std::map<region_name, region_index> positions;
        std::vector<block_home> blocks;
        blocks.reserve(m_rules.clients.size());
        for (const auto &rule : m_rules.clients) {
            const auto [position, isNew] = positions.try_emplace(rule.home, static_cast<region_index>(m_rules.homeRegions.size()));
            if (isNew) {
                m_rules.homeRegions.push_back(rule.home);
            }
            blocks.push_back({.block = rule.block, .home = position->second});
        }
        m_rules.homes = block_table::make(blocks);
    }

    void report(std::uint32_t line, std::uint32_t column, std::string_view expected, std::string_view found)
    {
        m_errors.push_back({.file = std::string(m_file), .line = line, .column = column, .expected = std::string(expected), .found = std::string(found)});
    }

    std::string_view m_text;
    std::string_view m_file;
    rule_set m_rules;
    bool m_versionSeen = false;
    std::vector<rule_error> m_errors;
    std::set<std::vector<std::string>> m_subjects;
    std::set<client_block> m_blocks;
};

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

std::string rule_error::text() const
{
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": expected " + expected + ", found " + found;
}

rule_parse parseRules(std::string_view text, std::string_view file)
{
    return rule_file(text, file).parse();
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

std::vector<rule_error> checkNames(const rule_set &rules, const topology &fleet, std::span<const service_name> services, std::string_view file)
{
    std::vector<rule_error> errors;
    const auto report = [&](const rule_origin &origin, std::string_view expected, std::string_view found) {
        errors.push_back({.file = std::string(file), .line = origin.line, .column = 1, .expected = std::string(expected), .found = std::string(found)});
    };
    const auto region = [&](const rule_origin &origin, const region_name &name) {
        if (fleet.find(name) == nullptr) {
            report(origin, "a region of the settings", name.view());
        }
    };
    const auto service = [&](const rule_origin &origin, const service_name &name) {
        if (std::ranges::find(services, name) == services.end()) {
            report(origin, "a service of the settings", name.view());
        }
    };
    for (const auto &rule : rules.capacities) {
        region(rule.origin, rule.region);
        service(rule.origin, rule.service);
    }
    for (const auto &rule : rules.links) {
        region(rule.origin, rule.first);
        region(rule.origin, rule.second);
    }
    for (const auto &rule : rules.shifts) {
        service(rule.origin, rule.service);
        region(rule.origin, rule.from);
        region(rule.origin, rule.to);
    }
    for (const auto &rule : rules.rests) {
        service(rule.origin, rule.service);
        region(rule.origin, rule.region);
    }
    for (const auto &rule : rules.clients) {
        region(rule.origin, rule.home);
    }
    for (const auto &rule : rules.drains) {
        if (rule.target == drain_target::region) {
            region(rule.origin, region_name(rule.name));
        } else if (rule.target == drain_target::failureDomain && !fleet.regionOf(domain_name(rule.name))) {
            report(rule.origin, "a failure domain of the settings", rule.name);
        }
    }
    return errors;
}

} // namespace hornbeampick
