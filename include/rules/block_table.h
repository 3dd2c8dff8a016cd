#pragma once

#include "core/names.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
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
/// Immutable once made; 6 bytes a range plus a fixed index of 256 KiB. A look-up allocates nothing.
class block_table
{
public:
    static constexpr region_index noHome = 0xffff;

    block_table();

    /// Blocks may nest; the same block twice keeps the last.
    static block_table make(std::span<const block_home> blocks);

    /// `noHome` when no block holds `client`.
    [[nodiscard]] region_index homeOf(ipv4 client) const;

    [[nodiscard]] std::size_t rangeCount() const
    {
        return m_starts.size();
    }

    /// Heap bytes held.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    void index();

    // Range i covers m_starts[i] up to the next start.
    std::vector<ipv4> m_starts;
    std::vector<region_index> m_homes;
    // For each leading 16 bits, the last range that starts at or before them.
    std::vector<std::uint32_t> m_firstRange;
};

} // namespace hornbeampick
