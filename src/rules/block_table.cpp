#include "rules/block_table.h"

#include <algorithm>
#include <charconv>
#include <map>

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

// A range that ends before `end`, on the stack of nested blocks.
struct open_range {
    std::uint64_t end;
    region_index home;
};

// Turns nested blocks, sorted outer first, into disjoint ranges.
class range_flattener
{
public:
    void add(const block_home &next)
    {
        closeUntil(next.block.address);
        const std::uint64_t size = std::uint64_t {1} << (addressBits - next.block.prefixBits);
        m_open.push_back({.end = next.block.address + size, .home = next.home});
        mark(next.block.address, next.home);
    }

    std::map<ipv4, region_index> finish()
    {
        closeUntil(std::uint64_t {1} << addressBits);
        return std::move(m_marks);
    }

private:
    void closeUntil(std::uint64_t start)
    {
        while (!m_open.empty() && m_open.back().end <= start) {
            const std::uint64_t end = m_open.back().end;
            m_open.pop_back();
            if (end < (std::uint64_t {1} << addressBits)) {
                mark(static_cast<ipv4>(end), m_open.empty() ? block_table::noHome : m_open.back().home);
            }
        }
    }

    void mark(ipv4 start, region_index home)
    {
        m_marks.insert_or_assign(m_marks.end(), start, home);
    }

    std::vector<open_range> m_open;
    std::map<ipv4, region_index> m_marks;
};

} // namespace

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
    : m_starts {0}
    , m_homes {noHome}
{
    index();
}

block_table block_table::make(std::span<const block_home> blocks)
{
    std::vector<block_home> sorted(blocks.begin(), blocks.end());
    std::ranges::stable_sort(sorted, {}, &block_home::block);

    range_flattener flattener;
    for (const auto &block : sorted) {
        flattener.add(block);
    }
    const auto marks = flattener.finish();

    block_table table;
    for (const auto &[start, home] : marks) {
        if (start == 0) {
            table.m_homes.front() = home;
        } else if (table.m_homes.back() != home) {
            table.m_starts.push_back(start);
            table.m_homes.push_back(home);
        }
    }
    table.m_starts.shrink_to_fit();
    table.m_homes.shrink_to_fit();
    table.index();
    return table;
}

region_index block_table::homeOf(ipv4 client) const
{
    const std::size_t slot = client >> indexBits;
    const auto first = m_starts.begin() + m_firstRange[slot];
    const auto last = m_starts.begin() + m_firstRange[slot + 1] + 1;
    const auto after = std::upper_bound(first, last, client);
    return m_homes[static_cast<std::size_t>(after - m_starts.begin()) - 1];
}

std::size_t block_table::memoryBytes() const
{
    return m_starts.capacity() * sizeof(ipv4) + m_homes.capacity() * sizeof(region_index) + m_firstRange.capacity() * sizeof(std::uint32_t);
}

void block_table::index()
{
    m_firstRange.assign(indexSize + 1, 0);
    std::uint32_t range = 0;
    for (std::size_t slot = 0; slot < indexSize; ++slot) {
        const auto start = static_cast<ipv4>(slot << indexBits);
        while (range + 1 < m_starts.size() && m_starts[range + 1] <= start) {
            ++range;
        }
        m_firstRange[slot] = range;
    }
    m_firstRange[indexSize] = static_cast<std::uint32_t>(m_starts.size() - 1);
}

} // namespace hornbeampick
