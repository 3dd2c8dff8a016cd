#include "fleet_caller.h"

#include <boost/json.hpp>

namespace hornbeampick::testing
{

std::unique_ptr<upstream_fake> makeUpstream(process_fleet &fleet, const std::string &service, const std::string &instance, const std::string &domain,
                                            upstream_fake_options options)
{
    options.service = service;
    options.instance = instance;
    options.failureDomain = domain;
    for (std::size_t i = 0; i < process_fleet::hostCount; ++i) {
        options.announceTo.push_back(fleet.http(i));
    }
    return std::make_unique<upstream_fake>(options);
}

lookup_result lookUp(const std::string &host, const std::string &service)
{
    const auto answer = sendHttpRequest(host, "GET", "/v1/entry?service=" + service, {}, {}, std::chrono::milliseconds(1000));
    lookup_result found;
    if (answer.status != 200) {
        return found;
    }
    const auto parsed = boost::json::parse(answer.body);
    found.epoch = parsed.at("operationEpoch").as_string().c_str();
    for (const auto &entry : parsed.at("entries").as_array()) {
        found.entries.emplace_back(entry.at("address").as_string().c_str());
    }
    return found;
}

http_result sendWeighIn(const std::string &host, const std::string &key, const std::string &epoch, const std::string &body, std::chrono::milliseconds timeout)
{
    return sendHttpRequest(host, "POST", "/svc/weigh-in/bridge", {{"Idempotency-Key", key}, {"Hornbeampick-Epoch", epoch}}, body, timeout);
}

bool awaitServed(process_fleet &fleet, const std::string &service)
{
    return await([&] {
        for (std::size_t i = 0; i < process_fleet::hostCount; ++i) {
            const auto found = lookUp(fleet.http(i), service);
            const auto answer = service == "lookup" ? sendHttpRequest(fleet.http(i), "GET", "/svc/lookup/x")
                                                    : sendWeighIn(fleet.http(i), "warm-" + std::to_string(i) + found.epoch, found.epoch, "warm");
            if (answer.status != 200) {
                return false;
            }
        }
        return true;
    });
}

std::string outcomeOf(const http_result &answer)
{
    const auto found = answer.headers.find("Hornbeampick-Outcome");
    return found == answer.headers.end() ? "" : found->second;
}

} // namespace hornbeampick::testing
