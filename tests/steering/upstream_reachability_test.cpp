// Tests that a host takes itself for isolated only when no upstream can be reached.

#include "steering/upstream_reachability.h"

#include <catch2/catch.hpp>

using namespace hornbeampick;

namespace
{

const steady_time start = steady_time {} + seconds(100);

bool probe(upstream_reachability &state, probe_outcome outcome)
{
    state.beginProbe();
    return state.onProbe(outcome, 6);
}

} // namespace

TEST_CASE("upstream_reachability: attempts without any response call for a probe, responses do not", "[reachability]")
{
    upstream_reachability state({.silence = milliseconds(400)});
    REQUIRE_FALSE(state.isSuspect(start));
    state.onAttempt(start);
    state.onAttempt(start + milliseconds(300));
    REQUIRE_FALSE(state.isSuspect(start + milliseconds(399)));
    REQUIRE(state.isSuspect(start + milliseconds(400)));
    state.onResponse();
    REQUIRE_FALSE(state.isSuspect(start + milliseconds(400)));
}

TEST_CASE("upstream_reachability: failed connections in a row call for a probe, also while kept ones respond", "[reachability]")
{
    upstream_reachability state({.connectFailures = 2});
    state.onConnectFailure();
    state.onConnected();
    state.onConnectFailure();
    REQUIRE_FALSE(state.isSuspect(start));
    state.onConnectFailure();
    state.onResponse();
    REQUIRE(state.isSuspect(start));
}

TEST_CASE("upstream_reachability: one upstream that can be reached is enough not to be isolated", "[reachability]")
{
    upstream_reachability state;
    REQUIRE_FALSE(probe(state, probe_outcome::reached));
    REQUIRE(probe(state, probe_outcome::refused));
    REQUIRE(state.isIsolated());
    REQUIRE_FALSE(probe(state, probe_outcome::refused));
    REQUIRE(probe(state, probe_outcome::reached));
    REQUIRE_FALSE(state.isIsolated());
    REQUIRE_FALSE(state.isSuspect(start));
}

// A host whose link was overloaded got no answer to its probes in time, and gave up its working connections.
TEST_CASE("upstream_reachability: a silent probe does not isolate a host that still receives responses", "[reachability]")
{
    upstream_reachability state;
    state.beginProbe();
    state.onResponse();
    REQUIRE_FALSE(state.onProbe(probe_outcome::silent, 6));
    REQUIRE_FALSE(state.isIsolated());
    REQUIRE(probe(state, probe_outcome::silent));
}

TEST_CASE("upstream_reachability: the refusal of one upstream does not isolate a host that still receives responses", "[reachability]")
{
    upstream_reachability state;
    state.beginProbe();
    state.onResponse();
    REQUIRE_FALSE(state.onProbe(probe_outcome::refused, 1));
    state.beginProbe();
    state.onResponse();
    REQUIRE(state.onProbe(probe_outcome::refused, 6));
}
