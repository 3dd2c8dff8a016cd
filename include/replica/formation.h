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

/// A host named in the settings to vote when the log is first formed.
struct bootstrap_voter {
    host_name host;
    std::string address;
};

/// Asks a listed voter about the log, offers it the first configuration, or asks to be added.
struct form_request {
    replica_id sender;
    std::optional<replica_config> config;
    bool join = false;
};

struct form_reply {
    bool formed = false;
    replica_id self;
    replica_config config;
};

struct addressed_form {
    std::string address;
    form_request request;
};

/// Brings a new disk into the log: forms it when every listed voter is new,
/// asks to be added as soon as one of them is formed.
///
/// An emptied disk therefore never counts as the voter that it once was. A disk that is known to have lost
/// records, or that starts after the fleet did, only asks to be added: a log that was formed once is never formed again over what was accepted.
class formation
{
public:
    struct options {
        replica_id self;
        std::vector<bootstrap_voter> listed;
        milliseconds retry {300};
        // Only joins a log that exists; never forms one.
        bool joinsOnly = false;
    };

    explicit formation(options given);

    /// Requests to send now.
    std::vector<addressed_form> tick(steady_time now);
    void onReply(const form_reply &reply);
    /// Answers another new disk; may adopt the configuration it offers.
    form_reply onRequest(const form_request &request);

    /// The configuration to start with, once there is one.
    [[nodiscard]] const std::optional<replica_config> &adopted() const
    {
        return m_adopted;
    }

private:
    [[nodiscard]] bool proposes() const;
    [[nodiscard]] std::optional<replica_config> firstConfig() const;

    options m_options;
    steady_time m_next {};
    // New disks heard of, by host.
    std::map<host_name, replica_id> m_unformed;
    bool m_peerFormed = false;
    // Members of the log that exists, beyond the listed ones.
    std::set<std::string> m_memberAddresses;
    std::optional<replica_config> m_adopted;
};

} // namespace hornbeampick
