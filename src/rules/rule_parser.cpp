#include "rules/rule_parser.h"

#include "chunk_parser.h"
#include "line_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace hornbeampick
{

namespace
{

using chunk_pointer = std::shared_ptr<const parsed_chunk>;

// Number of words of a rule up to and including the last word of its key, which must be unique in the file.
constexpr int capacityKeyWords = 4;
constexpr int linkKeyWords = 3;
constexpr int clientsRuleWords = 4;

// A client block with its home and its line in the file.
struct client_line {
    block_home added;
    std::uint32_t line = 0;
};

// Assembles the rules of a file from its chunks and reuses the parsed chunks of an earlier version of the file.
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
            for (const auto &parsedChunk : m_before->parsedChunks) {
                m_reusable.emplace(parsedChunk->source->content(), parsedChunk);
            }
        }
        for (std::size_t i = 0; i < m_rules.homeRegions.size(); ++i) {
            m_homeIndexes.emplace(m_rules.homeRegions[i], static_cast<region_index>(i));
        }
    }

    rule_parse run()
    {
        for (const auto &chunk : m_document.chunks()) {
            add(parsedChunkFor(chunk));
            m_chunkStartLine += chunk->lines();
        }
        if (!m_versionSeen && m_errors.empty()) {
            m_errors.push_back({.file = m_file, .line = 1, .column = 1, .expected = "'version' and a number as the first rule", .found = "none"});
        }
        if (m_errors.empty()) {
            checkDuplicates();
            checkShares();
            updateHomes();
        }
        if (!m_errors.empty()) {
            std::ranges::stable_sort(m_errors, {}, &rule_error::line);
            return {.rules = nullptr, .errors = std::move(m_errors)};
        }
        return {.rules = std::make_shared<const rule_set>(std::move(m_rules)), .errors = {}};
    }

private:
    // Returns the parsed chunk of the earlier file when there is one, else parses the chunk.
    chunk_pointer parsedChunkFor(const std::shared_ptr<const text_chunk> &chunk)
    {
        const auto [first, last] = m_reusable.equal_range(chunk->content());
        const auto reusable = std::find_if(first, last, [this](const auto &each) { return each.second->versionKnownBefore == m_versionSeen; });
        if (reusable != last) {
            chunk_pointer parsedChunk = reusable->second;
            // Each parsed chunk is reused once only: a chunk that occurs twice repeats its client blocks, which is an error that
            // parsing the second occurrence detects.
            m_reusable.erase(reusable);
            return parsedChunk;
        }
        chunk_parse parsed = parseChunk(chunk, m_file, m_versionSeen);
        for (auto &error : parsed.errors) {
            error.line += m_chunkStartLine;
            m_errors.push_back(std::move(error));
        }
        for (const auto &client : parsed.clients) {
            const auto home = homeIndexOf(parsed.chunk.homes[client.home].home);
            m_addedClients.push_back({.added = {.block = client.block, .home = home}, .line = client.line + m_chunkStartLine});
        }
        return std::make_shared<const parsed_chunk>(std::move(parsed.chunk));
    }

    void add(const chunk_pointer &parsedChunk)
    {
        m_versionSeen = parsedChunk->versionKnownAfter;
        m_rules.version = parsedChunk->version != 0 ? parsedChunk->version : m_rules.version;
        addAll(parsedChunk->capacities, m_rules.capacities);
        addAll(parsedChunk->links, m_rules.links);
        addAll(parsedChunk->shifts, m_rules.shifts);
        addAll(parsedChunk->drains, m_rules.drains);
        addAll(parsedChunk->rests, m_rules.rests);
        collectHomes(*parsedChunk);
        m_rules.parsedChunks.push_back(parsedChunk);
    }

    void collectHomes(const parsed_chunk &parsedChunk)
    {
        // Once every known home was seen, the chunk cannot add another.
        if (m_referencedHomes.size() == m_rules.homeRegions.size()) {
            return;
        }
        for (const auto &reference : parsedChunk.homes) {
            if (m_referencedHomes.insert(reference.home).second) {
                m_rules.homeReferences.push_back(reference);
                m_rules.homeReferences.back().origin.line += m_chunkStartLine;
            }
        }
    }

    template <typename Rule> void addAll(const std::vector<Rule> &from, std::vector<Rule> &to)
    {
        for (const auto &rule : from) {
            to.push_back(rule);
            to.back().origin.line += m_chunkStartLine;
        }
    }

    region_index homeIndexOf(const region_name &home)
    {
        const auto [position, isNew] = m_homeIndexes.try_emplace(home, static_cast<region_index>(m_rules.homeRegions.size()));
        if (isNew) {
            m_rules.homeRegions.push_back(home);
        }
        return position->second;
    }

    void checkDuplicates()
    {
        std::set<std::pair<region_name, service_name>> capacities;
        for (const auto &rule : m_rules.capacities) {
            if (!capacities.emplace(rule.region, rule.service).second) {
                failAt(rule.origin.line, capacityKeyWords, "only one such rule");
            }
        }
        std::set<std::pair<region_name, region_name>> links;
        for (const auto &rule : m_rules.links) {
            if (!links.insert(std::minmax(rule.first, rule.second)).second) {
                failAt(rule.origin.line, linkKeyWords, "only one such rule");
            }
        }
    }

    // Checks that shares of one service shifted out of one region at the same time do not sum to more than 1.
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
            std::uint64_t movedShare = 0;
            for (const auto *other : shifts) {
                if (other->window.overlaps(shift->window)) {
                    movedShare += whole * other->numerator / other->denominator;
                }
            }
            if (movedShare > whole) {
                m_errors.push_back({.file = m_file,
                                    .line = shift->origin.line,
                                    .column = 1,
                                    .expected = "overlapping shifts of the service out of the region whose shares sum to at most 1",
                                    .found = "more"});
            }
        }
    }

    void updateHomes()
    {
        std::vector<client_block> removedBlocks;
        for (const auto &[content, parsedChunk] : m_reusable) {
            for (const auto &client : parseChunk(parsedChunk->source, m_file, parsedChunk->versionKnownBefore).clients) {
                removedBlocks.push_back(client.block);
            }
        }
        std::ranges::sort(removedBlocks);
        std::ranges::stable_sort(m_addedClients, {}, [](const client_line &each) { return each.added.block; });
        std::vector<block_home> addedHomes;
        addedHomes.reserve(m_addedClients.size());
        for (const auto &[added, line] : m_addedClients) {
            const bool repeated = !addedHomes.empty() && addedHomes.back().block == added.block;
            if (repeated || (m_rules.homes.contains(added.block) && !std::ranges::binary_search(removedBlocks, added.block))) {
                failAt(line, clientsRuleWords, "each client block at most once");
            }
            addedHomes.push_back(added);
        }
        if (m_errors.empty() && (!removedBlocks.empty() || !addedHomes.empty())) {
            m_rules.homes = m_rules.homes.withChanges(removedBlocks, addedHomes);
        }
    }

    // Reports an error at word number `words` of line `number`.
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
    // Parsed chunks of the earlier file that are not reused yet; at the end, those whose client blocks were removed.
    std::multimap<digest, chunk_pointer> m_reusable;
    std::map<region_name, region_index> m_homeIndexes;
    std::set<region_name> m_referencedHomes;
    std::vector<client_line> m_addedClients;
    std::vector<rule_error> m_errors;
    std::uint32_t m_chunkStartLine = 0;
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
    for (const auto &reference : rules.homeReferences) {
        region(reference.origin, reference.home);
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
