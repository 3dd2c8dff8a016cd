// Tests with which status the control front end answers requests that the server does not pass on to it, with a mock of the calls.

#include "control_front_end.h"

#include <boost/asio/awaitable.hpp>
#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

namespace asio = boost::asio;

class calls_mock final : public control_api
{
public:
    asio::awaitable<status> announce(upstream_report) override
    {
        co_return success();
    }
    asio::awaitable<status> submitRouting(routing_table) override
    {
        co_return success();
    }
    asio::awaitable<status> evacuate(evacuation_order) override
    {
        co_return success();
    }
    asio::awaitable<result<routing_table>> readRouting() override
    {
        co_return make_error_code(errc::notReady);
    }
    [[nodiscard]] entry_choice chooseEntry(const region_name &) const override
    {
        return {};
    }
    [[nodiscard]] std::optional<std::string> leaderAddress() const override
    {
        return std::nullopt;
    }
};

} // namespace

// Operators take 400 as the end of their call; a stopping host must send them to another one.
TEST_CASE("platform: a stopping control host answers that the call has not run, not that it is wrong", "[platform]")
{
    calls_mock calls;
    const platform::control_front_end frontEnd(calls, 80);
    REQUIRE(frontEnd.makeErrorResponse(errc::stopping).status == 503);
    REQUIRE(frontEnd.makeErrorResponse(errc::requestTooSlow).status == 408);
    REQUIRE(frontEnd.makeErrorResponse(errc::malformedRequest).status == 400);
    REQUIRE(frontEnd.makeErrorResponse(errc::bodyTooLarge).status == 400);
}
