#pragma once

#include "core/clock.h"
#include "replica/replica_types.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace hornbeampick
{

/// A host that the settings list as a voter of the first configuration.
struct bootstrap_voter {
    host_name host;
    std::string address;
};

/// Queries another host about the log, proposes the first configuration to it, or requests to join an existing log.
struct form_request {
    replica_id sender;
    // The first configuration, when the sender proposes one.
    std::optional<replica_config> config;
    // True when the sender requests to be added to an existing log.
    bool join = false;
};

/// State of the log as the queried host knows it.
struct form_reply {
    bool formed = false;
    replica_id self;
    replica_config config;
};

/// A request and the "ip:port" of the peer endpoint to which it goes.
struct addressed_form_request {
    std::string address;
    form_request request;
};

/// Bootstraps the replica of a new disk: forms the log when the disks of all bootstrap voters are new,
/// and requests to join as soon as one of them reports that the log exists.
///
/// An emptied disk gets a new identity and therefore never counts as the voter that it was before. A disk that is known to have lost
/// records, or that is added after the fleet's first start, only requests to join: forming an existing log again would discard accepted changes.
/// Single-threaded; sends nothing itself.
class formation
{
public:
    struct options {
        replica_id self;
        std::vector<bootstrap_voter> bootstrapVoters;
        milliseconds retryInterval {300};
        // Requests to join an existing log and never forms one.
        bool joinOnly = false;
    };

    explicit formation(options formationOptions);

    /// Returns the requests that are due; empty between two retry intervals and once a configuration is adopted.
    std::vector<addressed_form_request> tick(steady_time now);
    void onReply(const form_reply &reply);
    /// Answers the request of another host; adopts the proposed configuration when this disk is one of its voters.
    form_reply onRequest(const form_request &request);

    /// Returns the configuration with which the replica starts; empty until the log is formed.
    [[nodiscard]] const std::optional<replica_config> &adoptedConfig() const
    {
        return m_adoptedConfig;
    }

private:
    [[nodiscard]] bool isProposer() const;
    [[nodiscard]] std::optional<replica_config> initialConfig() const;

    options m_options;
    steady_time m_nextSend {};
    // Disks without a configuration, by host; includes this one.
    std::map<host_name, replica_id> m_newReplicas;
    bool m_peerFormed = false;
    // Peer addresses of the existing log's voters, which need not be bootstrap voters.
    std::set<std::string> m_memberAddresses;
    std::optional<replica_config> m_adoptedConfig;
};

} // namespace hornbeampick
