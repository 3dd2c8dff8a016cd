#include "fakes/memory_files.h"
#include "storage/announcement_store.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;
using namespace hornbeampick::testing;

namespace
{

upstream_report reportOf(std::string_view instance)
{
    return {
        .service = service_name("s"),
        .instance = instance_name(instance),
        .address = "10.0.0.1:80",
        .domain = domain_name("d"),
        .incarnation = 7,
        .slots = 4,
        .state = upstream_state::draining,
        .reportedAt = 9,
        .warmupLeft = milliseconds(250),
        .leftAt = 12,
    };
}

} // namespace

TEST_CASE("announcement store: what was saved is there after a crash, whole", "[announcements][storage]")
{
    memory_files files;
    const auto store = makeAnnouncementFileStore(files);
    REQUIRE(store->load().value().empty());
    const std::vector saved {reportOf("a"), reportOf("b")};
    REQUIRE(store->save(saved));
    files.crash(0);
    REQUIRE(makeAnnouncementFileStore(files)->load().value() == saved);
}

TEST_CASE("announcement store: a crash at any step of a save leaves the former or the new list", "[announcements][storage]")
{
    for (std::uint64_t step = 1; step < 8; ++step) {
        memory_files files;
        const auto store = makeAnnouncementFileStore(files);
        REQUIRE(store->save(std::vector {reportOf("a")}));
        files.failAfter(step, errc::ioFailed);
        const bool saveSucceeded = static_cast<bool>(store->save(std::vector {reportOf("b")}));
        files.failAfter(0, errc::ioFailed);
        files.crash(step);
        const auto loaded = makeAnnouncementFileStore(files)->load();
        CAPTURE(step);
        REQUIRE(loaded);
        REQUIRE(loaded.value().size() == 1);
        const auto name = loaded.value().front().instance.string();
        REQUIRE((saveSucceeded ? name == "b" : name == "a" || name == "b"));
    }
}

// The file could not be read as a whole when one text in it was not UTF-8.
TEST_CASE("announcement store: a record with text that is not UTF-8 does not cost the others", "[announcements][storage]")
{
    memory_files files;
    auto odd = reportOf("\xff\xfe");
    odd.service = service_name("\xc3");
    odd.address = "\x80";
    odd.domain = domain_name("\xff");
    const std::vector saved {reportOf("a"), odd, reportOf("b")};
    REQUIRE(makeAnnouncementFileStore(files)->save(saved));
    const auto loaded = makeAnnouncementFileStore(files)->load();
    REQUIRE(loaded);
    REQUIRE(loaded.value() == saved);
}

TEST_CASE("announcement store: damage is told, not read over", "[announcements][storage]")
{
    memory_files files;
    const auto store = makeAnnouncementFileStore(files);
    REQUIRE(store->save(std::vector {reportOf("a")}));
    files.corrupt("announcements", 30);
    REQUIRE_FALSE(store->load());
}
