#include "chunk_parser.h"

#include "line_reader.h"
#include "rules/rule_time.h"

#include <algorithm>
#include <array>
#include <map>

namespace hornbeampick
{

namespace
{

constexpr std::uint64_t maxRate = 10'000'000;
constexpr std::uint64_t maxDenominator = 1'000'000;
constexpr std::uint64_t maxLinkValue = 1'000'000;
constexpr std::string_view rateText = "a rate such as 60/s";
constexpr std::string_view linkText = "a link rate such as 800Mbit/s, 4Gbit/s or 64kbit/s";
constexpr std::string_view shareText = "a share such as 1/3 or 25%, greater than 0 and at most 1";
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

// Parses one chunk; each kind of rule has its own method.
class chunk_parser
{
public:
    chunk_parser(std::shared_ptr<const text_chunk> source, std::string_view file, bool versionKnownBefore)
        : m_file(file)
    {
        m_chunk.source = std::move(source);
        m_chunk.versionKnownBefore = versionKnownBefore;
        m_chunk.versionKnownAfter = versionKnownBefore;
    }

    chunk_parse read()
    {
        const std::string text = m_chunk.source->text();
        std::uint32_t number = 0;
        std::string_view rest = text;
        while (!rest.empty()) {
            const auto end = std::min(rest.find('\n'), rest.size());
            readLine(rest.substr(0, end), ++number);
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
        return {.chunk = std::move(m_chunk), .clients = std::move(m_clients), .errors = std::move(m_errors)};
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
        if (!m_chunk.versionKnownAfter) {
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
            line.failAtNext("a comment naming who requested the rule");
        }
    }

    void readVersion(line_reader &line)
    {
        line.expect("version");
        m_chunk.version = line.takeNumber("a version of at least 1", "", 1, std::numeric_limits<std::int64_t>::max());
        m_chunk.versionKnownAfter = !line.error();
    }

    void readCapacity(line_reader &line)
    {
        capacity_rule rule;
        rule.region = region_name(line.take("a region"));
        line.expect("capacity");
        rule.service = service_name(line.take("a service"));
        rule.perSecond = rate(line);
        rule.origin = originOf(line);
        m_chunk.capacities.push_back(std::move(rule));
    }

    void readLink(line_reader &line)
    {
        link_rule rule;
        rule.first = region_name(line.take("a region"));
        rule.second = region_name(line.take("a region"));
        if (rule.first == rule.second) {
            line.failAtTaken("another region");
        }
        line.expect("cap");
        rule.bitsPerSecond = linkRate(line);
        rule.origin = originOf(line);
        m_chunk.links.push_back(std::move(rule));
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
            line.failAtNext("'from' and a time: a shift ramps up from its start time");
        }
        rule.origin = originOf(line);
        m_chunk.shifts.push_back(std::move(rule));
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
        m_chunk.drains.push_back(std::move(rule));
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
        m_chunk.rests.push_back(std::move(rule));
    }

    void readClients(line_reader &line)
    {
        const auto block = parseClientBlock(line.take("a client block"));
        if (!block) {
            line.failAtTaken("a client block such as 10.20.0.0/16, with no bits set beyond its prefix");
        }
        line.expect("home");
        const region_name home(line.take("a region"));
        if (line.error()) {
            return;
        }
        const auto [position, isNew] = m_homeIndexes.try_emplace(home, m_chunk.homes.size());
        if (isNew) {
            m_chunk.homes.push_back({.home = home, .origin = originOf(line)});
        }
        m_clients.push_back({.block = *block, .home = position->second, .line = line.number()});
    }

    static std::uint32_t rate(line_reader &line)
    {
        return static_cast<std::uint32_t>(line.takeNumber(rateText, "/s", 1, maxRate));
    }

    static std::uint64_t linkRate(line_reader &line)
    {
        std::string_view text = line.take(linkText);
        for (const auto &unit : linkUnits) {
            if (!text.ends_with(unit.suffix)) {
                continue;
            }
            const auto number = parseDecimal(text.substr(0, text.size() - unit.suffix.size()));
            if (number && *number > 0 && *number <= maxLinkValue) {
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
            numerator = parseDecimal(text.substr(0, text.size() - 1));
            denominator = percent;
        } else if (slash != std::string_view::npos) {
            numerator = parseDecimal(text.substr(0, slash));
            denominator = parseDecimal(text.substr(slash + 1));
        }
        const bool valid = numerator && denominator && *numerator > 0 && *numerator <= *denominator && *denominator <= maxDenominator;
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

    std::string_view m_file;
    parsed_chunk m_chunk;
    std::vector<parsed_client> m_clients;
    std::map<region_name, std::size_t> m_homeIndexes;
    std::vector<rule_error> m_errors;
};

} // namespace

chunk_parse parseChunk(std::shared_ptr<const text_chunk> source, std::string_view file, bool versionKnownBefore)
{
    return chunk_parser(std::move(source), file, versionKnownBefore).read();
}

} // namespace hornbeampick
