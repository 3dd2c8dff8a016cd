#pragma once

#include "daemon/fleet_agent.h"
#include "daemon/front_end.h"
#include "http/http_server.h"
#include "replica/replica_node.h"
#include "rpc/peer_client.h"
#include "steering/service_pool.h"

#include "settings.pb.h"

#include <string>
#include <vector>

namespace hornbeampick
{

/// Conversions from validated settings to the options of the daemon's components.

location locationOf(const schema::daemon_settings &settings);
tls_files tlsOf(const schema::daemon_settings &settings);
std::vector<bootstrap_voter> votersOf(const schema::daemon_settings &settings);
std::vector<std::string> voterAddresses(const schema::daemon_settings &settings);
front_end_options frontOptions(const schema::daemon_settings &settings);
pool_options poolOptions(const schema::daemon_settings &settings);
fleet_agent_options agentOptions(const schema::daemon_settings &settings);
/// Returns this host's member record, without addresses.
fleet_member selfOf(const schema::daemon_settings &settings, std::uint64_t incarnation);
/// Returns how long a load report of another host remains valid.
milliseconds loadLifetime(const schema::daemon_settings &settings);
replica_node_options replicaOptions(const schema::daemon_settings &settings, const std::string &address);
http_server_options httpOptions(const schema::daemon_settings &settings);

} // namespace hornbeampick
