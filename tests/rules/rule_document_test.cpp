#include "rules/rule_document.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace hornbeampick;

namespace
{

std::string joined(const std::vector<std::string> &lines)
{
    std::string text;
    for (const auto &line : lines) {
        text += line + "\n";
    }
    return text;
}

std::vector<std::string> numberedLines(int count)
{
    std::vector<std::string> lines;
    for (int i = 0; i < count; ++i) {
        lines.push_back("line " + std::to_string(i));
    }
    return lines;
}

// Removes and inserts lines at a few random positions.
void editRandomly(std::vector<std::string> &lines)
{
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i) {
        const auto at = *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(lines.size()) + 1);
        const auto count = std::min<std::ptrdiff_t>(*rc::gen::inRange(0, 200), static_cast<std::ptrdiff_t>(lines.size()) - at);
        lines.erase(lines.begin() + at, lines.begin() + at + count);
        const auto added = *rc::gen::inRange<std::size_t>(0, 200);
        lines.insert(lines.begin() + at, added, "new " + std::to_string(*rc::gen::inRange(0, 3)));
    }
}

} // namespace

TEST_CASE("rule_document: patches lead from any text to any other, and its digest is that of the text", "[property]")
{
    CHECK(rc::check("patches against whole texts", [] {
        auto lines = numberedLines(*rc::gen::inRange(0, 1500));
        rule_document document(joined(lines));
        for (int step = 0; step < 4; ++step) {
            editRandomly(lines);
            std::string text = joined(lines);
            if (*rc::gen::inRange(0, 4) == 0 && !text.empty()) {
                text.pop_back();
            }
            const rule_document expected(text);
            const auto patch = makePatch(document, expected);
            const auto next = document.patched(patch);
            RC_ASSERT(next.has_value());
            RC_ASSERT(next->text() == text);
            RC_ASSERT(next->content() == expected.content());
            RC_ASSERT(next->chunks().size() == expected.chunks().size());
            RC_ASSERT(makePatch(*next, expected).edits.empty());
            document = *next;
        }
    }));
}

TEST_CASE("rule_document: one changed line gives a small patch and shares all other chunks")
{
    auto lines = numberedLines(20'000);
    const rule_document before(joined(lines));
    lines[0] = "version 2";
    lines[15'000] = "changed";
    const rule_document after(joined(lines));
    const auto patch = makePatch(before, after);
    CHECK(patch.edits.size() == 2);
    CHECK(patch.bytes() < 100);
    const auto rebuilt = before.patched(patch);
    REQUIRE(rebuilt);
    const std::set<std::shared_ptr<const text_chunk>> known(before.chunks().begin(), before.chunks().end());
    const auto isNew = [&](const auto &chunk) { return !known.contains(chunk); };
    // Two chunks contain the changed lines; a third is new when one of them merges with its neighbour.
    CHECK(std::ranges::count_if(rebuilt->chunks(), isNew) <= 3);
    CHECK(rebuilt->line(15'001) == "changed");
    CHECK(rebuilt->line(20'001).empty());
}

TEST_CASE("rule_document: a patch for another text, out of order or beyond the end is refused")
{
    const rule_document base("a\nb\nc\n");
    const rule_document other("a\nb\n");
    const auto patch = makePatch(base, other);
    CHECK(base.patched(patch) == other);
    CHECK_FALSE(other.patched(patch));
    const auto refused
        = [&](std::vector<line_edit> edits) { return !base.patched({.base = base.content(), .result = other.content(), .edits = std::move(edits)}); };
    CHECK(refused({{.at = 4, .removed = 0, .added = "x\n"}}));
    CHECK(refused({{.at = 2, .removed = 2, .added = ""}}));
    CHECK(refused({{.at = 2, .removed = 1, .added = ""}, {.at = 0, .removed = 0, .added = ""}}));
    CHECK(refused({{.at = 0, .removed = 1, .added = ""}}));
}
