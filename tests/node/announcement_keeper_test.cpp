// When announcements are saved, against a mock of the disk.

#include "node/announcement_keeper.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>

using namespace hornbeampick;

namespace
{

constexpr seconds generous {20};

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
    return {.service = service_name("s"), .instance = instance_name(instance), .address = std::string(instance) + ":80", .incarnation = 1, .reportedAt = 1};
}

struct keeper_bench {
    system_clock_source clock;
    announcement_log log;
    store_mock store;
    announcement_keeper keeper {log, store, clock};

    bool confirm(std::uint64_t position, milliseconds wait)
    {
        auto answer = std::make_shared<std::promise<bool>>();
        auto future = answer->get_future();
        keeper.confirm(position, clock.now() + wait, [answer](bool kept) { answer->set_value(kept); });
        REQUIRE(future.wait_for(generous) == std::future_status::ready);
        return future.get();
    }
};

} // namespace

TEST_CASE("announcement keeper: a change is confirmed once it is on the disk, and many cost few writes", "[announcements]")
{
    keeper_bench bench;
    bench.keeper.start();
    std::uint64_t last = 0;
    for (int i = 0; i < 100; ++i) {
        last = bench.log.report(reportOf("u" + std::to_string(i)), bench.clock.now());
        bench.keeper.wake();
    }
    REQUIRE(bench.confirm(last, generous));
    REQUIRE(bench.store.saves <= 2);
    REQUIRE(bench.confirm(last, generous));
}

TEST_CASE("announcement keeper: a full disk confirms nothing, and all once it has room", "[announcements]")
{
    keeper_bench bench;
    bench.store.fails = true;
    bench.keeper.start();
    const auto position = bench.log.report(reportOf("a"), bench.clock.now());
    REQUIRE_FALSE(bench.confirm(position, milliseconds(50)));
    bench.store.fails = false;
    REQUIRE(bench.confirm(position, generous));
}

TEST_CASE("announcement keeper: a later process starts with what the former one saved", "[announcements]")
{
    keeper_bench bench;
    bench.store.saved = {reportOf("a")};
    bench.keeper.start();
    REQUIRE(bench.log.changedAfter(0, bench.clock.now()).size() == 1);
}
