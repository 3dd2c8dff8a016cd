#include "daemon/fleet_agent.h"

#include "core/digest.h"
#include "daemon/await_callback.h"
#include "fleet/spread_tree.h"
#include "observe/log.h"
#include "steering/ownership.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr milliseconds fetchTimeout {5000};
constexpr milliseconds poisonTimeout {300};
// Period for which a changed upstream record is passed on; the comparison of digests repairs missed changes.
constexpr milliseconds recentReportLifetime {5000};
// Largest fleet whose full member table is sent whenever the digests differ.
constexpr std::size_t maxFullTableMembers = 64;
// Largest number of peers to which one host reports a poisoned request.
constexpr std::size_t maxPoisonRecipients = 512;

// Digest of what other hosts must know about an upstream; its load concerns only its owner.
std::uint64_t digestOfReport(const upstream_report &report)
{
    return stableHash(report.instance.view(), report.incarnation * 8 + static_cast<std::uint64_t>(report.state));
}

bool differsForOthers(const upstream_report &a, const upstream_report &b)
{
    return a.incarnation != b.incarnation || a.state != b.state || a.address != b.address || a.slots != b.slots;
}

} // namespace

fleet_agent::fleet_agent(const fleet_agent_parts &parts, const fleet_agent_options &options)
    : m_parts(parts)
    , m_options(options)
    , m_planner(parts.self.host, options.seeds, {})
{
}

asio::awaitable<void> fleet_agent::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!m_stopped) {
        startExchangeRound();
        timer.expires_after(m_options.exchangeInterval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void fleet_agent::startExchangeRound()
{
    const control_work_timer work(&m_parts.meter, "exchange");
    m_parts.members.tick(m_parts.clock.now());
    updatePlacement();
    updateCapPartition();
    const auto members = m_parts.members.members();
    const auto watch = watchedHosts();
    for (const auto &target : m_planner.nextTargets(members, watch, m_parts.random)) {
        exchangeWith(target);
    }
}

void fleet_agent::stop()
{
    m_stopped = true;
}

exchange_message fleet_agent::onExchange(const exchange_message &message)
{
    mergeMessage(message);
    const bool small = m_parts.members.members().size() <= maxFullTableMembers;
    const bool membersDiffer = message.membersDigest != m_parts.members.tableDigest();
    const bool sameRegion = message.sender.region == m_parts.self.region;
    const bool upstreamsDiffer = sameRegion && message.upstreamsDigest != upstreamsDigest();
    auto reply = makeMessage(message.wantAll || (small && membersDiffer) || upstreamsDiffer);
    if (!sameRegion) {
        reply.upstreams.clear();
    }
    return reply;
}

void fleet_agent::onNotice(const rules_notice &notice)
{
    if (notice.appliedIndex > m_parts.rules.state()->appliedIndex) {
        fetchFrom(notice.senderAddress, notice.root);
    }
}

void fleet_agent::onAnnounce(const upstream_report &report, bool relayToOwner)
{
    const auto owner = ownerOfUpstream(report);
    const auto region = m_parts.fleet.regionOf(report.domain);
    if (region == m_parts.self.region) {
        const auto before = m_parts.gate.reports();
        const auto known = std::ranges::find(before, report.instance, &upstream_report::instance);
        if (known == before.end() || differsForOthers(*known, report)) {
            const std::lock_guard guard(m_recentReportsLock);
            m_recentReports[report.instance] = {.report = report, .changedAt = m_parts.clock.now()};
        }
        m_parts.gate.announce(report, true);
        if (known == before.end()) {
            updatePlacement();
        }
    }
    if (!relayToOwner || !owner || *owner == m_parts.self.host) {
        return;
    }
    if (const auto host = m_parts.members.find(*owner)) {
        m_parts.peers.relayAnnounce(host->rpcAddress, report);
    }
}

void fleet_agent::onLedger(const ledger_state &state, bool isLeader)
{
    if (m_parts.rules.update(state) && isLeader) {
        notifyChildren(m_parts.self.host);
    }
}

asio::awaitable<void> fleet_agent::broadcast(const upstream_death &death)
{
    std::vector<fleet_member> recipients;
    for (const auto &member : m_parts.members.members()) {
        if (member.host != m_parts.self.host && member.serves() && recipients.size() < maxPoisonRecipients) {
            recipients.push_back(member);
        }
    }
    if (recipients.empty()) {
        co_return;
    }
    auto start = [this, &recipients, &death](const std::function<void(bool)> &done) {
        auto remaining = std::make_shared<std::atomic<std::size_t>>(recipients.size());
        for (const auto &member : recipients) {
            m_parts.peers.reportPoison(member.rpcAddress, death, poisonTimeout, [remaining, done](const result<bool> &) {
                if (remaining->fetch_sub(1) == 1) {
                    done(true);
                }
            });
        }
    };
    co_await awaitCallback<bool>(std::move(start));
}

std::optional<host_name> fleet_agent::ownerOfUpstream(const upstream_report &report) const
{
    return ownerOf(report.instance.view(), candidatesFor(report.domain));
}

bool fleet_agent::isKnownDomain(const domain_name &domain) const
{
    return m_parts.fleet.regionOf(domain).has_value();
}

bool fleet_agent::isCutOff() const
{
    bool othersKnown = false;
    for (const auto &member : m_parts.members.members()) {
        othersKnown = othersKnown || member.domain != m_parts.self.domain;
    }
    const auto answering = m_parts.members.contactedWithin(m_options.cutOffAfter, m_parts.clock.now());
    const bool othersAnswer = std::ranges::any_of(answering, [&](const fleet_member &member) { return member.domain != m_parts.self.domain; });
    return othersKnown && !othersAnswer;
}

std::size_t fleet_agent::reachableMemberCount(const claim_group &group) const
{
    const auto answering = m_parts.members.contactedWithin(m_options.cutOffAfter, m_parts.clock.now());
    const auto reachable = std::ranges::count_if(group.members, [&](const epoch_member &member) {
        return std::ranges::any_of(answering, [&](const fleet_member &each) { return each.host == member.host && each.incarnation == member.incarnation; });
    });
    return static_cast<std::size_t>(reachable);
}

exchange_message fleet_agent::makeMessage(bool full) const
{
    const auto now = m_parts.clock.now();
    exchange_message message;
    message.sender = m_parts.members.self();
    if (full) {
        const auto all = m_parts.members.members();
        message.members.assign(all.begin(), all.end());
    } else {
        message.members = m_parts.members.recentChanges(now);
    }
    message.membersDigest = m_parts.members.tableDigest();
    message.upstreamsDigest = upstreamsDigest();
    message.appliedIndex = m_parts.rules.state()->appliedIndex;
    message.loads = m_parts.gate.loads();
    if (full) {
        message.upstreams = m_parts.gate.reports();
        return message;
    }
    const std::lock_guard guard(m_recentReportsLock);
    for (const auto &[instance, recent] : m_recentReports) {
        if (now < recent.changedAt + recentReportLifetime) {
            message.upstreams.push_back(recent.report);
        }
    }
    return message;
}

void fleet_agent::exchangeWith(const exchange_target &target)
{
    auto message = makeMessage(false);
    const auto known = m_parts.members.find(target.host);
    if (!known || known->region != m_parts.self.region) {
        message.upstreams.clear();
    }
    m_parts.peers.exchange(target.address, message, m_options.exchangeTimeout, [this, target](const result<exchange_message> &reply) {
        if (m_stopped) {
            return;
        }
        if (!reply) {
            m_parts.members.onExchangeFailed(target.host, m_parts.clock.now());
            return;
        }
        mergeMessage(reply.value());
    });
}

void fleet_agent::mergeMessage(const exchange_message &message)
{
    const auto now = m_parts.clock.now();
    const auto before = m_parts.members.revision();
    m_parts.members.merge(message.sender, now);
    for (const auto &member : message.members) {
        m_parts.members.merge(member, now);
    }
    m_parts.members.onExchangeSucceeded(message.sender.host, now);
    for (const auto &load : message.loads) {
        m_parts.loads.onReport(load.service, message.sender.host, message.sender.region, load.load, now);
    }
    if (message.sender.region == m_parts.self.region) {
        for (const auto &report : message.upstreams) {
            m_parts.gate.announce(report, false);
        }
    }
    if (before != m_parts.members.revision() || !message.upstreams.empty()) {
        updatePlacement();
    }
    if (message.appliedIndex > m_parts.rules.state()->appliedIndex) {
        fetchFrom(message.sender.rpcAddress, {});
    }
}

std::uint64_t fleet_agent::upstreamsDigest() const
{
    std::uint64_t total = 0;
    for (const auto &report : m_parts.gate.reports()) {
        total ^= digestOfReport(report);
    }
    return total;
}

void fleet_agent::fetchFrom(const std::string &address, const host_name &root)
{
    if (m_fetching.exchange(true)) {
        return;
    }
    const auto state = m_parts.rules.state();
    const rules_position have {.index = state->appliedIndex, .version = m_fullTextWanted ? 0 : state->version};
    m_parts.peers.fetchRules(address, have, fetchTimeout, [this, root](const result<std::optional<rules_update>> &reply) {
        m_fetching = false;
        if (!reply || !reply.value()) {
            return;
        }
        const control_work_timer work(&m_parts.meter, "spread");
        const auto updated = m_parts.rules.update(*reply.value());
        // If the patches were not against the text in force, the next exchange fetches the full text.
        m_fullTextWanted = !updated;
        if (updated && updated.value() && !root.empty()) {
            notifyChildren(root);
        }
    });
}

void fleet_agent::notifyChildren(const host_name &root)
{
    const auto self = m_parts.members.self();
    const rules_notice notice {.appliedIndex = m_parts.rules.state()->appliedIndex, .root = root, .senderAddress = self.rpcAddress};
    for (const auto &child : spreadChildren(m_parts.members.members(), self.host, root, m_options.spreadFanout)) {
        m_parts.peers.notifyRules(child.rpcAddress, notice);
    }
}

void fleet_agent::updatePlacement()
{
    const auto rules = m_parts.rules.rules();
    const wall_ms wallNow = m_parts.clock.wallNow();
    const auto members = m_parts.members.members();
    // Caches the candidates, which are the same for all upstreams of a failure domain.
    std::map<domain_name, std::vector<host_name>> candidates;
    m_parts.gate.place([&](const upstream_report &report) -> request_gate::placement {
        auto known = candidates.find(report.domain);
        if (known == candidates.end()) {
            known = candidates.emplace(report.domain, candidatesFor(report.domain)).first;
        }
        const auto owner = ownerOf(report.instance.view(), known->second);
        const bool shared
            = std::ranges::any_of(members, [&](const fleet_member &member) { return member.host != m_parts.self.host && member.domain == report.domain; });
        const bool drained = rules
            && (rules->isDrained(drain_target::upstream, report.instance.view(), wallNow)
                || rules->isDrained(drain_target::failureDomain, report.domain.view(), wallNow)
                || rules->isDrained(drain_target::region, m_parts.self.region.view(), wallNow));
        return {.owned = owner == m_parts.self.host, .immediate = !shared && report.domain == m_parts.self.domain, .drained = drained};
    });
}

void fleet_agent::updateCapPartition()
{
    const auto hosts = m_parts.members.servingIn(m_parts.self.domain);
    const auto found = std::ranges::find(hosts, m_parts.self.host, &fleet_member::host);
    if (found != hosts.end()) {
        const auto position = static_cast<std::size_t>(found - hosts.begin());
        const auto now = m_parts.clock.now();
        m_parts.caps.setPartition({.index = position, .count = hosts.size()}, now, now + m_options.capSettleTime + window_limiter::window);
    }
}

// Returns the serving hosts of the failure domain; if there are none, all those of its region.
std::vector<host_name> fleet_agent::candidatesFor(const domain_name &domain) const
{
    const auto rules = m_parts.rules.rules();
    const wall_ms now = m_parts.clock.wallNow();
    std::vector<host_name> hosts;
    const auto add = [&](const std::vector<fleet_member> &members) {
        for (const auto &member : members) {
            if (!rules || !rules->isDrained(drain_target::host, member.host.view(), now)) {
                hosts.push_back(member.host);
            }
        }
    };
    add(m_parts.members.servingIn(domain));
    if (hosts.empty()) {
        if (const auto region = m_parts.fleet.regionOf(domain)) {
            add(m_parts.members.servingIn(*region));
        }
    }
    return hosts;
}

std::vector<host_name> fleet_agent::watchedHosts() const
{
    std::vector<host_name> hosts;
    if (const auto group = m_parts.epochs.current(m_parts.self.region)) {
        for (const auto &member : group->members) {
            if (member.host != m_parts.self.host) {
                hosts.push_back(member.host);
            }
        }
    }
    return hosts;
}

} // namespace hornbeampick
