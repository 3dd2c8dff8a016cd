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

/// An IPv4 address, host byte order.
using ipv4 = std::uint32_t;

/// A block of client addresses: the `prefixBits` leading bits of `address`.
struct client_block {
    ipv4 address = 0;
    unsigned prefixBits = 0;

    auto operator<=>(const client_block &) const = default;
};

/// "a.b.c.d/n".
std::string textOf(const client_block &block);

/// Dotted quad; empty when malformed.
std::optional<ipv4> parseIpv4(std::string_view text);

/// "a.b.c.d/n" without bits set beyond the prefix; empty when malformed.
std::optional<client_block> parseClientBlock(std::string_view text);

/// The /24 that stands for a client in every share decision.
ipv4 sharingBlock(ipv4 client);

/// Position of a region in the list that a block table was made with.
using region_index = std::uint16_t;

struct block_home {
    client_block block;
    region_index home = 0;
};

/// Maps a client address to its home by the longest matching block.
///
/// Immutable; kept in pages that a changed table shares with the one it came from, so that a change costs
/// its own pages only. About 8 bytes a block and 6 a range, plus a fixed index of 256 KiB.
/// A look-up allocates nothing.
class block_table
{
public:
    static constexpr region_index noHome = 0xffff;
    /// Blocks of a page when it is made; at twice as many it is split.
    static constexpr std::size_t pageBlocks = 512;

    block_table();

    /// Blocks may nest; the same block twice keeps the last.
    static block_table make(std::span<const block_home> blocks);

    /// Without `removed`, then with `added`. Removing a block that is not there is no error;
    /// adding one that is there replaces its home.
    [[nodiscard]] block_table changed(std::span<const client_block> removed, std::span<const block_home> added) const;

    /// `noHome` when no block holds `client`.
    [[nodiscard]] region_index homeOf(ipv4 client) const;
    [[nodiscard]] bool contains(const client_block &block) const;
    /// The blocks that hold `client`, the widest first.
    [[nodiscard]] std::vector<client_block> blocksAround(ipv4 client) const;

    [[nodiscard]] std::size_t blockCount() const;
    [[nodiscard]] std::size_t rangeCount() const;
    /// Heap bytes held, shared pages included.
    [[nodiscard]] std::size_t memoryBytes() const;
    /// Pages that `other` does not share.
    [[nodiscard]] std::size_t ownPages(const block_table &other) const;

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

    // The blocks that begin in a span of addresses, and what they and those around them make of it.
    struct page {
        // Outer blocks before those they hold.
        block_list blocks;
        // Range i covers starts[i] up to the next start, or the next page.
        std::vector<ipv4> starts;
        std::vector<region_index> homes;
    };
    using page_pointer = std::shared_ptr<const page>;

    [[nodiscard]] std::size_t pageOf(ipv4 address) const;
    [[nodiscard]] const stored_block *find(const client_block &block) const;
    [[nodiscard]] std::uint64_t endOf(std::size_t position) const;
    // Pages of `blocks` at the end, without their ranges.
    void append(ipv4 first, block_list blocks);
    void markStale(const client_block &block);
    void flattenStale();
    // A page without ranges is stale.
    static page_pointer unflattened(const page &from);
    [[nodiscard]] page_pointer flattened(std::size_t position) const;
    void index();

    // By first address; the first page begins at 0.
    std::vector<ipv4> m_firsts;
    std::vector<page_pointer> m_pages;
    // For each leading 16 bits, the last page that begins at or before them.
    std::vector<std::uint32_t> m_firstPage;
};

} // namespace hornbeampick
