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

/// Reports to other hosts that an upstream died of a request.
class death_reporter
{
public:
    virtual ~death_reporter() = default;
    /// Returns once every host called has acknowledged the report or its call has failed.
    virtual boost::asio::awaitable<void> broadcast(const upstream_death &death) = 0;
};

class slot_guard;

/// Dependencies of a request runner. All of them must outlive it.
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

/// Runs a request on an upstream that this host owns: checks the caps, waits for a slot and sends the request.
///
/// Reports `not-run` only if no byte of the request was sent to an upstream, or the upstream shed it. Tries another upstream in
/// exactly these cases. Thread-safe.
class request_runner
{
public:
    explicit request_runner(const request_runner_parts &parts);

    boost::asio::awaitable<proxied_answer> run(proxied_request request);

private:
    boost::asio::awaitable<proxied_answer> runWithinCaps(proxied_request &request);
    boost::asio::awaitable<slot_result> waitForSlot(const proxied_request &request);
    boost::asio::awaitable<proxied_answer> attempt(const proxied_request &request, slot_guard &slotGuard);
    boost::asio::awaitable<void> reportIfUpstreamDied(const proxied_request &request, const slot_grant &slot, proxied_answer &answer);

    request_runner_parts m_parts;
};

} // namespace hornbeampick
