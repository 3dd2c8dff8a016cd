// Tests the messages between entry and control hosts.

#include "codec/control_codec.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

// Parsing ended at the first text that was not UTF-8: the upstreams after it, the routes and the numbers of hosts were lost.
TEST_CASE("control codec: a watch reply is complete although one record has text that is not UTF-8", "[announcements]")
{
    watch_answer answer {.source = 7, .position = 9, .controlHosts = {"10.0.0.1:80"}, .entryHosts = 3, .entryHostsInRegion = 2};
    for (const auto *name : {"a", "\xff\xfe", "b"}) {
        answer.upstreams.push_back({.service = service_name("s"), .instance = instance_name(name), .address = "10.0.0.2:80", .incarnation = 1});
    }
    answer.deaths.push_back({.instance = instance_name("\xff"), .incarnation = 1});
    schema::watch_reply message;
    REQUIRE(message.ParseFromString(encode(answer).SerializeAsString()));
    const auto decoded = decode(message);
    REQUIRE(decoded.upstreams == answer.upstreams);
    REQUIRE(decoded.controlHosts == answer.controlHosts);
    REQUIRE(decoded.entryHosts == answer.entryHosts);
    REQUIRE(decoded.deaths == answer.deaths);
}

TEST_CASE("control codec: the age of a state is told with its sign, and is 0 from releases that do not tell", "[announcements][home]")
{
    for (const auto age : {milliseconds(700), milliseconds(-450)}) {
        schema::watch_reply message;
        REQUIRE(message.ParseFromString(encode(watch_answer {.stateAge = age}).SerializeAsString()));
        REQUIRE(decode(message).stateAge == age);
    }
    REQUIRE(decode(schema::watch_reply()).stateAge == milliseconds(0));
}
