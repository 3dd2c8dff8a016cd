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

/// A peer that may admit a request, and what it is thought to have free.
struct load_candidate {
    host_name host;
    std::uint32_t slots = 0;
    std::int64_t free = 0;
};

/// Adds what this host itself can admit to the sums by region.
void addLoad(std::vector<region_load> &regions, const region_name &region, const pool_load &load);

/// What other hosts can admit, by their own reports and this host's requests to them since.
/// Thread-safe, a lock a shard of services.
class load_view
{
public:
    /// A report older than `staleAfter` counts as none.
    explicit load_view(milliseconds staleAfter);

    void onReport(const service_name &service, const host_name &host, const region_name &region, const pool_load &load, steady_time now);
    void onForwarded(const service_name &service, const host_name &host);
    /// The forwarded request ended; its reply may carry a newer load.
    void onReturned(const service_name &service, const host_name &host, const pool_load *load, steady_time now);
    void forget(const host_name &host);

    /// Hosts of `region` with slots of the service, most free first; equals in random order by `turn`.
    [[nodiscard]] std::vector<load_candidate> candidates(const service_name &service, const region_name &region, steady_time now, std::uint64_t turn) const;
    /// Sums by region, for steering and for operators.
    [[nodiscard]] std::vector<region_load> regions(const service_name &service, steady_time now) const;

private:
    struct peer_load {
        region_name region;
        pool_load load;
        steady_time reportedAt {};
        // Sent since the report and not returned yet.
        std::uint32_t pending = 0;
    };
    using peer_loads = std::map<service_name, std::map<host_name, peer_load>>;

    milliseconds m_staleAfter;
    shards<peer_loads> m_loads;
};

} // namespace hornbeampick
