#pragma once

#include "process_fleet.h"
#include "upstream_fake.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hornbeampick::testing
{

/// An upstream that announces itself to every host of the fleet.
std::unique_ptr<upstream_fake> makeUpstream(process_fleet &fleet, const std::string &service, const std::string &instance, const std::string &domain,
                                            upstream_fake_options options = {});

/// What a look-up answered; nothing when it failed.
struct looked_up {
    std::string epoch;
    std::vector<std::string> entries;
};

looked_up lookUp(const std::string &host, const std::string &service);

/// One weigh-in request under a key.
plain_response ask(const std::string &host, const std::string &key, const std::string &epoch, const std::string &body,
                   std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));

/// Waits until every host serves `service`.
bool awaitServed(process_fleet &fleet, const std::string &service);

/// The system's word on whether the request ran; empty when it gave none.
std::string outcomeOf(const plain_response &answer);

} // namespace hornbeampick::testing
