#pragma once

#include "core/digest.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeampick
{

/// Consecutive complete lines of a rule file, stored compressed. Immutable; shared by all versions of the file that contain it.
class text_chunk
{
public:
    explicit text_chunk(std::string_view text);

    /// Decompresses and returns the text.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] const digest &content() const
    {
        return m_content;
    }
    [[nodiscard]] std::uint32_t lines() const
    {
        return m_lines;
    }
    /// Returns the length of the uncompressed text.
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }
    [[nodiscard]] std::size_t memoryBytes() const
    {
        return sizeof *this + m_compressed.capacity();
    }

private:
    std::string m_compressed;
    digest m_content;
    std::uint32_t m_lines = 0;
    std::uint32_t m_bytes = 0;
};

/// Replaces lines of a base text by others. Positions count the lines of the base text from 0.
struct line_edit {
    std::uint32_t at = 0;
    std::uint32_t removed = 0;
    // Complete lines with their line ends; only the last line of a file may lack one.
    std::string added;

    bool operator==(const line_edit &) const = default;
};

/// The edits that turn one text into another, with the digests of both.
struct rule_patch {
    digest base;
    digest result;
    // In ascending order of position; no two edits are adjacent or overlap.
    std::vector<line_edit> edits;

    bool operator==(const rule_patch &) const = default;

    /// Returns the approximate encoded size: the added lines plus a fixed overhead per edit.
    [[nodiscard]] std::size_t bytes() const;
};

/// The text of a rule file as shared chunks: neither a copy of the document nor a small change copies the whole text.
///
/// Chunk boundaries are content-defined: a chunk ends at a line whose hash meets a condition. Equal texts therefore have equal
/// chunks and digests, whatever sequence of changes led to them. Immutable.
class rule_document
{
public:
    /// Expected number of lines per chunk.
    static constexpr std::size_t averageChunkLines = 256;
    using chunk_list = std::vector<std::shared_ptr<const text_chunk>>;

    rule_document();
    explicit rule_document(std::string_view text);

    [[nodiscard]] std::string text() const;
    /// Returns the digest over the digests of the chunks.
    [[nodiscard]] const digest &content() const
    {
        return m_content;
    }
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }
    /// Returns the heap memory in bytes, including the chunks shared with other documents.
    [[nodiscard]] std::size_t memoryBytes() const;
    [[nodiscard]] bool empty() const
    {
        return m_bytes == 0;
    }
    [[nodiscard]] std::span<const std::shared_ptr<const text_chunk>> chunks() const
    {
        return m_chunks;
    }
    /// Returns line `number`, counted from 1, without its line end; empty when there is no such line.
    [[nodiscard]] std::string line(std::uint32_t number) const;

    /// Applies a patch; the result shares the chunks that no edit affects. Returns an empty optional when the patch is for
    /// another base text, its edits are out of range or order, or the result does not match the patch's result digest.
    [[nodiscard]] std::optional<rule_document> patched(const rule_patch &patch) const;

    bool operator==(const rule_document &other) const
    {
        return m_content == other.m_content;
    }

private:
    explicit rule_document(chunk_list chunks);

    chunk_list m_chunks;
    std::size_t m_bytes = 0;
    digest m_content;
};

/// Computes the patch from one text to the other. It is small when the texts differ in a few places, and correct for any two
/// texts.
rule_patch makePatch(const rule_document &before, const rule_document &after);

/// A rule file in transit: complete, or as a patch to a text that the receiver has.
using rule_body = std::variant<rule_document, rule_patch>;

/// Returns the digest of the text that results from the body.
const digest &contentOf(const rule_body &body);

/// Returns the complete document; empty when the body is a patch that does not apply to `base`.
std::optional<rule_document> resolve(const rule_body &body, const rule_document &base);

} // namespace hornbeampick
