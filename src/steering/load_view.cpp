#include "steering/load_view.h"

#include "core/digest.h"

#include <algorithm>
#include <iterator>

namespace hornbeampick
{

namespace
{

std::size_t shardOf(const service_name &service)
{
    return stableHash(service.view());
}

} // namespace

load_view::load_view(milliseconds staleAfter)
    : m_staleAfter(staleAfter)
{
}

void load_view::onReport(const service_name &service, const host_name &host, const region_name &region, const pool_load &load, steady_time now)
{
    m_loads.with(shardOf(service), [&](peer_loads &all) {
        auto &known = all[service][host];
        known.region = region;
        known.load = load;
        known.reportedAt = now;
        // The report already includes them.
        known.pending = 0;
    });
}

void load_view::onForwarded(const service_name &service, const host_name &host)
{
    m_loads.with(shardOf(service), [&](peer_loads &all) { ++all[service][host].pending; });
}

void load_view::onForwardEnded(const service_name &service, const host_name &host, const pool_load *load, steady_time now)
{
    m_loads.with(shardOf(service), [&](peer_loads &all) {
        auto &known = all[service][host];
        known.pending -= known.pending > 0 ? 1 : 0;
        if (load != nullptr) {
            known.load = *load;
            known.reportedAt = now;
        }
    });
}

void load_view::removeHost(const host_name &host)
{
    m_loads.forEach([&](peer_loads &all) {
        for (auto &[service, hosts] : all) {
            hosts.erase(host);
        }
    });
}

std::vector<load_candidate> load_view::candidates(const service_name &service, const region_name &region, steady_time now, std::uint64_t turn) const
{
    std::vector<load_candidate> chosen;
    m_loads.with(shardOf(service), [&](const peer_loads &all) {
        const auto found = all.find(service);
        if (found == all.end()) {
            return;
        }
        for (const auto &[host, known] : found->second) {
            if (known.region == region && known.load.slots > 0 && now < known.reportedAt + m_staleAfter) {
                chosen.push_back({.host = host, .slots = known.load.slots, .free = known.load.free() - known.pending});
            }
        }
    });
    if (!chosen.empty()) {
        std::rotate(chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(turn % chosen.size()), chosen.end());
    }
    std::ranges::stable_sort(chosen, std::ranges::greater {}, &load_candidate::free);
    return chosen;
}

void addLoad(std::vector<region_load> &regions, const region_name &region, const pool_load &load)
{
    auto sum = std::ranges::find(regions, region, &region_load::region);
    if (sum == regions.end()) {
        regions.push_back({.region = region});
        sum = std::prev(regions.end());
    }
    sum->slots += load.slots;
    sum->inFlight += load.inFlight;
}

std::vector<region_load> load_view::regions(const service_name &service, steady_time now) const
{
    std::map<region_name, region_load> sums;
    m_loads.with(shardOf(service), [&](const peer_loads &all) {
        const auto found = all.find(service);
        if (found == all.end()) {
            return;
        }
        for (const auto &[host, known] : found->second) {
            if (now < known.reportedAt + m_staleAfter) {
                auto &sum = sums[known.region];
                sum.region = known.region;
                sum.slots += known.load.slots;
                sum.inFlight += known.load.inFlight;
            }
        }
    });
    std::vector<region_load> loads;
    loads.reserve(sums.size());
    for (auto &[region, sum] : sums) {
        loads.push_back(std::move(sum));
    }
    return loads;
}

} // namespace hornbeampick
