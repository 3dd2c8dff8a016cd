// Tests the statuses of calls to a control host, with a mock of what it calls.

#include "control_front_end.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

using namespace hornbeampick;
using namespace hornbeampick::platform;

namespace
{

namespace asio = boost::asio;

// Gives the same outcome to every call and counts them.
class control_api_mock final : public control_api
{
public:
    status outcome = success();
    std::vector<upstream_report> announced;
    std::vector<routing_table> submitted;
    std::vector<evacuation_order> evacuated;

    asio::awaitable<status> announce(upstream_report report) override
    {
        announced.push_back(std::move(report));
        co_return outcome;
    }
    asio::awaitable<status> submitRouting(routing_table table) override
    {
        submitted.push_back(std::move(table));
        co_return outcome;
    }
    asio::awaitable<status> evacuate(evacuation_order order) override
    {
        evacuated.push_back(std::move(order));
        co_return outcome;
    }
    asio::awaitable<result<routing_table>> readRouting() override
    {
        co_return make_error_code(errc::notReady);
    }
    [[nodiscard]] entry_choice chooseEntry(const entry_query &) const override
    {
        return {};
    }
    [[nodiscard]] std::optional<std::string> leaderAddress() const override
    {
        return std::nullopt;
    }
};

struct front_end_fixture {
    control_api_mock calls;
    control_front_end frontEnd {calls, 80};

    std::uint32_t post(const std::string &target, const std::string &body)
    {
        asio::io_context context;
        http_request request;
        request.method = "POST";
        request.target = target;
        request.body = body;
        auto response = asio::co_spawn(context, frontEnd.handle(std::move(request)), asio::use_future);
        context.run();
        return response.get().status;
    }
};

const std::string goodHeartbeat = R"({"service":"s","address":"10.1.0.9:80","zone":"z","slots":6,"state":"ready","seq":4,"born":1790000000000})";

} // namespace

TEST_CASE("control front end: an announcement that cannot be used is the sender's error, any other failure is ours", "[platform]")
{
    front_end_fixture fixture;
    for (const std::string path : {"/-/Instances.Heartbeat/i-1", "/-/Instances.Deregister/i-1"}) {
        CAPTURE(path);
        fixture.calls.outcome = success();
        CHECK(fixture.post(path, goodHeartbeat) == 200);
        fixture.calls.outcome = errc::malformedAnnouncement;
        CHECK(fixture.post(path, goodHeartbeat) == 400);
        fixture.calls.outcome = errc::notConfirmed;
        CHECK(fixture.post(path, goodHeartbeat) == 503);
    }
}

TEST_CASE("control front end: an order for a failure domain that is no name is the sender's error", "[platform]")
{
    front_end_fixture fixture;
    for (const std::string path : {"/-/Evacuate.Start/north-a", "/-/Evacuate.End/north-a"}) {
        CAPTURE(path);
        fixture.calls.outcome = success();
        CHECK(fixture.post(path, "") == 200);
        fixture.calls.outcome = errc::malformedRequest;
        CHECK(fixture.post(path, "") == 400);
        fixture.calls.outcome = errc::noQuorum;
        CHECK(fixture.post(path, "") == 503);
    }
}

TEST_CASE("control front end: bodies that cannot be read reach nobody", "[platform]")
{
    front_end_fixture fixture;
    const auto bad = GENERATE(as<std::string> {}, "{", "[]", "7", "\x80\x04", std::string(100'000, '['), std::string(100'000, '{'),
                              R"({"born":1e400,"service":1e400})", R"({"born":18446744073709551616,"version":"r18446744073709551616"})", R"({"born":-1})");
    CAPTURE(bad.substr(0, 100));
    CHECK(fixture.post("/-/Instances.Heartbeat/i-1", bad) == 400);
    CHECK(fixture.post("/-/Instances.Deregister/i-1", bad) == 400);
    CHECK(fixture.post("/-/Config.Put", bad) == 400);
    CHECK(fixture.calls.announced.empty());
    CHECK(fixture.calls.submitted.empty());
}

// Operators take 400 as the end of their call; a stopping host must send them to another one.
TEST_CASE("platform: a stopping control host answers that the call has not run, not that it is wrong", "[platform]")
{
    control_api_mock calls;
    const control_front_end frontEnd(calls, 80);
    REQUIRE(frontEnd.makeErrorResponse(errc::stopping).status == 503);
    REQUIRE(frontEnd.makeErrorResponse(errc::requestTooSlow).status == 408);
    REQUIRE(frontEnd.makeErrorResponse(errc::malformedRequest).status == 400);
    REQUIRE(frontEnd.makeErrorResponse(errc::bodyTooLarge).status == 400);
}
