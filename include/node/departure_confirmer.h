#pragma once

#include "node/announcement_persister.h"
#include "node/watch_server.h"

#include <boost/asio/awaitable.hpp>

namespace hornbeampick
{

/// Dependencies of a departure confirmer. All must outlive it.
struct departure_confirmer_parts {
    entry_host_list &hosts;
    watch_server &watchServer;
    announcement_saver &saver;
    clock_source &clock;
};

/// Decides whether the departure of an upstream may be acknowledged: no entry host may go on sending requests to it unless it is out of touch
/// itself, and the departure must outlast a loss of power. Thread-safe.
class departure_confirmer
{
public:
    explicit departure_confirmer(const departure_confirmer_parts &parts);

    /// Waits until the departure of `instance`, which has the given position in the announcement log, is saved and known to all entry hosts that may
    /// serve callers. Errors: notConfirmed when that takes longer than 700 ms, or not all entry hosts are known yet.
    boost::asio::awaitable<status> confirm(instance_name instance, std::uint64_t position);

private:
    departure_confirmer_parts m_parts;
};

} // namespace hornbeampick
