#include "rules/rule_text.h"

#include "line_reader.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

std::vector<std::string_view> linesOf(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &line : lines) {
        text += line + "\n";
    }
    return text;
}

bool isDrainOf(std::string_view line, drain_target target, std::string_view name)
{
    line_reader reader(line, "", 1);
    return reader.accept("drain") && reader.accept(keywordOf(target)) && reader.take("a name") == name;
}

// The lines of two texts without their common prefix and suffix, which need no comparison.
struct trimmed_texts {
    std::vector<std::string_view> before;
    std::vector<std::string_view> after;
};

trimmed_texts trimCommon(std::vector<std::string_view> before, std::vector<std::string_view> after)
{
    const auto start = std::ranges::mismatch(before, after);
    before.erase(before.begin(), start.in1);
    after.erase(after.begin(), start.in2);
    while (!before.empty() && !after.empty() && before.back() == after.back()) {
        before.pop_back();
        after.pop_back();
    }
    return {.before = std::move(before), .after = std::move(after)};
}

} // namespace

std::string withVersion(std::string_view text, std::uint64_t version)
{
    std::vector<std::string> lines;
    bool replaced = false;
    for (const auto line : linesOf(text)) {
        line_reader reader(line, "", 1);
        if (!replaced && reader.accept("version")) {
            lines.push_back("version " + std::to_string(version));
            replaced = true;
        } else {
            lines.emplace_back(line);
        }
    }
    return joined(lines);
}

std::string withRule(std::string_view text, std::string_view line)
{
    std::string changed(text);
    if (!changed.empty() && !changed.ends_with('\n')) {
        changed += '\n';
    }
    changed.append(line).append("\n");
    return changed;
}

std::string withoutDrain(std::string_view text, drain_target target, std::string_view name)
{
    std::vector<std::string> kept;
    for (const auto line : linesOf(text)) {
        if (!isDrainOf(line, target, name)) {
            kept.emplace_back(line);
        }
    }
    return joined(kept);
}

std::string clientsLine(const rule_document &document, const client_block &block)
{
    const std::string name = textOf(block);
    for (const auto &chunk : document.chunks()) {
        const std::string text = chunk->text();
        if (text.find(name) == std::string::npos) {
            continue;
        }
        for (const auto line : linesOf(text)) {
            line_reader reader(line, "", 1);
            if (reader.accept("clients") && reader.accept(name)) {
                return std::string(line);
            }
        }
    }
    return {};
}

std::vector<line_change> diffLines(std::string_view before, std::string_view after)
{
    const auto [a, b] = trimCommon(linesOf(before), linesOf(after));
    // lengths[i][j] is the length of the longest common subsequence of a[i..] and b[j..].
    std::vector<std::vector<std::uint32_t>> lengths(a.size() + 1, std::vector<std::uint32_t>(b.size() + 1, 0));
    for (std::size_t i = a.size(); i-- > 0;) {
        for (std::size_t j = b.size(); j-- > 0;) {
            lengths[i][j] = a[i] == b[j] ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
    }
    std::vector<line_change> changes;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            ++i;
            ++j;
        } else if (j == b.size() || (i < a.size() && lengths[i + 1][j] >= lengths[i][j + 1])) {
            changes.push_back({.added = false, .line = std::string(a[i++])});
        } else {
            changes.push_back({.added = true, .line = std::string(b[j++])});
        }
    }
    return changes;
}

} // namespace hornbeampick
