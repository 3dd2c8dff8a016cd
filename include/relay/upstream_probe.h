#pragma once

#include "core/clock.h"
#include "steering/upstream_reachability.h"

#include <boost/asio/awaitable.hpp>
#include <string>
#include <vector>

namespace hornbeampick
{

/// Opens a connection to each address, "ip:port", and closes it at once. Ends as soon as one of them is established, or when all have
/// failed or the timeout has passed. Must run on a single-threaded executor.
boost::asio::awaitable<probe_outcome> probeUpstreams(std::vector<std::string> addresses, milliseconds timeout);

} // namespace hornbeampick
