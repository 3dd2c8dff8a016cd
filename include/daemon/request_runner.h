#pragma once

#include "core/clock.h"
#include "http/upstream_client.h"
#include "observe/metrics.h"
#include "observe/trace.h"
#include "rpc/peer_client.h"
#include "steering/cap_table.h"
#include "steering/poison_registry.h"
#include "steering/request_gate.h"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace hornbeampick
{

/// Tells other hosts that an upstream died of a request; done once those reached have taken note.
class death_reporter
{
public:
    virtual ~death_reporter() = default;
    virtual boost::asio::awaitable<void> spread(const upstream_death &death) = 0;
};

class held_slot;

/// The parts a request runner works with. All outlive it.
struct request_runner_parts {
    request_gate &gate;
    cap_table &caps;
    poison_registry &poison;
    upstream_client &upstreams;
    death_reporter &deaths;
    metrics &counters;
    tracer &traces;
    clock_source &clock;
};

/// Runs a request on an upstream that this host owns: caps, slot, attempt.
///
/// Says `not-run` only where no byte of the request left for an upstream, or the upstream shed it. Tries another
/// upstream in just those cases. Thread-safe.
class request_runner
{
public:
    explicit request_runner(const request_runner_parts &parts);

    boost::asio::awaitable<carried_answer> run(carried_request request);

private:
    boost::asio::awaitable<carried_answer> runWithinCaps(carried_request &request);
    boost::asio::awaitable<gate_answer> waitForSlot(const carried_request &request);
    boost::asio::awaitable<carried_answer> attempt(const carried_request &request, held_slot &held);
    boost::asio::awaitable<void> reportIfDead(const carried_request &request, const slot_grant &slot, carried_answer &answer);

    request_runner_parts m_parts;
};

} // namespace hornbeampick
