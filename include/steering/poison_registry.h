#pragma once

#include "core/clock.h"
#include "core/digest.h"
#include "core/names.h"
#include "core/shards.h"
#include "fleet/upstream_death.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace hornbeampick
{

struct poison_options {
    // Number of upstream deaths after which a request is quarantined.
    std::size_t deathsToQuarantine = 2;
    // Quarantine time after the last death.
    milliseconds quarantine {600000};
};

/// Tracks poison requests, which upstreams have died of, by digest. Thread-safe; one lock per shard.
class poison_registry
{
public:
    explicit poison_registry(const poison_options &options);

    /// Records the death of an upstream. Returns true when this death was not known before.
    bool report(const upstream_death &death, steady_time now);
    [[nodiscard]] bool isQuarantined(const digest &request, steady_time now) const;
    /// Reserves the single concurrent execution of a request that an upstream has already died of; other requests are not limited.
    /// Returns false while another execution is in progress or when the request is quarantined.
    bool begin(const digest &request, steady_time now);
    /// Releases the reservation made by `begin`.
    void end(const digest &request);
    /// Removes requests that are not running and whose quarantine time is over.
    void tick(steady_time now);
    [[nodiscard]] std::size_t size() const;

private:
    struct suspect {
        std::vector<upstream_death> deaths;
        steady_time lastDeath {};
        bool running = false;
    };
    using suspects = std::unordered_map<digest, suspect>;

    [[nodiscard]] bool inQuarantine(const suspect &known, steady_time now) const;

    poison_options m_options;
    shards<suspects> m_suspects;
};

} // namespace hornbeampick
