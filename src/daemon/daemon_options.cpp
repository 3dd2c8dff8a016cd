#include "daemon_options.h"

namespace hornbeampick
{

namespace
{

// Number of exchange intervals after which the last load report of a host that no longer answers expires.
constexpr int loadLifetimeExchanges = 12;
constexpr int heartbeatsPerElectionTimeout = 6;

} // namespace

location locationOf(const schema::daemon_settings &settings)
{
    return {.host = host_name(settings.host()), .region = region_name(settings.region()), .domain = domain_name(settings.failure_domain())};
}

tls_files tlsOf(const schema::daemon_settings &settings)
{
    const auto &tls = settings.tls();
    return {.certificate = tls.certificate(), .key = tls.key(), .authority = tls.authority(), .plainText = tls.plain_text()};
}

std::vector<bootstrap_voter> votersOf(const schema::daemon_settings &settings)
{
    std::vector<bootstrap_voter> voters;
    for (const auto &voter : settings.voters()) {
        voters.push_back({.host = host_name(voter.host()), .address = voter.address()});
    }
    return voters;
}

std::vector<std::string> voterAddresses(const schema::daemon_settings &settings)
{
    std::vector<std::string> addresses;
    for (const auto &voter : settings.voters()) {
        addresses.push_back(voter.address());
    }
    return addresses;
}

front_end_options frontOptions(const schema::daemon_settings &settings)
{
    front_end_options options;
    for (const auto &service : settings.services()) {
        options.services[service.name()] = {.idempotent = service.idempotent(), .timeout = milliseconds(service.timeout_ms())};
    }
    options.lookupTtl = milliseconds(settings.timing().lookup_ttl_ms());
    options.announceTtl = milliseconds(settings.timing().announce_ttl_ms());
    return options;
}

pool_options poolOptions(const schema::daemon_settings &settings)
{
    return {
        .announceTtl = milliseconds(settings.timing().announce_ttl_ms()),
        .queueLimit = milliseconds(settings.limits().queue_ms()),
        .slowStart = milliseconds(settings.timing().slow_start_ms()),
        .handover = milliseconds(settings.timing().suspect_ms()),
    };
}

fleet_agent_options agentOptions(const schema::daemon_settings &settings)
{
    fleet_agent_options options;
    options.seeds.assign(settings.seeds().begin(), settings.seeds().end());
    options.exchangeInterval = milliseconds(settings.timing().exchange_ms());
    options.exchangeTimeout = milliseconds(settings.timing().suspect_ms() / 2);
    options.cutOffAfter = milliseconds(settings.timing().dead_ms());
    options.capSettleTime = milliseconds(settings.timing().suspect_ms());
    return options;
}

fleet_member selfOf(const schema::daemon_settings &settings, std::uint64_t incarnation)
{
    return {
        .host = host_name(settings.host()),
        .httpAddress = {},
        .rpcAddress = {},
        .region = region_name(settings.region()),
        .domain = domain_name(settings.failure_domain()),
        .incarnation = incarnation,
        .sequence = 0,
        .state = member_state::alive,
    };
}

milliseconds loadLifetime(const schema::daemon_settings &settings)
{
    return milliseconds(settings.timing().exchange_ms()) * loadLifetimeExchanges;
}

replica_node_options replicaOptions(const schema::daemon_settings &settings, const std::string &address)
{
    replica_node_options options;
    options.host = host_name(settings.host());
    options.address = address;
    options.bootstrap = votersOf(settings);
    options.electionTimeout = milliseconds(settings.timing().election_ms());
    options.heartbeat = options.electionTimeout / heartbeatsPerElectionTimeout;
    return options;
}

http_server_options httpOptions(const schema::daemon_settings &settings)
{
    const auto &limits = settings.limits();
    http_server_options options;
    options.address = settings.http().address();
    options.port = static_cast<std::uint16_t>(settings.http().port());
    options.headerBytes = limits.header_bytes();
    options.bodyBytes = limits.body_bytes();
    options.connections = limits.connections();
    options.idleTimeout = milliseconds(limits.idle_ms());
    options.headerTimeout = milliseconds(limits.header_ms());
    return options;
}

} // namespace hornbeampick
