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
constexpr unsigned maxOctet = 255;
constexpr unsigned indexBits = 16;
constexpr std::size_t indexSize = std::size_t {1} << indexBits;
constexpr unsigned subnetPrefixBits = 24;

ipv4 maskOf(unsigned prefixBits)
{
    return prefixBits == 0 ? 0 : ~ipv4 {0} << (addressBits - prefixBits);
}

std::optional<unsigned> parseNumber(std::string_view text, unsigned maximum)
{
    unsigned value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool complete = error == std::errc {} && end == text.data() + text.size();
    const bool leadingZero = text.size() > 1 && text.front() == '0';
    if (!complete || leadingZero || value > maximum) {
        return std::nullopt;
    }
    return value;
}

// Returns the address after the last one of the block.
std::uint64_t blockEnd(const client_block &block)
{
    return block.address + (std::uint64_t {1} << (addressBits - block.prefixBits));
}

// A block on the stack of nested blocks; its last address is before `end`.
struct open_range {
    std::uint64_t end;
    region_index home;
};

struct range_start {
    ipv4 start;
    region_index home;
};

// Flattens nested blocks, added in sorted order with outer blocks first, into disjoint ranges that start at `first`.
class range_flattener
{
public:
    explicit range_flattener(ipv4 first)
        : m_first(first)
    {
        beginRange(first, block_table::noHome);
    }

    void add(const client_block &block, region_index home)
    {
        closeUntil(block.address);
        m_open.push_back({.end = blockEnd(block), .home = home});
        beginRange(std::max(block.address, m_first), home);
    }

    // Returns the ranges that begin before `end`.
    std::vector<range_start> finish(std::uint64_t end)
    {
        closeUntil(end - 1);
        return std::move(m_ranges);
    }

private:
    void closeUntil(std::uint64_t address)
    {
        while (!m_open.empty() && m_open.back().end <= address) {
            const auto end = m_open.back().end;
            m_open.pop_back();
            beginRange(static_cast<ipv4>(end), m_open.empty() ? block_table::noHome : m_open.back().home);
        }
    }

    void beginRange(ipv4 start, region_index home)
    {
        if (!m_ranges.empty() && m_ranges.back().start == start) {
            m_ranges.pop_back();
        }
        if (m_ranges.empty() || m_ranges.back().home != home) {
            m_ranges.push_back({.start = start, .home = home});
        }
    }

    ipv4 m_first;
    std::vector<open_range> m_open;
    std::vector<range_start> m_ranges;
};

} // namespace

std::string textOf(const client_block &block)
{
    std::string text;
    for (unsigned shift = addressBits; shift > 0; shift -= octetBits) {
        text += std::to_string((block.address >> (shift - octetBits)) & maxOctet);
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
        const auto octet = parseNumber(text.substr(0, dot), maxOctet);
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

ipv4 clientSubnet(ipv4 client)
{
    return client & maskOf(subnetPrefixBits);
}

block_table::block_table()
{
    appendPages(0, {});
    flattenStale();
}

block_table block_table::make(std::span<const block_home> blocks)
{
    return block_table().withChanges({}, blocks);
}

block_table block_table::withChanges(std::span<const client_block> removed, std::span<const block_home> added) const
{
    // Blocks of the pages in which blocks are removed or added, by page position.
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
    table.m_pageStarts.clear();
    table.m_pages.clear();
    for (std::size_t position = 0; position < m_pages.size(); ++position) {
        const auto edit = edited.find(position);
        if (edit == edited.end()) {
            table.m_pageStarts.push_back(m_pageStarts[position]);
            table.m_pages.push_back(m_pages[position]);
        } else {
            table.appendPages(m_pageStarts[position], std::move(edit->second));
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
    const auto first = m_pageStarts.begin() + m_pageIndex[slot];
    const auto last = m_pageStarts.begin() + m_pageIndex[slot + 1] + 1;
    const auto position = static_cast<std::size_t>(std::upper_bound(first, last, client) - m_pageStarts.begin()) - 1;
    const page &found = *m_pages[position];
    const auto after = std::ranges::upper_bound(found.starts, client);
    return found.homes[static_cast<std::size_t>(after - found.starts.begin()) - 1];
}

bool block_table::contains(const client_block &block) const
{
    return find(block) != nullptr;
}

std::vector<client_block> block_table::blocksContaining(ipv4 client) const
{
    std::vector<client_block> enclosing;
    for (unsigned prefix = 0; prefix <= addressBits; ++prefix) {
        const client_block block {.address = client & maskOf(prefix), .prefixBits = prefix};
        if (contains(block)) {
            enclosing.push_back(block);
        }
    }
    return enclosing;
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
    std::size_t total = m_pageStarts.capacity() * sizeof(ipv4) + m_pages.capacity() * sizeof(page_pointer) + m_pageIndex.capacity() * sizeof(std::uint32_t);
    for (const auto &each : m_pages) {
        total += sizeof(page) + each->blocks.capacity() * sizeof(stored_block);
        total += each->starts.capacity() * sizeof(ipv4) + each->homes.capacity() * sizeof(region_index);
    }
    return total;
}

std::size_t block_table::unsharedPages(const block_table &other) const
{
    const std::set<page_pointer> theirs(other.m_pages.begin(), other.m_pages.end());
    return static_cast<std::size_t>(std::ranges::count_if(m_pages, [&](const page_pointer &each) { return !theirs.contains(each); }));
}

std::size_t block_table::pageOf(ipv4 address) const
{
    return static_cast<std::size_t>(std::ranges::upper_bound(m_pageStarts, address) - m_pageStarts.begin()) - 1;
}

std::uint64_t block_table::pageEnd(std::size_t position) const
{
    return position + 1 < m_pageStarts.size() ? m_pageStarts[position + 1] : std::uint64_t {1} << addressBits;
}

const block_table::stored_block *block_table::find(const client_block &block) const
{
    const auto &blocks = m_pages[pageOf(block.address)]->blocks;
    const auto found = std::ranges::lower_bound(blocks, block, {}, &stored_block::block);
    return found != blocks.end() && found->block() == block ? &*found : nullptr;
}

void block_table::appendPages(ipv4 first, block_list blocks)
{
    std::ranges::stable_sort(blocks, {}, &stored_block::block);
    // Of duplicate blocks, the last one takes effect.
    const auto duplicate = std::ranges::adjacent_find(blocks, {}, &stored_block::block);
    if (duplicate != blocks.end()) {
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
        // The previous page now extends over this address range, so its ranges are stale.
        m_pages.back() = unflattened(*m_pages.back());
        return;
    }
    const bool splits = blocks.size() > 2 * targetPageBlocks;
    std::span<const stored_block> rest = blocks;
    do {
        std::size_t count = splits ? std::min(targetPageBlocks, rest.size()) : rest.size();
        // Blocks that begin at the same address stay in one page.
        while (count < rest.size() && rest[count].address == rest[count - 1].address) {
            ++count;
        }
        m_pageStarts.push_back(first);
        m_pages.push_back(unflattened({.blocks = block_list(rest.begin(), rest.begin() + static_cast<std::ptrdiff_t>(count)), .starts = {}, .homes = {}}));
        rest = rest.subspan(count);
        first = rest.empty() ? first : rest.front().address;
    } while (!rest.empty());
}

void block_table::markStale(const client_block &block)
{
    for (std::size_t position = pageOf(block.address); position < m_pages.size() && m_pageStarts[position] < blockEnd(block); ++position) {
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
    m_pageStarts.shrink_to_fit();
    m_pages.shrink_to_fit();
    buildIndex();
}

block_table::page_pointer block_table::unflattened(const page &from)
{
    return std::make_shared<const page>(page {.blocks = from.blocks, .starts = {}, .homes = {}});
}

block_table::page_pointer block_table::flattened(std::size_t position) const
{
    const ipv4 first = m_pageStarts[position];
    auto flattenedPage = std::make_shared<page>();
    flattenedPage->blocks = m_pages[position]->blocks;
    range_flattener flattener(first);
    for (unsigned prefix = 0; prefix < addressBits; ++prefix) {
        const client_block enclosing {.address = first & maskOf(prefix), .prefixBits = prefix};
        const auto *outer = enclosing.address < first ? find(enclosing) : nullptr;
        if (outer != nullptr) {
            flattener.add(enclosing, outer->home);
        }
    }
    for (const auto &each : flattenedPage->blocks) {
        flattener.add(each.block(), each.home);
    }
    const auto ranges = flattener.finish(pageEnd(position));
    flattenedPage->starts.reserve(ranges.size());
    flattenedPage->homes.reserve(ranges.size());
    for (const auto &[start, home] : ranges) {
        flattenedPage->starts.push_back(start);
        flattenedPage->homes.push_back(home);
    }
    return flattenedPage;
}

void block_table::buildIndex()
{
    m_pageIndex.assign(indexSize + 1, 0);
    std::uint32_t position = 0;
    for (std::size_t slot = 0; slot < indexSize; ++slot) {
        const auto start = static_cast<ipv4>(slot << indexBits);
        while (position + 1 < m_pageStarts.size() && m_pageStarts[position + 1] <= start) {
            ++position;
        }
        m_pageIndex[slot] = position;
    }
    m_pageIndex[indexSize] = static_cast<std::uint32_t>(m_pageStarts.size() - 1);
}

} // namespace hornbeampick
