#include "rules/block_table.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace hornbeampick
{

namespace
{

constexpr unsigned addressBits = 32;
constexpr unsigned octetBits = 8;
constexpr unsigned octetMaximum = 255;
constexpr unsigned indexBits = 16;
constexpr std::size_t indexSize = std::size_t {1} << indexBits;
constexpr unsigned sharingPrefixBits = 24;

ipv4 maskOf(unsigned prefixBits)
{
    return prefixBits == 0 ? 0 : ~ipv4 {0} << (addressBits - prefixBits);
}

std::optional<unsigned> parseNumber(std::string_view text, unsigned maximum)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = error == std::errc {} && end == text.data() + text.size();
    const bool padded = text.size() > 1 && text.front() == '0';
    if (!whole || padded || value > maximum) {
        return std::nullopt;
    }
    return value;
}

// First address behind the block.
std::uint64_t endOfBlock(const client_block &block)
{
    return block.address + (std::uint64_t {1} << (addressBits - block.prefixBits));
}

// A range that ends before `end`, on the stack of nested blocks.
struct open_range {
    std::uint64_t end;
    region_index home;
};

struct range_start {
    ipv4 start;
    region_index home;
};

// Turns nested blocks, sorted outer first, into disjoint ranges from `first` on.
class range_flattener
{
public:
    explicit range_flattener(ipv4 first)
        : m_first(first)
    {
        mark(first, block_table::noHome);
    }

    void add(const client_block &block, region_index home)
    {
        closeUntil(block.address);
        m_open.push_back({.end = endOfBlock(block), .home = home});
        mark(std::max(block.address, m_first), home);
    }

    // Ranges that begin before `end`.
    std::vector<range_start> finish(std::uint64_t end)
    {
        closeUntil(end - 1);
        return std::move(m_marks);
    }

private:
    void closeUntil(std::uint64_t address)
    {
        while (!m_open.empty() && m_open.back().end <= address) {
            const auto end = m_open.back().end;
            m_open.pop_back();
            mark(static_cast<ipv4>(end), m_open.empty() ? block_table::noHome : m_open.back().home);
        }
    }

    void mark(ipv4 start, region_index home)
    {
        if (!m_marks.empty() && m_marks.back().start == start) {
            m_marks.pop_back();
        }
        if (m_marks.empty() || m_marks.back().home != home) {
            m_marks.push_back({.start = start, .home = home});
        }
    }

    ipv4 m_first;
    std::vector<open_range> m_open;
    std::vector<range_start> m_marks;
};

} // namespace

std::string textOf(const client_block &block)
{
    std::string text;
    for (unsigned shift = addressBits; shift > 0; shift -= octetBits) {
        text += std::to_string((block.address >> (shift - octetBits)) & octetMaximum);
        text += shift > octetBits ? "." : "/";
    }
    return text + std::to_string(block.prefixBits);
}

std::optional<ipv4> parseIpv4(std::string_view text)
{
    constexpr int octets = 4;
    ipv4 address = 0;
    for (int i = 0; i < octets; ++i) {
        const auto dot = i + 1 < octets ? text.find('.') : text.size();
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const auto octet = parseNumber(text.substr(0, dot), octetMaximum);
        if (!octet) {
            return std::nullopt;
        }
        address = (address << octetBits) | *octet;
        text.remove_prefix(std::min(dot + 1, text.size()));
    }
    return address;
}

std::optional<client_block> parseClientBlock(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos) {
        return std::nullopt;
    }
    const auto address = parseIpv4(text.substr(0, slash));
    const auto prefix = parseNumber(text.substr(slash + 1), addressBits);
    if (!address || !prefix || (*address & ~maskOf(*prefix)) != 0) {
        return std::nullopt;
    }
    return client_block {.address = *address, .prefixBits = *prefix};
}

ipv4 sharingBlock(ipv4 client)
{
    return client & maskOf(sharingPrefixBits);
}

block_table::block_table()
{
    append(0, {});
    flattenStale();
}

block_table block_table::make(std::span<const block_home> blocks)
{
    return block_table().changed({}, blocks);
}

block_table block_table::changed(std::span<const client_block> removed, std::span<const block_home> added) const
{
    // Blocks of the pages that lose or gain some.
    std::map<std::size_t, block_list> edited;
    const auto editedPage = [&](ipv4 address) -> block_list & {
        const std::size_t position = pageOf(address);
        return edited.try_emplace(position, m_pages[position]->blocks).first->second;
    };
    for (const auto &block : removed) {
        std::erase_if(editedPage(block.address), [&](const stored_block &each) { return each.block() == block; });
    }
    for (const auto &[block, home] : added) {
        editedPage(block.address).push_back({.address = block.address, .home = home, .prefixBits = static_cast<std::uint8_t>(block.prefixBits)});
    }

    block_table table(*this);
    table.m_firsts.clear();
    table.m_pages.clear();
    for (std::size_t position = 0; position < m_pages.size(); ++position) {
        const auto own = edited.find(position);
        if (own == edited.end()) {
            table.m_firsts.push_back(m_firsts[position]);
            table.m_pages.push_back(m_pages[position]);
        } else {
            table.append(m_firsts[position], std::move(own->second));
        }
    }
    for (const auto &block : removed) {
        table.markStale(block);
    }
    for (const auto &each : added) {
        table.markStale(each.block);
    }
    table.flattenStale();
    return table;
}

region_index block_table::homeOf(ipv4 client) const
{
    const std::size_t slot = client >> indexBits;
    const auto first = m_firsts.begin() + m_firstPage[slot];
    const auto last = m_firsts.begin() + m_firstPage[slot + 1] + 1;
    const auto position = static_cast<std::size_t>(std::upper_bound(first, last, client) - m_firsts.begin()) - 1;
    const page &found = *m_pages[position];
    const auto after = std::ranges::upper_bound(found.starts, client);
    return found.homes[static_cast<std::size_t>(after - found.starts.begin()) - 1];
}

bool block_table::contains(const client_block &block) const
{
    return find(block) != nullptr;
}

std::vector<client_block> block_table::blocksAround(ipv4 client) const
{
    std::vector<client_block> around;
    for (unsigned prefix = 0; prefix <= addressBits; ++prefix) {
        const client_block block {.address = client & maskOf(prefix), .prefixBits = prefix};
        if (contains(block)) {
            around.push_back(block);
        }
    }
    return around;
}

std::size_t block_table::blockCount() const
{
    std::size_t count = 0;
    for (const auto &each : m_pages) {
        count += each->blocks.size();
    }
    return count;
}

std::size_t block_table::rangeCount() const
{
    std::size_t count = 0;
    for (const auto &each : m_pages) {
        count += each->starts.size();
    }
    return count;
}

std::size_t block_table::memoryBytes() const
{
    std::size_t total = m_firsts.capacity() * sizeof(ipv4) + m_pages.capacity() * sizeof(page_pointer) + m_firstPage.capacity() * sizeof(std::uint32_t);
    for (const auto &each : m_pages) {
        total += sizeof(page) + each->blocks.capacity() * sizeof(stored_block);
        total += each->starts.capacity() * sizeof(ipv4) + each->homes.capacity() * sizeof(region_index);
    }
    return total;
}

std::size_t block_table::ownPages(const block_table &other) const
{
    const std::set<page_pointer> theirs(other.m_pages.begin(), other.m_pages.end());
    return static_cast<std::size_t>(std::ranges::count_if(m_pages, [&](const page_pointer &each) { return !theirs.contains(each); }));
}

std::size_t block_table::pageOf(ipv4 address) const
{
    return static_cast<std::size_t>(std::ranges::upper_bound(m_firsts, address) - m_firsts.begin()) - 1;
}

std::uint64_t block_table::endOf(std::size_t position) const
{
    return position + 1 < m_firsts.size() ? m_firsts[position + 1] : std::uint64_t {1} << addressBits;
}

const block_table::stored_block *block_table::find(const client_block &block) const
{
    const auto &blocks = m_pages[pageOf(block.address)]->blocks;
    const auto found = std::ranges::lower_bound(blocks, block, {}, &stored_block::block);
    return found != blocks.end() && found->block() == block ? &*found : nullptr;
}

void block_table::append(ipv4 first, block_list blocks)
{
    std::ranges::stable_sort(blocks, {}, &stored_block::block);
    // Of the same block twice the last counts.
    const auto superseded = std::ranges::adjacent_find(blocks, {}, &stored_block::block);
    if (superseded != blocks.end()) {
        block_list kept;
        for (const auto &each : blocks) {
            if (!kept.empty() && kept.back().block() == each.block()) {
                kept.pop_back();
            }
            kept.push_back(each);
        }
        blocks = std::move(kept);
    }
    if (blocks.empty() && !m_pages.empty()) {
        // The page before now reaches further.
        m_pages.back() = unflattened(*m_pages.back());
        return;
    }
    const bool splits = blocks.size() > 2 * pageBlocks;
    std::span<const stored_block> rest = blocks;
    do {
        std::size_t count = splits ? std::min(pageBlocks, rest.size()) : rest.size();
        // Blocks that begin at one address stay together.
        while (count < rest.size() && rest[count].address == rest[count - 1].address) {
            ++count;
        }
        m_firsts.push_back(first);
        m_pages.push_back(unflattened({.blocks = block_list(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(count)), .starts = {}, .homes = {}}));
        rest = rest.subspan(count);
        first = rest.empty() ? first : rest.front().address;
    } while (!rest.empty());
}

void block_table::markStale(const client_block &block)
{
    for (std::size_t position = pageOf(block.address); position < m_pages.size() && m_firsts[position] < endOfBlock(block); ++position) {
        if (!m_pages[position]->starts.empty()) {
            m_pages[position] = unflattened(*m_pages[position]);
        }
    }
}

void block_table::flattenStale()
{
    for (std::size_t position = 0; position < m_pages.size(); ++position) {
        if (m_pages[position]->starts.empty()) {
            m_pages[position] = flattened(position);
        }
    }
    m_firsts.shrink_to_fit();
    m_pages.shrink_to_fit();
    index();
}

block_table::page_pointer block_table::unflattened(const page &from)
{
    return std::make_shared<const page>(page {.blocks = from.blocks, .starts = {}, .homes = {}});
}

block_table::page_pointer block_table::flattened(std::size_t position) const
{
    const ipv4 first = m_firsts[position];
    auto made = std::make_shared<page>();
    made->blocks = m_pages[position]->blocks;
    range_flattener flattener(first);
    for (unsigned prefix = 0; prefix < addressBits; ++prefix) {
        const client_block around {.address = first & maskOf(prefix), .prefixBits = prefix};
        const auto *outer = around.address < first ? find(around) : nullptr;
        if (outer != nullptr) {
            flattener.add(around, outer->home);
        }
    }
    for (const auto &each : made->blocks) {
        flattener.add(each.block(), each.home);
    }
    const auto ranges = flattener.finish(endOf(position));
    made->starts.reserve(ranges.size());
    made->homes.reserve(ranges.size());
    for (const auto &[start, home] : ranges) {
        made->starts.push_back(start);
        made->homes.push_back(home);
    }
    return made;
}

void block_table::index()
{
    m_firstPage.assign(indexSize + 1, 0);
    std::uint32_t position = 0;
    for (std::size_t slot = 0; slot < indexSize; ++slot) {
        const auto start = static_cast<ipv4>(slot << indexBits);
        while (position + 1 < m_firsts.size() && m_firsts[position + 1] <= start) {
            ++position;
        }
        m_firstPage[slot] = position;
    }
    m_firstPage[indexSize] = static_cast<std::uint32_t>(m_firsts.size() - 1);
}

} // namespace hornbeampick
