#pragma once

#include "core/names.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// An IPv4 address in host byte order.
using ipv4 = std::uint32_t;

/// A CIDR block of client addresses: the `prefixBits` leading bits of `address`.
struct client_block {
    ipv4 address = 0;
    unsigned prefixBits = 0;

    auto operator<=>(const client_block &) const = default;
};

/// Formats a block as "a.b.c.d/n".
std::string textOf(const client_block &block);

/// Parses a dotted quad; returns an empty optional when it is malformed.
std::optional<ipv4> parseIpv4(std::string_view text);

/// Parses "a.b.c.d/n"; returns an empty optional when it is malformed or has bits set beyond the prefix.
std::optional<client_block> parseClientBlock(std::string_view text);

/// Returns the /24 network of a client: the unit in which clients are assigned to the shares of a service.
ipv4 clientSubnet(ipv4 client);

/// Index of a region in the region list that belongs to a block table.
using region_index = std::uint16_t;

/// A client block and its home region.
struct block_home {
    client_block block;
    region_index home = 0;
};

/// Maps a client address to its home region by longest-prefix match.
///
/// Immutable. The blocks are stored in copy-on-write pages: a changed table shares the unaffected pages with its
/// predecessor, so a change costs only the pages that it affects. Memory use is about 8 bytes per block and 6 bytes per
/// range, plus a fixed index of 256 KiB. A look-up does not allocate.
class block_table
{
public:
    /// Home of addresses that no block contains.
    static constexpr region_index noHome = 0xffff;
    /// Number of blocks of a new page. A page with more than twice as many is split.
    static constexpr std::size_t targetPageBlocks = 512;

    block_table();

    /// Builds a table. Blocks may nest; of duplicate blocks the last one takes effect.
    static block_table make(std::span<const block_home> blocks);

    /// Returns a copy from which `removed` is deleted first and to which `added` is added then. Removing an absent block has
    /// no effect; adding a present block replaces its home.
    [[nodiscard]] block_table withChanges(std::span<const client_block> removed, std::span<const block_home> added) const;

    /// Returns the home of the longest block that contains `client`, or `noHome` when there is none.
    [[nodiscard]] region_index homeOf(ipv4 client) const;
    [[nodiscard]] bool contains(const client_block &block) const;
    /// Returns the blocks that contain `client`, shortest prefix first.
    [[nodiscard]] std::vector<client_block> blocksContaining(ipv4 client) const;

    [[nodiscard]] std::size_t blockCount() const;
    [[nodiscard]] std::size_t rangeCount() const;
    /// Returns the heap memory in bytes, including the pages shared with other tables.
    [[nodiscard]] std::size_t memoryBytes() const;
    /// Returns the number of pages that are not shared with `other`.
    [[nodiscard]] std::size_t unsharedPages(const block_table &other) const;

private:
    struct stored_block {
        ipv4 address = 0;
        region_index home = 0;
        std::uint8_t prefixBits = 0;

        [[nodiscard]] client_block block() const
        {
            return {.address = address, .prefixBits = prefixBits};
        }
    };
    using block_list = std::vector<stored_block>;

    // The blocks that begin within a range of addresses, and the disjoint ranges that they and their enclosing blocks form there.
    struct page {
        // Sorted; a block precedes the blocks nested in it.
        block_list blocks;
        // Range i covers starts[i] up to the next start, or to the end of the page. Empty while the page is stale.
        std::vector<ipv4> starts;
        std::vector<region_index> homes;
    };
    using page_pointer = std::shared_ptr<const page>;

    [[nodiscard]] std::size_t pageOf(ipv4 address) const;
    [[nodiscard]] const stored_block *find(const client_block &block) const;
    [[nodiscard]] std::uint64_t pageEnd(std::size_t position) const;
    // Appends pages for `blocks` that begin at `first`; the ranges of the pages are not computed yet.
    void appendPages(ipv4 first, block_list blocks);
    void markStale(const client_block &block);
    void flattenStale();
    // Returns a copy without ranges, which marks the page as stale.
    static page_pointer unflattened(const page &from);
    [[nodiscard]] page_pointer flattened(std::size_t position) const;
    void buildIndex();

    // First address of each page, ascending; the first page begins at 0.
    std::vector<ipv4> m_pageStarts;
    std::vector<page_pointer> m_pages;
    // For each value of the leading 16 bits, the last page that begins at or before its first address.
    std::vector<std::uint32_t> m_pageIndex;
};

} // namespace hornbeampick
