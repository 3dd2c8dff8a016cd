#include "replica/formation.h"

#include <algorithm>

namespace hornbeampick
{

formation::formation(replica_id self, std::vector<bootstrap_voter> listed, milliseconds retry)
    : m_self(std::move(self))
    , m_listed(std::move(listed))
    , m_retry(retry)
{
    m_unformed[m_self.host] = m_self;
}

std::vector<addressed_form> formation::tick(steady_time now)
{
    std::vector<addressed_form> requests;
    if (m_adopted || now < m_next) {
        return requests;
    }
    m_next = now + m_retry;
    const auto config = m_peerFormed ? std::nullopt : firstConfig();
    if (config) {
        m_adopted = config;
    }
    for (const auto &voter : m_listed) {
        if (voter.host != m_self.host) {
            requests.push_back({.address = voter.address, .request = {.sender = m_self, .config = config, .join = m_peerFormed}});
        }
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
    // A configuration that already names this very disk was formed with it.
    if (reply.config.isVoter(m_self.disk)) {
        m_adopted = reply.config;
    }
}

form_reply formation::onRequest(const form_request &request)
{
    m_unformed[request.sender.host] = request.sender;
    if (request.config && request.config->isVoter(m_self.disk)) {
        m_adopted = request.config;
    }
    return {.formed = m_adopted.has_value(), .self = m_self, .config = m_adopted.value_or(replica_config {})};
}

bool formation::proposes() const
{
    const auto first = std::ranges::min_element(m_listed, {}, &bootstrap_voter::host);
    return first != m_listed.end() && first->host == m_self.host;
}

std::optional<replica_config> formation::firstConfig() const
{
    if (!proposes()) {
        return std::nullopt;
    }
    replica_config config;
    for (const auto &voter : m_listed) {
        const auto found = m_unformed.find(voter.host);
        if (found == m_unformed.end()) {
            return std::nullopt;
        }
        config.voters.push_back(found->second);
    }
    return config;
}

} // namespace hornbeampick
