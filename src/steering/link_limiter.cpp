#include "steering/link_limiter.h"

#include "core/digest.h"

#include <algorithm>
#include <array>

namespace hornbeampick
{

namespace
{

constexpr double bytesPerMegabit = 125000;
// Fraction of the capacity that requests may use. The rest is for control traffic and for acknowledgements.
constexpr double usableFraction = 0.85;
// Traffic that may be admitted at once, as time on the link.
constexpr double burstSeconds = 0.25;
// Header fields of the request, and headers and handshakes of the transport.
constexpr double overheadBytes = 700;
// Cost of a request to a service before the first response, in bytes.
constexpr double initialBytes = 2500;
constexpr double initialDownloadBytes = 90000;
constexpr double smoothingFactor = 0.1;
// Fraction of the burst that requests of each priority leave to more urgent ones.
constexpr std::array priorityReserves {0.0, 0.15, 0.3};
// A single request is charged at most this fraction of the burst: a long response takes its time, and others pass beside it.
constexpr double maxCostFraction = 0.5;
constexpr milliseconds minRetryAfter {100};

double initialBytesOf(request_kind kind)
{
    return kind == request_kind::download ? initialDownloadBytes : initialBytes;
}

} // namespace

link_limiter::link_limiter(const link_limiter_options &options)
    : m_bytesPerSecond(usableFraction * bytesPerMegabit * options.megabitsPerSecond)
    , m_available(burstSeconds * m_bytesPerSecond)
{
}

std::optional<milliseconds> link_limiter::admit(const link_request &request, steady_time now)
{
    if (m_bytesPerSecond <= 0) {
        return std::nullopt;
    }
    const double burst = burstSeconds * m_bytesPerSecond;
    const double cost = std::min(expectedOf(request), maxCostFraction * burst);
    const double reserve = burst * priorityReserves.at(std::min<std::size_t>(request.priority, priorityReserves.size() - 1));
    const std::lock_guard guard(m_lock);
    if (m_refilledAt != steady_time {}) {
        const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
        m_available = std::min(burst, m_available + std::max(0.0, elapsed) * m_bytesPerSecond);
    }
    m_refilledAt = std::max(m_refilledAt, now);
    // A large response may not take what its priority leaves to more urgent requests.
    if (m_available < reserve + cost) {
        const double waitMs = (reserve + cost - m_available) / m_bytesPerSecond * 1000;
        return std::max(minRetryAfter, milliseconds(static_cast<std::int64_t>(waitMs)));
    }
    m_available -= cost;
    return std::nullopt;
}

void link_limiter::finish(const link_request &request, std::size_t bytes)
{
    if (m_bytesPerSecond <= 0) {
        return;
    }
    m_expected.with(stableHash(request.service.view()), [&](expected_bytes &all) {
        double &average = all.try_emplace({request.service, request.kind}, initialBytesOf(request.kind)).first->second;
        const double cost = std::min(static_cast<double>(bytes) + overheadBytes, maxCostFraction * burstSeconds * m_bytesPerSecond);
        average += smoothingFactor * (cost - average);
    });
}

double link_limiter::expectedOf(const link_request &request) const
{
    return m_expected.with(stableHash(request.service.view()), [&](const expected_bytes &all) {
        const auto found = all.find({request.service, request.kind});
        return found == all.end() ? initialBytesOf(request.kind) : found->second;
    });
}

} // namespace hornbeampick
