#pragma once

#include "claims/claim_types.h"
#include "core/clock.h"
#include "core/error.h"
#include "core/names.h"
#include "fleet/member_table.h"
#include "fleet/upstream_report.h"
#include "replica/replica_types.h"
#include "steering/request_gate.h"
#include "steering/steering_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hornbeampick
{

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// What two daemons tell each other at every exchange.
struct exchange_message {
    fleet_member sender;
    std::vector<fleet_member> members;
    std::uint64_t membersDigest = 0;
    std::vector<upstream_report> upstreams;
    std::uint64_t upstreamsDigest = 0;
    // Log index that the sender has applied.
    log_index appliedIndex = 0;
    std::vector<service_load> loads;
    bool wantAll = false;
};

/// Says that newer rules can be fetched.
struct rules_notice {
    log_index appliedIndex = 0;
    // Where the spreading started: the root of the tree.
    host_name root;
    std::string tellerAddress;
};

/// Whether a request ran, as far as the system knows.
enum class run_outcome {
    run,
    notRun,
    unknown,
};

std::string_view textOf(run_outcome outcome);

/// One request on its way to an upstream.
struct carried_request {
    service_name service;
    std::string method;
    // Path and query for the upstream.
    std::string target;
    http_headers headers;
    std::string body;
    // Address of the caller, as one number: its turns in queues.
    std::uint64_t caller = 0;
    steady_time deadline {};
    bool idempotent = false;
    region_name home;
    bool shifted = false;
    std::string traceParent;
    // The upstream that failed the former attempt.
    std::optional<instance_name> avoid;

    [[nodiscard]] digest content() const;
    [[nodiscard]] std::size_t bytes() const;
};

/// The answer to one request, an upstream's or the system's own.
struct carried_answer {
    run_outcome outcome = run_outcome::notRun;
    // Set when the answer is the system's own.
    errc error = errc::ok;
    std::uint32_t status = 0;
    http_headers headers;
    std::string body;
    milliseconds retryAfter {};
    bool upstreamDied = false;
    instance_name instance;

    [[nodiscard]] bool isUpstreams() const
    {
        return error == errc::ok;
    }
    [[nodiscard]] std::size_t bytes() const;
};

carried_answer makeRefusal(errc error, run_outcome outcome, milliseconds retryAfter = {});

/// A request passed on to the host that owns the upstreams, and the answer with that host's load.
struct forward_message {
    carried_request request;
    host_name senderHost;
    region_name senderRegion;
    milliseconds timeout {};
};

struct forward_result {
    carried_answer answer;
    pool_load load;
};

/// What one host says of itself.
struct host_status {
    fleet_member self;
    std::uint64_t ruleVersion = 0;
    wall_ms inForceSince = 0;
    std::string replicaRole;
    std::uint64_t term = 0;
    std::string leader;
    bool cutOff = false;
    bool rulesKnown = false;
};

struct fleet_status {
    std::vector<host_status> hosts;
    std::vector<fleet_member> silent;
};

/// Why a client goes where it goes.
struct steering_explanation {
    errc error = errc::ok;
    std::uint64_t ruleVersion = 0;
    region_name home;
    region_name destination;
    std::string reason;
    std::vector<fleet_member> entries;
    std::string epoch;
    std::vector<std::string> rules;
};

struct service_region_load {
    service_name service;
    region_name region;
    pool_load load;
};

} // namespace hornbeampick
