#include "rules/rule_parser.h"

#include "chunk_reader.h"
#include "line_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace hornbeampick
{

namespace
{

using part_pointer = std::shared_ptr<const parsed_chunk>;

// Words of a rule up to the one that must not stand twice.
constexpr int capacitySubjectWords = 4;
constexpr int linkSubjectWords = 3;
constexpr int clientsWords = 4;

// A client block of the file, with its place.
struct placed_client {
    block_home entry;
    std::uint32_t line = 0;
};

// Puts the rules of a file together from its chunks, and takes over those that an earlier file had.
class rule_assembler
{
public:
    rule_assembler(const rule_document &document, std::string_view file, const rule_set *before)
        : m_document(document)
        , m_file(file)
        , m_before(before)
    {
        if (m_before != nullptr) {
            m_rules.homeRegions = m_before->homeRegions;
            m_rules.homes = m_before->homes;
            for (const auto &part : m_before->parts) {
                m_known.emplace(part->source->content(), part);
            }
        }
        for (std::size_t i = 0; i < m_rules.homeRegions.size(); ++i) {
            m_positions.emplace(m_rules.homeRegions[i], static_cast<region_index>(i));
        }
    }

    rule_parse run()
    {
        for (const auto &chunk : m_document.chunks()) {
            add(partFor(chunk));
            m_line += chunk->lines();
        }
        if (!m_versionSeen && m_errors.empty()) {
            m_errors.push_back({.file = m_file, .line = 1, .column = 1, .expected = "'version' and a number as the first rule", .found = "none"});
        }
        if (m_errors.empty()) {
            checkSubjects();
            checkShares();
            placeClients();
        }
        if (!m_errors.empty()) {
            std::ranges::stable_sort(m_errors, {}, &rule_error::line);
            return {.rules = nullptr, .errors = std::move(m_errors)};
        }
        return {.rules = std::make_shared<const rule_set>(std::move(m_rules)), .errors = {}};
    }

private:
    // The chunk as the earlier file had it, or read anew.
    part_pointer partFor(const std::shared_ptr<const text_chunk> &chunk)
    {
        const auto [first, last] = m_known.equal_range(chunk->content());
        const auto known = std::find_if(first, last, [this](const auto &each) { return each.second->versionBefore == m_versionSeen; });
        if (known != last) {
            part_pointer part = known->second;
            // Each counts once: a chunk that stands twice has its blocks twice.
            m_known.erase(known);
            return part;
        }
        chunk_reading reading = readChunk(chunk, m_file, m_versionSeen);
        for (auto &error : reading.errors) {
            error.line += m_line;
            m_errors.push_back(std::move(error));
        }
        for (const auto &client : reading.clients) {
            const auto home = positionOf(reading.chunk.homes[client.home].home);
            m_arrivals.push_back({.entry = {.block = client.block, .home = home}, .line = client.line + m_line});
        }
        return std::make_shared<const parsed_chunk>(std::move(reading.chunk));
    }

    void add(const part_pointer &part)
    {
        m_versionSeen = part->versionAfter;
        m_rules.version = part->version != 0 ? part->version : m_rules.version;
        addAll(part->capacities, m_rules.capacities);
        addAll(part->links, m_rules.links);
        addAll(part->shifts, m_rules.shifts);
        addAll(part->drains, m_rules.drains);
        addAll(part->rests, m_rules.rests);
        noteHomes(*part);
        m_rules.parts.push_back(part);
    }

    void noteHomes(const parsed_chunk &part)
    {
        // Once every known home was seen, a part has no other.
        if (m_used.size() == m_rules.homeRegions.size()) {
            return;
        }
        for (const auto &use : part.homes) {
            if (m_used.insert(use.home).second) {
                m_rules.homeUses.push_back(use);
                m_rules.homeUses.back().origin.line += m_line;
            }
        }
    }

    template <typename Rule> void addAll(const std::vector<Rule> &from, std::vector<Rule> &to)
    {
        for (const auto &rule : from) {
            to.push_back(rule);
            to.back().origin.line += m_line;
        }
    }

    region_index positionOf(const region_name &home)
    {
        const auto [position, isNew] = m_positions.try_emplace(home, static_cast<region_index>(m_rules.homeRegions.size()));
        if (isNew) {
            m_rules.homeRegions.push_back(home);
        }
        return position->second;
    }

    void checkSubjects()
    {
        std::set<std::pair<region_name, service_name>> capacities;
        for (const auto &rule : m_rules.capacities) {
            if (!capacities.emplace(rule.region, rule.service).second) {
                failAt(rule.origin.line, capacitySubjectWords, "one such rule only");
            }
        }
        std::set<std::pair<region_name, region_name>> links;
        for (const auto &rule : m_rules.links) {
            if (!links.insert(std::minmax(rule.first, rule.second)).second) {
                failAt(rule.origin.line, linkSubjectWords, "one such rule only");
            }
        }
    }

    // Shares of one service that leave one region at the same time must not exceed the whole.
    void checkShares()
    {
        std::map<std::pair<service_name, region_name>, std::vector<const shift_rule *>> leaving;
        for (const auto &shift : m_rules.shifts) {
            leaving[{shift.service, shift.from}].push_back(&shift);
        }
        for (const auto &[from, shifts] : leaving) {
            checkSharesOf(shifts);
        }
    }

    void checkSharesOf(std::span<const shift_rule *const> shifts)
    {
        constexpr std::uint64_t whole = 1'000'000'000;
        for (const auto *shift : shifts) {
            std::uint64_t parts = 0;
            for (const auto *other : shifts) {
                if (other->window.overlaps(shift->window)) {
                    parts += whole * other->numerator / other->denominator;
                }
            }
            if (parts > whole) {
                m_errors.push_back({.file = m_file,
                                    .line = shift->origin.line,
                                    .column = 1,
                                    .expected = "shares that together move at most all of the service out of the region",
                                    .found = "more"});
            }
        }
    }

    void placeClients()
    {
        std::vector<client_block> departures;
        for (const auto &[content, part] : m_known) {
            for (const auto &client : readChunk(part->source, m_file, part->versionBefore).clients) {
                departures.push_back(client.block);
            }
        }
        std::ranges::sort(departures);
        std::ranges::stable_sort(m_arrivals, {}, [](const placed_client &each) { return each.entry.block; });
        std::vector<block_home> entries;
        entries.reserve(m_arrivals.size());
        for (const auto &[entry, line] : m_arrivals) {
            const bool repeated = !entries.empty() && entries.back().block == entry.block;
            if (repeated || (m_rules.homes.contains(entry.block) && !std::ranges::binary_search(departures, entry.block))) {
                failAt(line, clientsWords, "each client block once");
            }
            entries.push_back(entry);
        }
        if (m_errors.empty() && (!departures.empty() || !entries.empty())) {
            m_rules.homes = m_rules.homes.changed(departures, entries);
        }
    }

    // Reports the last of the first `words` words of a line.
    void failAt(std::uint32_t number, int words, std::string_view expected)
    {
        const std::string text = m_document.line(number);
        line_reader line(text, m_file, number);
        for (int i = 0; i < words; ++i) {
            line.take("a word");
        }
        line.failAtTaken(expected);
        m_errors.push_back(*line.error());
    }

    const rule_document &m_document;
    std::string m_file;
    const rule_set *m_before;
    rule_set m_rules;
    // Chunks of the earlier file that this one has not taken over.
    std::multimap<digest, part_pointer> m_known;
    std::map<region_name, region_index> m_positions;
    std::set<region_name> m_used;
    std::vector<placed_client> m_arrivals;
    std::vector<rule_error> m_errors;
    std::uint32_t m_line = 0;
    bool m_versionSeen = false;
};

} // namespace

std::string rule_error::text() const
{
    return file + ":" + std::to_string(line) + ":" + std::to_string(column) + ": expected " + expected + ", found " + found;
}

rule_parse parseRules(std::string_view text, std::string_view file)
{
    return parseRules(rule_document(text), file, nullptr);
}

rule_parse parseRules(const rule_document &document, std::string_view file, const rule_set *before)
{
    return rule_assembler(document, file, before).run();
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
    for (const auto &use : rules.homeUses) {
        region(use.origin, use.home);
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
