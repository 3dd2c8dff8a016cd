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

/// A run of whole lines of a rule file, kept compressed. Immutable; shared by all versions of the file that hold it.
class text_chunk
{
public:
    explicit text_chunk(std::string_view text);

    /// Costs an inflation.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] const digest &content() const
    {
        return m_content;
    }
    [[nodiscard]] std::uint32_t lines() const
    {
        return m_lines;
    }
    /// Length of the text.
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }
    [[nodiscard]] std::size_t memoryBytes() const
    {
        return sizeof *this + m_packed.capacity();
    }

private:
    std::string m_packed;
    digest m_content;
    std::uint32_t m_lines = 0;
    std::uint32_t m_bytes = 0;
};

/// Lines of a base text that make room for others. Positions count lines from 0.
struct line_edit {
    std::uint32_t at = 0;
    std::uint32_t removed = 0;
    // Whole lines with their ends; only the last line of a file may lack one.
    std::string added;

    bool operator==(const line_edit &) const = default;
};

/// The way from one text to another.
struct rule_patch {
    digest base;
    digest result;
    // Ascending; no two touch.
    std::vector<line_edit> edits;

    bool operator==(const rule_patch &) const = default;

    /// Bytes of the added lines and a little for each edit.
    [[nodiscard]] std::size_t bytes() const;
};

/// The text of a rule file as shared chunks: a copy and a small change cost no copy of the text.
///
/// A chunk ends where the hash of a line says so, hence equal texts have equal chunks and digests, whatever
/// changes led to them. Immutable once made.
class rule_document
{
public:
    /// Lines of a chunk on average.
    static constexpr std::size_t chunkLines = 256;
    using chunk_list = std::vector<std::shared_ptr<const text_chunk>>;

    rule_document();
    explicit rule_document(std::string_view text);

    [[nodiscard]] std::string text() const;
    /// Digest of the chunks' digests.
    [[nodiscard]] const digest &content() const
    {
        return m_content;
    }
    [[nodiscard]] std::size_t bytes() const
    {
        return m_bytes;
    }
    /// Heap bytes held, chunks that others share included.
    [[nodiscard]] std::size_t memoryBytes() const;
    [[nodiscard]] bool empty() const
    {
        return m_bytes == 0;
    }
    [[nodiscard]] std::span<const std::shared_ptr<const text_chunk>> chunks() const
    {
        return m_chunks;
    }
    /// Line `number`, counted from 1, without its end; empty when there is none.
    [[nodiscard]] std::string line(std::uint32_t number) const;

    /// Shares every chunk that no edit touches. Empty when the patch is for another text or does not give its result.
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

/// Edits that lead from one text to the other: small when the texts differ in a few places, and right for any two.
rule_patch makePatch(const rule_document &before, const rule_document &after);

/// A rule file on its way: whole, or as the way from a text that the receiver has.
using rule_body = std::variant<rule_document, rule_patch>;

/// Digest of the text that the body leads to.
const digest &contentOf(const rule_body &body);

/// Empty when a patch does not fit `base`.
std::optional<rule_document> resolve(const rule_body &body, const rule_document &base);

} // namespace hornbeampick
