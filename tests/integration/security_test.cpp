#include "fakes/fleet_caller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hornbeampick::testing;

namespace
{

namespace asio = boost::asio;

// A client connection that stays open.
class open_connection
{
public:
    explicit open_connection(const std::string &address)
        : m_socket(m_context)
    {
        const auto colon = address.rfind(':');
        m_socket.connect({asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    }

    // Sends a request on the connection. Returns true if it is answered with 200, false if the host closed the connection.
    bool answersRequest()
    {
        const std::string request = "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
        boost::system::error_code failed;
        asio::write(m_socket, asio::buffer(request), failed);
        std::string answer(12, '\0');
        asio::read(m_socket, asio::buffer(answer), failed);
        if (failed) {
            return false;
        }
        m_socket.non_blocking(true);
        std::array<char, 1024> rest {};
        m_socket.read_some(asio::buffer(rest), failed);
        m_socket.non_blocking(false);
        return answer == "HTTP/1.1 200";
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::socket m_socket;
};

} // namespace

TEST_CASE("keys: certificates and trust are replaced while the fleet runs, and old keys are refused afterwards", "[integration]")
{
    process_fleet_options options;
    options.tls = true;
    process_fleet fleet(options);
    fleet.awaitReady();
    fleet.makeKeys("second");
    const std::string statusCommand = "status --timeout-ms 3000";
    const auto allAnswer = [&](const std::string &keySet, const std::vector<std::string> &trusted) {
        return await([&] {
            for (std::size_t host = 0; host < process_fleet::hostCount; ++host) {
                if (fleet.toolAt(host, keySet, trusted, statusCommand).exitCode != 0) {
                    return false;
                }
            }
            return true;
        });
    };
    REQUIRE(allAnswer("first", {"first"}));
    CHECK(fleet.toolAt(0, "second", {"first"}, statusCommand).exitCode == 3);
    INFO(fleet.logs());

    // Key rotation: trust both authorities, replace the hosts' keys, then remove the old authority.
    fleet.useKeys("first", {"first", "second"});
    REQUIRE(allAnswer("second", {"first"}));
    fleet.useKeys("second", {"first", "second"});
    REQUIRE(allAnswer("first", {"second"}));
    fleet.useKeys("second", {"second"});
    const bool refused = await([&] {
        for (std::size_t host = 0; host < process_fleet::hostCount; ++host) {
            if (fleet.toolAt(host, "first", {"second"}, statusCommand).exitCode != 3) {
                return false;
            }
        }
        return true;
    });
    CHECK(refused);
    // The hosts still reach each other: a restarted host joins with the new keys, and rules are accepted.
    fleet.kill(6);
    fleet.start(6);
    const std::string rules = fleet.write("rules", "version 1\nregion Gent capacity weigh-in 60/s  # ann\n");
    CHECK(fleet.toolAt(0, "second", {"second"}, "rules submit --timeout-ms 20000 " + rules).exitCode == 0);
    CHECK(await([&] {
        for (std::size_t host = 0; host < process_fleet::hostCount; ++host) {
            if (fleet.status(host).find("\"ruleVersion\":1,") == std::string::npos) {
                return false;
            }
        }
        return true;
    }));
}

TEST_CASE("limits: connections beyond the limit are closed, those within go on, and a freed place is taken", "[integration]")
{
    process_fleet_options options;
    options.extraSettings = "limits: {connections: 6, idleMs: 60000}\n";
    process_fleet fleet(options);
    fleet.awaitReady();
    std::vector<std::unique_ptr<open_connection>> within;
    // Status calls of the fixture occupy connections briefly, so filling the limit may take several attempts.
    CHECK(await([&] {
        within.clear();
        for (int i = 0; i < 6; ++i) {
            within.push_back(std::make_unique<open_connection>(fleet.http(0)));
        }
        return std::ranges::all_of(within, [](const auto &each) { return each->answersRequest(); });
    }));
    for (int i = 0; i < 3; ++i) {
        CHECK(!open_connection(fleet.http(0)).answersRequest());
    }
    CHECK(std::ranges::all_of(within, [](const auto &each) { return each->answersRequest(); }));
    within.pop_back();
    CHECK(await([&] { return open_connection(fleet.http(0)).answersRequest(); }));
}
