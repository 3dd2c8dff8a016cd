#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/shards.h"
#include "rules/routing_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace hornbeampick
{

struct link_limiter_options {
    /// Capacity of this host's network link in each direction, in megabits per second; 0 when it is unknown, which disables the limit.
    double megabitsPerSecond = 0;
};

/// A request that asks for a share of the link.
struct link_request {
    service_name service;
    request_kind kind = request_kind::runOnce;
    // Priority of the request; 0 is the most urgent.
    std::uint32_t priority = 0;
};

/// Rejects requests whose traffic would fill the link of this host: packets would then wait longer than callers do, and all requests
/// would be late rather than some rejected. Requests are admitted by the bytes that they are expected to cost, less urgent ones only
/// while the link has more to spare. Thread-safe.
class link_limiter
{
public:
    explicit link_limiter(const link_limiter_options &options = {});

    /// Reserves the expected bytes of a request. Returns empty when it is admitted, otherwise the time after which it could be.
    [[nodiscard]] std::optional<milliseconds> admit(const link_request &request, steady_time now);
    /// Records how many bytes of content an admitted request has cost in each direction.
    void finish(const link_request &request, std::size_t bytes);

private:
    using expected_bytes = std::map<std::pair<service_name, request_kind>, double>;

    [[nodiscard]] double expectedOf(const link_request &request) const;

    double m_bytesPerSecond;
    // Average bytes of a request, by service and kind: a service answers short reads and large downloads.
    shards<expected_bytes> m_expected;

    std::mutex m_lock;
    // Guarded by m_lock.
    double m_available;
    steady_time m_refilledAt {};
};

} // namespace hornbeampick
