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
    // Deaths after which a request is quarantined.
    std::size_t deathsToQuarantine = 2;
    milliseconds quarantine {600000};
};

/// Requests that upstreams died of, by digest. Thread-safe, a lock a shard.
class poison_registry
{
public:
    explicit poison_registry(const poison_options &options);

    /// Returns true when this death was not known before.
    bool report(const upstream_death &death, steady_time now);
    [[nodiscard]] bool isQuarantined(const digest &request, steady_time now) const;
    /// Reserves the only run of a request that already ended an upstream; requests without a death are not counted.
    /// Returns false while another run of it is under way, or when it is quarantined.
    bool begin(const digest &request, steady_time now);
    void end(const digest &request);
    /// Forgets what is over.
    void tick(steady_time now);
    [[nodiscard]] std::size_t size() const;

private:
    struct suspect {
        std::vector<upstream_death> deaths;
        steady_time lastDeath {};
        bool running = false;
    };
    using suspects = std::unordered_map<digest, suspect>;

    [[nodiscard]] bool quarantined(const suspect &known, steady_time now) const;

    poison_options m_options;
    shards<suspects> m_suspects;
};

} // namespace hornbeampick
