#pragma once

#include "process_fleet.h"
#include "upstream_fake.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick::testing
{

/// Creates an upstream that announces itself to the hosts of the fleet.
std::unique_ptr<upstream_fake> makeUpstream(process_fleet &fleet, const std::string &service, const std::string &instance, const std::string &domain,
                                            upstream_fake_options options = {});

/// Result of a look-up; both fields are empty if it failed.
struct lookup_result {
    std::string epoch;
    std::vector<std::string> entries;
};

lookup_result lookUp(const std::string &host, const std::string &service);

/// Sends one weigh-in request with an idempotency key.
http_result sendWeighIn(const std::string &host, const std::string &key, const std::string &epoch, const std::string &body,
                        std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));

/// Waits until every host answers a request for `service` with 200. Returns false on timeout.
bool awaitServed(process_fleet &fleet, const std::string &service);

/// Returns the Hornbeampick-Outcome header, which says whether the request ran; empty if absent.
std::string outcomeOf(const http_result &answer);

} // namespace hornbeampick::testing
