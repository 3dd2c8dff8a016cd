#include "replica/formation.h"

#include <algorithm>

namespace hornbeampick
{

formation::formation(options given)
    : m_options(std::move(given))
{
    m_unformed[m_options.self.host] = m_options.self;
}

std::vector<addressed_form> formation::tick(steady_time now)
{
    std::vector<addressed_form> requests;
    if (m_adopted || now < m_next) {
        return requests;
    }
    m_next = now + m_options.retry;
    const bool joins = m_peerFormed || m_options.joinsOnly;
    const auto config = joins ? std::nullopt : firstConfig();
    if (config) {
        m_adopted = config;
    }
    std::set<std::string> addresses = joins ? m_memberAddresses : std::set<std::string>();
    for (const auto &voter : m_options.listed) {
        addresses.insert(voter.address);
    }
    addresses.erase(m_options.self.address);
    for (const auto &address : addresses) {
        requests.push_back({.address = address, .request = {.sender = m_options.self, .config = config, .join = joins}});
    }
    return requests;
}

void formation::onReply(const form_reply &reply)
{
    // A host without a working disk has nothing to say.
    if (reply.self.host.empty()) {
        return;
    }
    if (!reply.formed) {
        m_unformed[reply.self.host] = reply.self;
        return;
    }
    m_peerFormed = true;
    // Only the leader takes a wish to join, and it need not be a listed host.
    for (const auto &member : reply.config.voters) {
        m_memberAddresses.insert(member.address);
    }
    // A configuration that already names this very disk was formed with it.
    if (reply.config.isVoter(m_options.self.disk)) {
        m_adopted = reply.config;
    }
}

form_reply formation::onRequest(const form_request &request)
{
    if (!request.join) {
        m_unformed[request.sender.host] = request.sender;
    }
    if (request.config && request.config->isVoter(m_options.self.disk)) {
        m_adopted = request.config;
    }
    // Lost records are as good as a formed log to those that would form one.
    return {.formed = m_adopted.has_value() || m_options.joinsOnly, .self = m_options.self, .config = m_adopted.value_or(replica_config {})};
}

bool formation::proposes() const
{
    const auto first = std::ranges::min_element(m_options.listed, {}, &bootstrap_voter::host);
    return first != m_options.listed.end() && first->host == m_options.self.host;
}

std::optional<replica_config> formation::firstConfig() const
{
    if (!proposes()) {
        return std::nullopt;
    }
    replica_config config;
    for (const auto &voter : m_options.listed) {
        const auto found = m_unformed.find(voter.host);
        if (found == m_unformed.end()) {
            return std::nullopt;
        }
        config.voters.push_back(found->second);
    }
    return config;
}

} // namespace hornbeampick
