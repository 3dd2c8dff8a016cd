#include "node/departure_confirmer.h"

#include "daemon/await_callback.h"
#include "observe/log.h"

namespace hornbeampick
{

namespace
{

// Upstreams time out their calls after 1 s, so that the response must be sent earlier.
constexpr milliseconds confirmTimeout {700};

} // namespace

departure_confirmer::departure_confirmer(const departure_confirmer_parts &parts)
    : m_parts(parts)
{
}

boost::asio::awaitable<status> departure_confirmer::confirm(instance_name instance, std::uint64_t position)
{
    const auto startedAt = m_parts.clock.now();
    if (!m_parts.hosts.isFleetKnown()) {
        logEvent(log_level::warning, "leaving-not-confirmed", {{"instance", instance.string()}, {"known", false}, {"fleetKnown", false}});
        co_return make_error_code(errc::notConfirmed);
    }
    const auto deadline = startedAt + confirmTimeout;
    auto startSave = [this, position, deadline](std::function<void(bool)> done) { m_parts.saver.awaitSaved(position, deadline, std::move(done)); };
    const bool isSaved = co_await awaitCallback<bool>(startSave);
    // Last, since entry hosts may start or fall silent during the save. They are told of the departure meanwhile.
    auto startAcknowledgement
        = [this, position, deadline](std::function<void(bool)> done) { m_parts.watchServer.awaitAcknowledgement(position, deadline, std::move(done)); };
    bool isAcknowledged = false;
    if (isSaved) {
        isAcknowledged = co_await awaitCallback<bool>(startAcknowledgement);
    }
    const auto now = m_parts.clock.now();
    const auto presence = m_parts.hosts.presence(now);
    logEvent(isAcknowledged ? log_level::info : log_level::warning, isAcknowledged ? "leaving-confirmed" : "leaving-not-confirmed",
             {{"instance", instance.string()},
              {"saved", isSaved},
              {"known", isAcknowledged},
              {"waitedMs", static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(now - startedAt).count())},
              {"listed", static_cast<std::int64_t>(presence.listed)},
              {"absent", static_cast<std::int64_t>(presence.absent)},
              {"contactAgeMs", static_cast<std::int64_t>(presence.contactAge.count())}});
    if (!isAcknowledged) {
        co_return make_error_code(errc::notConfirmed);
    }
    co_return success();
}

} // namespace hornbeampick
