#include "settings/settings_file.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

const std::string valid = R"(host: gent-a1
region: Gent
failureDomain: gent-a
http: {address: 127.0.0.1, port: 0}
rpc: {address: 127.0.0.1, port: 0}
voters:
  - {host: gent-a1, address: '127.0.0.1:7081'}
regions:
  - {name: Gent, failureDomains: [gent-a, gent-b]}
services:
  - {name: weigh-in, timeoutMs: 5000}
tls: {plainText: true}
)";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text = valid;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("settings: a valid file is read and presets are filled in", "[settings]")
{
    const auto parsed = parseSettings(valid, "s.yaml");
    REQUIRE(parsed.settings);
    CHECK(parsed.settings->timing().lookup_ttl_ms() == 1000);
    CHECK(parsed.settings->services(0).timeout_ms() == 5000);
    CHECK(!parsed.settings->services(0).idempotent());
}

TEST_CASE("settings: every error names file, line and key", "[settings]")
{
    struct invalid_case {
        std::string text;
        std::uint32_t line;
        std::string key;
    };
    const std::vector<invalid_case> cases {
        {replaced("host: gent-a1\n", ""), 1, "host"},
        {replaced("region: Gent", "regoin: Gent"), 2, "regoin"},
        {replaced("port: 0}\nrpc", "port: 70000}\nrpc"), 4, "http.port"},
        {replaced("timeoutMs: 5000", "timeoutMs: soon"), 11, "services[0].timeoutMs"},
        {replaced("timeoutMs: 5000", "timeoutMs: 0"), 11, "services[0].timeoutMs"},
        {replaced("plainText: true", "plainText: yes"), 12, "tls.plainText"},
        {replaced("region: Gent", "region: Brugge"), 0, "region"},
        {replaced("address: 127.0.0.1, port: 0}\nrpc", "address: localhost, port: 0}\nrpc"), 0, "http.address"},
        {replaced("tls: {plainText: true}", "tls: {key: a}"), 0, "tls"},
        {replaced("tls: {plainText: true}", "tls: {plainText: true"), 13, "yaml"},
        {valid + "host: again\n", 13, "host"},
    };
    for (const auto &each : cases) {
        const auto parsed = parseSettings(each.text, "s.yaml");
        INFO(each.text);
        REQUIRE(!parsed.settings);
        REQUIRE(!parsed.errors.empty());
        CHECK(parsed.errors.front().file == "s.yaml");
        CHECK(parsed.errors.front().line == each.line);
        CHECK(parsed.errors.front().key == each.key);
    }
}
