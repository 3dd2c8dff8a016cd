// Tests when announcements are saved, with a mock of the store.

#include "node/announcement_persister.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <limits>
#include <thread>

using namespace hornbeampick;

namespace
{

constexpr seconds longTimeout {20};

class store_mock final : public announcement_store
{
public:
    std::vector<upstream_report> saved;
    std::atomic<bool> fails {false};
    std::atomic<int> saves {0};

    result<std::vector<upstream_report>> load() override
    {
        return saved;
    }
    status save(std::span<const upstream_report> reports) override
    {
        if (fails) {
            return errc::diskFull;
        }
        saved.assign(reports.begin(), reports.end());
        ++saves;
        return success();
    }
};

upstream_report reportOf(std::string_view instance)
{
    return {.service = service_name("s"), .instance = instance_name(instance), .address = "10.0.0.1:80", .incarnation = 1, .reportedAt = 1};
}

struct persister_fixture {
    system_clock_source clock;
    announcement_log log;
    store_mock store;
    announcement_persister persister {log, store, clock};

    bool awaitSaved(std::uint64_t position, milliseconds wait)
    {
        auto answer = std::make_shared<std::promise<bool>>();
        auto future = answer->get_future();
        persister.awaitSaved(position, clock.now() + wait, [answer](bool isSaved) { answer->set_value(isSaved); });
        REQUIRE(future.wait_for(longTimeout) == std::future_status::ready);
        return future.get();
    }
};

} // namespace

TEST_CASE("announcement keeper: a change is confirmed once it is on the disk, and many cost few writes", "[announcements]")
{
    persister_fixture fixture;
    fixture.persister.start();
    std::uint64_t last = 0;
    for (int i = 0; i < 100; ++i) {
        last = fixture.log.report(reportOf("u" + std::to_string(i)), fixture.clock.now());
        fixture.persister.notifyChanged();
    }
    REQUIRE(fixture.awaitSaved(last, longTimeout));
    REQUIRE(fixture.store.saves <= 2);
    REQUIRE(fixture.awaitSaved(last, longTimeout));
}

TEST_CASE("announcement keeper: a full disk confirms nothing, and all once it has room", "[announcements]")
{
    persister_fixture fixture;
    fixture.store.fails = true;
    fixture.persister.start();
    const auto position = fixture.log.report(reportOf("a"), fixture.clock.now());
    REQUIRE_FALSE(fixture.awaitSaved(position, milliseconds(50)));
    fixture.store.fails = false;
    REQUIRE(fixture.awaitSaved(position, longTimeout));
}

TEST_CASE("announcement keeper: after a full disk the changes are saved although nothing asks for it", "[announcements]")
{
    persister_fixture fixture;
    fixture.store.fails = true;
    fixture.persister.start();
    const auto position = fixture.log.report(reportOf("a"), fixture.clock.now());
    REQUIRE_FALSE(fixture.awaitSaved(position, milliseconds(50)));
    REQUIRE(fixture.store.saves == 0);
    fixture.store.fails = false;
    const auto deadline = fixture.clock.now() + longTimeout;
    while (fixture.store.saves == 0 && fixture.clock.now() < deadline) {
        std::this_thread::sleep_for(milliseconds(10));
    }
    REQUIRE(fixture.store.saves > 0);
}

TEST_CASE("announcement keeper: a later process starts with what the former one saved", "[announcements]")
{
    persister_fixture fixture;
    fixture.store.saved = {reportOf("a")};
    fixture.persister.start();
    REQUIRE(fixture.log.changedAfter(0, fixture.clock.now()).size() == 1);
}

// Records that an earlier release had saved came back as they were.
TEST_CASE("announcement keeper: a saved record that cannot be used is left out, and the others are restored", "[announcements]")
{
    persister_fixture fixture;
    auto huge = reportOf("huge");
    huge.incarnation = std::numeric_limits<std::uint64_t>::max();
    auto unknownState = reportOf("state");
    unknownState.state = static_cast<upstream_state>(77);
    fixture.store.saved = {reportOf("a"), reportOf("\xff\xfe"), huge, unknownState, reportOf("b")};
    fixture.persister.start();
    const auto restored = fixture.log.changedAfter(0, fixture.clock.now());
    REQUIRE(restored.size() == 2);
    REQUIRE(restored[0].instance == instance_name("a"));
    REQUIRE(restored[1].instance == instance_name("b"));
}

// A call that came while the process ended was told that its position is saved, though it was not.
TEST_CASE("announcement keeper: what is not saved is not confirmed at the end", "[announcements]")
{
    std::vector<bool> answers;
    {
        persister_fixture fixture;
        fixture.store.fails = true;
        fixture.persister.start();
        const auto position = fixture.log.report(reportOf("a"), fixture.clock.now());
        const auto deadline = fixture.clock.now() + longTimeout;
        fixture.persister.awaitSaved(position, deadline, [&, position, deadline](bool isSaved) {
            answers.push_back(isSaved);
            fixture.persister.awaitSaved(position, deadline, [&](bool isSavedLater) { answers.push_back(isSavedLater); });
        });
    }
    REQUIRE(answers == std::vector<bool> {false, false});
}
