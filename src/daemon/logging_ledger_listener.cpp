#include "daemon/logging_ledger_listener.h"

#include "observe/log.h"

#include <array>

namespace hornbeampick
{

namespace
{

std::string_view textOf(replica_role role)
{
    constexpr std::array names {"follower", "pre-candidate", "candidate", "leader", "learner", "stopped", "absent"};
    return names.at(static_cast<std::size_t>(role));
}

} // namespace

void logging_ledger_listener::onRecordsDamaged(std::error_code reason)
{
    logEvent(log_level::error, "replica-records-set-aside", {errorField(reason)});
}

void logging_ledger_listener::onStopped(std::error_code reason)
{
    logEvent(log_level::error, "replica-stopped", {errorField(reason)});
}

void logging_ledger_listener::onRecovered()
{
    logEvent(log_level::info, "replica-recovered");
}

void logging_ledger_listener::onRoleChanged(const replica_view &view)
{
    logRateLimited(log_level::info, "replica-role",
                   {{"role", std::string(textOf(view.role))},
                    {"term", static_cast<std::int64_t>(view.term)},
                    {"leader", view.leader ? view.leader->address : std::string()},
                    {"voters", static_cast<std::int64_t>(view.config.voters.size())},
                    {"learners", static_cast<std::int64_t>(view.config.learners.size())},
                    {"commit", static_cast<std::int64_t>(view.commit)}});
}

void logging_ledger_listener::onSlowDisk(milliseconds time)
{
    logRateLimited(log_level::warning, "replica-disk-slow", {{"storedInMs", static_cast<std::int64_t>(time.count())}});
}

} // namespace hornbeampick
