#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/shards.h"
#include "steering/service_pool.h"
#include "steering/steering_table.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace hornbeampick
{

/// A peer that can admit requests, with the estimate of its free slots; negative when requests are queued there.
struct load_candidate {
    host_name host;
    std::uint32_t slots = 0;
    std::int64_t free = 0;
};

/// Adds the load of this host's own pools to the totals by region.
void addLoad(std::vector<region_load> &regions, const region_name &region, const pool_load &load);

/// The load of other hosts, from their reports and the requests that this host has forwarded to them since.
/// Thread-safe; one lock per shard of services.
class load_view
{
public:
    /// Reports that are `staleAfter` old or older are ignored.
    explicit load_view(milliseconds staleAfter);

    void onReport(const service_name &service, const host_name &host, const region_name &region, const pool_load &load, steady_time now);
    void onForwarded(const service_name &service, const host_name &host);
    /// Records the end of a forwarded request. `load` is the newer load from its reply, or null.
    void onForwardEnded(const service_name &service, const host_name &host, const pool_load *load, steady_time now);
    void removeHost(const host_name &host);

    /// Returns the hosts of `region` with slots of the service, most free slots first. The random value `turn` rotates hosts with
    /// equally many.
    [[nodiscard]] std::vector<load_candidate> candidates(const service_name &service, const region_name &region, steady_time now, std::uint64_t turn) const;
    /// Returns the totals by region, for steering and for operators.
    [[nodiscard]] std::vector<region_load> regions(const service_name &service, steady_time now) const;

private:
    struct peer_load {
        region_name region;
        pool_load load;
        steady_time reportedAt {};
        // Requests forwarded since the report and not finished.
        std::uint32_t pending = 0;
    };
    using peer_loads = std::map<service_name, std::map<host_name, peer_load>>;

    milliseconds m_staleAfter;
    shards<peer_loads> m_loads;
};

} // namespace hornbeampick
