#include "replica/rule_ledger.h"
#include "replica/rule_update.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

constexpr int lineCount = 5000;

std::string textOf(std::uint64_t version)
{
    std::string text = "version " + std::to_string(version) + "\n";
    for (int i = 0; i < lineCount; ++i) {
        text += "clients 10." + std::to_string(i / 256) + "." + std::to_string(i % 256) + ".0/24 home r1 # ann\n";
    }
    return text + "drain host h" + std::to_string(version) + " # ann\n";
}

rules_change changeTo(std::uint64_t version)
{
    const rule_document text(textOf(version));
    return {.version = version, .body = text, .operatorName = "ann", .submittedAt = 1, .content = text.content()};
}

// Applies the change to a version in the form in which it is logged.
void advance(rule_ledger &ledger, std::uint64_t version)
{
    const log_entry entry {.index = version + 10, .term = 1, .body = ledger.asPatchIfSmaller(changeTo(version))};
    REQUIRE(ledger.apply(entry).error == errc::ok);
}

} // namespace

TEST_CASE("rule_ledger: a change goes into the log as the lines that differ, and gives the whole text")
{
    rule_ledger ledger;
    advance(ledger, 1);
    const auto patched = ledger.asPatchIfSmaller(changeTo(2));
    const auto *patch = std::get_if<rule_patch>(&patched.body);
    REQUIRE(patch != nullptr);
    CHECK(patch->bytes() < 200);
    advance(ledger, 2);
    CHECK(ledger.state().text.text() == textOf(2));
    // A resubmission of the same change is accepted, as a whole text and as a patch.
    CHECK(ledger.evaluate(changeTo(2)).error == errc::ok);
    CHECK(ledger.apply({.index = 20, .term = 1, .body = patched}).error == errc::ok);
    CHECK(ledger.state().text.text() == textOf(2));
}

TEST_CASE("rule_ledger: lines for a text that was replaced meanwhile are a conflict and change nothing")
{
    rule_ledger ledger;
    advance(ledger, 1);
    auto late = ledger.asPatchIfSmaller(changeTo(2));
    late.version = 3;
    advance(ledger, 2);
    const auto outcome = ledger.apply({.index = 20, .term = 1, .body = late});
    CHECK(outcome.error == errc::versionConflict);
    CHECK(outcome.winner == ledger.state().text.content());
    CHECK(ledger.state().version == 2);
}

TEST_CASE("patch_window: a host a few versions behind is sent the lines that changed, and no history")
{
    rule_ledger ledger;
    patch_window window;
    std::vector<ledger_state> states {ledger.state()};
    for (std::uint64_t version = 1; version <= 20; ++version) {
        advance(ledger, version);
        window.recordChange(states.back(), ledger.state());
        states.push_back(ledger.state());
    }
    const auto update = window.updateFor({.index = states[15].appliedIndex, .version = 15}, ledger.state());
    REQUIRE(update);
    REQUIRE(update->patches);
    CHECK(update->patches->size() == 5);
    CHECK(update->state.text.empty());
    CHECK(update->state.history.empty());
    const auto resolved = resolve(*update, states[15].text);
    REQUIRE(resolved);
    CHECK(resolved->text.text() == textOf(20));
    CHECK(resolved->version == 20);
    // Patches do not apply to another text.
    CHECK(!resolve(*update, states[14].text));
    // A host without rules, or with a version that is not in the window, receives the whole text.
    for (const std::uint64_t version : {0, 100}) {
        const auto whole = window.updateFor({.index = 0, .version = version, .withHistory = true}, ledger.state());
        REQUIRE(whole);
        CHECK(!whole->patches);
        CHECK(whole->state.history.size() == 20);
        CHECK(resolve(*whole, {})->text.text() == textOf(20));
    }
    CHECK(!window.updateFor({.index = ledger.state().appliedIndex, .version = 20}, ledger.state()));
}

TEST_CASE("patch_window: it stays within its bytes and forgets what does not follow")
{
    rule_ledger ledger;
    patch_window window;
    ledger_state before = ledger.state();
    for (std::uint64_t version = 1; version <= 3000; ++version) {
        ledger_state after = before;
        after.version = version;
        after.appliedIndex = version;
        after.text = rule_document("version " + std::to_string(version) + "\n# " + std::string(200, 'x') + std::to_string(version) + "\n");
        window.recordChange(before, after);
        before = std::move(after);
        REQUIRE(window.bytes() <= patch_window::maxBytes);
    }
    CHECK(window.updateFor({.index = 1, .version = 2500}, before)->patches);
    CHECK(!window.updateFor({.index = 1, .version = 1}, before)->patches);
    // After a gap in the versions there is no chain of patches from the older ones.
    ledger_state jumped = before;
    jumped.version = 9000;
    jumped.appliedIndex = 9000;
    ledger_state skipped = before;
    skipped.version = 8999;
    window.recordChange(skipped, jumped);
    CHECK(!window.updateFor({.index = 1, .version = 2900}, jumped)->patches);
}
