#include "rules/rule_document.h"

#include "core/overloaded.h"

#include <algorithm>
#include <map>
#include <zlib.h>

namespace hornbeampick
{

namespace
{

using chunk_pointer = std::shared_ptr<const text_chunk>;

// Approximate encoded size of an edit without its added lines.
constexpr std::size_t editOverheadBytes = 12;
// Look-ahead per text, in lines, when searching for the next line that both texts have in common.
constexpr std::size_t resyncWindowLines = 64;

// Removes the first line from `rest` and returns it with its line end.
std::string_view takeLine(std::string_view &rest)
{
    const auto end = rest.find('\n');
    const auto line = rest.substr(0, end == std::string_view::npos ? rest.size() : end + 1);
    rest.remove_prefix(line.size());
    return line;
}

// Returns whether a chunk ends after this line; depends on the line only, not on the text before it.
bool endsChunk(std::string_view line)
{
    return line.ends_with('\n') && stableHash(line) % rule_document::averageChunkLines == 0;
}

std::string compressed(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::string bytes(size, '\0');
    compress2(reinterpret_cast<Bytef *>(bytes.data()), &size, reinterpret_cast<const Bytef *>(text.data()), text.size(), Z_BEST_SPEED);
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

// Builds the chunk list of a document from lines and chunks to share.
class chunk_builder
{
public:
    void add(std::string_view line)
    {
        m_pending.append(line);
        if (endsChunk(line)) {
            flush();
        }
    }

    void addAll(std::string_view text)
    {
        while (!text.empty()) {
            add(takeLine(text));
        }
    }

    // Shares the chunk when the position is at a chunk boundary; otherwise appends its lines to the pending chunk.
    void addChunk(const chunk_pointer &chunk)
    {
        if (m_pending.empty()) {
            m_chunks.push_back(chunk);
        } else {
            addAll(chunk->text());
        }
    }

    rule_document::chunk_list finish()
    {
        flush();
        return std::move(m_chunks);
    }

private:
    void flush()
    {
        if (!m_pending.empty()) {
            m_chunks.push_back(std::make_shared<const text_chunk>(m_pending));
            m_pending.clear();
        }
    }

    rule_document::chunk_list m_chunks;
    std::string m_pending;
};

rule_document::chunk_list chunksOf(std::string_view text)
{
    chunk_builder builder;
    builder.addAll(text);
    return builder.finish();
}

// Applies edits to a base text. `apply` returns false when an edit is beyond the end of the text, out of order or overlapping.
class patch_applier
{
public:
    patch_applier(std::span<const chunk_pointer> base, std::span<const line_edit> edits)
        : m_base(base)
        , m_edits(edits)
    {
    }

    bool apply()
    {
        for (const auto &chunk : m_base) {
            // Lines added after the last chunk may still belong to it.
            const bool last = &chunk == &m_base.back();
            if (isAffected(*chunk) || (last && !m_edits.empty())) {
                rewrite(chunk->text());
            } else {
                m_builder.addChunk(chunk);
                m_line += chunk->lines();
            }
        }
        beginEdit();
        return m_valid && m_edits.empty() && m_linesToSkip == 0;
    }

    rule_document::chunk_list finish()
    {
        return m_builder.finish();
    }

private:
    [[nodiscard]] bool isAffected(const text_chunk &chunk) const
    {
        return m_linesToSkip > 0 || (!m_edits.empty() && m_edits.front().at < m_line + chunk.lines());
    }

    void rewrite(std::string_view rest)
    {
        while (!rest.empty()) {
            beginEdit();
            const auto line = takeLine(rest);
            ++m_line;
            if (m_linesToSkip > 0) {
                --m_linesToSkip;
            } else {
                m_builder.add(line);
            }
        }
    }

    // Begins the next edit when it is due at the current line.
    void beginEdit()
    {
        if (m_edits.empty() || m_edits.front().at > m_line) {
            return;
        }
        m_valid = m_valid && m_edits.front().at == m_line && m_linesToSkip == 0;
        m_builder.addAll(m_edits.front().added);
        m_linesToSkip += m_edits.front().removed;
        m_edits = m_edits.subspan(1);
    }

    std::span<const chunk_pointer> m_base;
    std::span<const line_edit> m_edits;
    chunk_builder m_builder;
    std::uint32_t m_line = 0;
    std::uint32_t m_linesToSkip = 0;
    bool m_valid = true;
};

// Computes the edits between two texts: skips the chunks that both have in common and compares the rest line by line.
class document_differ
{
public:
    std::vector<line_edit> diff(std::span<const chunk_pointer> before, std::span<const chunk_pointer> after)
    {
        std::multimap<digest, std::size_t> positions;
        for (std::size_t i = 0; i < after.size(); ++i) {
            positions.emplace(after[i]->content(), i);
        }
        std::size_t gapBefore = 0;
        std::size_t gapAfter = 0;
        for (std::size_t i = 0; i < before.size(); ++i) {
            const auto [first, last] = positions.equal_range(before[i]->content());
            const auto shared = std::find_if(first, last, [gapAfter](const auto &place) { return place.second >= gapAfter; });
            if (shared == last) {
                continue;
            }
            compare(before.subspan(gapBefore, i - gapBefore), after.subspan(gapAfter, shared->second - gapAfter));
            m_line += before[i]->lines();
            gapBefore = i + 1;
            gapAfter = shared->second + 1;
        }
        compare(before.subspan(gapBefore), after.subspan(gapAfter));
        return std::move(m_edits);
    }

private:
    static std::string textOf(std::span<const chunk_pointer> chunks)
    {
        std::string text;
        for (const auto &chunk : chunks) {
            text += chunk->text();
        }
        return text;
    }

    static std::vector<std::string_view> linesOf(std::string_view text)
    {
        std::vector<std::string_view> lines;
        while (!text.empty()) {
            lines.push_back(takeLine(text));
        }
        return lines;
    }

    void compare(std::span<const chunk_pointer> before, std::span<const chunk_pointer> after)
    {
        const std::string textBefore = textOf(before);
        const std::string textAfter = textOf(after);
        const auto a = linesOf(textBefore);
        const auto b = linesOf(textAfter);
        std::size_t i = 0;
        std::size_t j = 0;
        while (i < a.size() || j < b.size()) {
            if (i < a.size() && j < b.size() && a[i] == b[j]) {
                ++i;
                ++j;
                continue;
            }
            const auto [removed, added] = nextCommonLine(std::span(a).subspan(i), std::span(b).subspan(j));
            replace(static_cast<std::uint32_t>(m_line + i), removed, std::span(b).subspan(j, added));
            i += removed;
            j += added;
        }
        m_line += static_cast<std::uint32_t>(a.size());
    }

    // Returns the number of lines to skip in each text up to the next common line; all lines of both when none is found within
    // the look-ahead.
    static std::pair<std::size_t, std::size_t> nextCommonLine(std::span<const std::string_view> a, std::span<const std::string_view> b)
    {
        for (std::size_t total = 1; total <= 2 * resyncWindowLines; ++total) {
            for (std::size_t removed = 0; removed <= total; ++removed) {
                const std::size_t added = total - removed;
                if (removed < a.size() && added < b.size() && a[removed] == b[added]) {
                    return {removed, added};
                }
            }
        }
        return {a.size(), b.size()};
    }

    void replace(std::uint32_t at, std::size_t removed, std::span<const std::string_view> added)
    {
        const bool adjacent = !m_edits.empty() && m_edits.back().at + m_edits.back().removed == at;
        if (!adjacent) {
            m_edits.push_back({.at = at, .removed = 0, .added = {}});
        }
        auto &edit = m_edits.back();
        edit.removed += static_cast<std::uint32_t>(removed);
        for (const auto line : added) {
            edit.added.append(line);
        }
    }

    std::vector<line_edit> m_edits;
    std::uint32_t m_line = 0;
};

} // namespace

std::size_t rule_patch::bytes() const
{
    std::size_t total = 0;
    for (const auto &edit : edits) {
        total += edit.added.size() + editOverheadBytes;
    }
    return total;
}

text_chunk::text_chunk(std::string_view text)
    : m_compressed(compressed(text))
    , m_content(digestOf({text}))
    , m_bytes(static_cast<std::uint32_t>(text.size()))
{
    while (!text.empty()) {
        takeLine(text);
        ++m_lines;
    }
}

std::string text_chunk::text() const
{
    uLongf size = m_bytes;
    std::string text(m_bytes, '\0');
    uncompress(reinterpret_cast<Bytef *>(text.data()), &size, reinterpret_cast<const Bytef *>(m_compressed.data()), m_compressed.size());
    return text;
}

rule_document::rule_document()
    : rule_document(chunk_list {})
{
}

rule_document::rule_document(std::string_view text)
    : rule_document(chunksOf(text))
{
}

rule_document::rule_document(chunk_list chunks)
    : m_chunks(std::move(chunks))
{
    std::string contents;
    for (const auto &chunk : m_chunks) {
        contents += chunk->content().bytes();
        m_bytes += chunk->bytes();
    }
    m_content = digestOf({contents});
}

std::string rule_document::text() const
{
    std::string joinedText;
    joinedText.reserve(m_bytes);
    for (const auto &chunk : m_chunks) {
        joinedText += chunk->text();
    }
    return joinedText;
}

std::size_t rule_document::memoryBytes() const
{
    std::size_t total = m_chunks.capacity() * sizeof(chunk_list::value_type);
    for (const auto &chunk : m_chunks) {
        total += chunk->memoryBytes();
    }
    return total;
}

std::string rule_document::line(std::uint32_t number) const
{
    std::uint32_t before = 0;
    for (const auto &chunk : m_chunks) {
        if (number > before + chunk->lines()) {
            before += chunk->lines();
            continue;
        }
        const std::string text = chunk->text();
        std::string_view rest = text;
        std::string_view found;
        for (; before < number; ++before) {
            found = takeLine(rest);
        }
        return std::string(found.substr(0, found.find('\n')));
    }
    return {};
}

std::optional<rule_document> rule_document::patched(const rule_patch &patch) const
{
    if (patch.base != m_content) {
        return std::nullopt;
    }
    patch_applier applier(m_chunks, patch.edits);
    if (!applier.apply()) {
        return std::nullopt;
    }
    rule_document rebuilt(applier.finish());
    if (rebuilt.content() != patch.result) {
        return std::nullopt;
    }
    return rebuilt;
}

rule_patch makePatch(const rule_document &before, const rule_document &after)
{
    return {.base = before.content(), .result = after.content(), .edits = document_differ().diff(before.chunks(), after.chunks())};
}

const digest &contentOf(const rule_body &body)
{
    if (const auto *patch = std::get_if<rule_patch>(&body)) {
        return patch->result;
    }
    return std::get<rule_document>(body).content();
}

std::optional<rule_document> resolve(const rule_body &body, const rule_document &base)
{
    return std::visit(overloaded {
                          [](const rule_document &document) { return std::optional(document); },
                          [&](const rule_patch &patch) { return base.patched(patch); },
                      },
                      body);
}

} // namespace hornbeampick
