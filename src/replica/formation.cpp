#include "replica/formation.h"

#include <algorithm>

namespace hornbeampick
{

formation::formation(options formationOptions)
    : m_options(std::move(formationOptions))
{
    m_newReplicas[m_options.self.host] = m_options.self;
}

std::vector<addressed_form_request> formation::tick(steady_time now)
{
    std::vector<addressed_form_request> requests;
    if (m_adoptedConfig || now < m_nextSend) {
        return requests;
    }
    m_nextSend = now + m_options.retryInterval;
    const bool joining = m_peerFormed || m_options.joinOnly;
    const auto config = joining ? std::nullopt : initialConfig();
    if (config) {
        m_adoptedConfig = config;
    }
    std::set<std::string> addresses = joining ? m_memberAddresses : std::set<std::string>();
    for (const auto &voter : m_options.bootstrapVoters) {
        addresses.insert(voter.address);
    }
    addresses.erase(m_options.self.address);
    for (const auto &address : addresses) {
        requests.push_back({.address = address, .request = {.sender = m_options.self, .config = config, .join = joining}});
    }
    return requests;
}

void formation::onReply(const form_reply &reply)
{
    // A host whose replica has stopped sends an empty reply.
    if (reply.self.host.empty()) {
        return;
    }
    if (!reply.formed) {
        m_newReplicas[reply.self.host] = reply.self;
        return;
    }
    m_peerFormed = true;
    // Only the leader accepts join requests, and it need not be a bootstrap voter.
    for (const auto &member : reply.config.voters) {
        m_memberAddresses.insert(member.address);
    }
    // A configuration that lists this disk identity was formed with it.
    if (reply.config.isVoter(m_options.self.disk)) {
        m_adoptedConfig = reply.config;
    }
}

form_reply formation::onRequest(const form_request &request)
{
    if (!request.join) {
        m_newReplicas[request.sender.host] = request.sender;
    }
    if (request.config && request.config->isVoter(m_options.self.disk)) {
        m_adoptedConfig = request.config;
    }
    // A disk that may only join reports the log as formed, so that no peer forms a new log over an existing one.
    return {.formed = m_adoptedConfig.has_value() || m_options.joinOnly, .self = m_options.self, .config = m_adoptedConfig.value_or(replica_config {})};
}

bool formation::isProposer() const
{
    const auto first = std::ranges::min_element(m_options.bootstrapVoters, {}, &bootstrap_voter::host);
    return first != m_options.bootstrapVoters.end() && first->host == m_options.self.host;
}

std::optional<replica_config> formation::initialConfig() const
{
    if (!isProposer()) {
        return std::nullopt;
    }
    replica_config config;
    for (const auto &voter : m_options.bootstrapVoters) {
        const auto found = m_newReplicas.find(voter.host);
        if (found == m_newReplicas.end()) {
            return std::nullopt;
        }
        config.voters.push_back(found->second);
    }
    return config;
}

} // namespace hornbeampick
