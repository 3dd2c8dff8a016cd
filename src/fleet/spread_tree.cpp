#include "fleet/spread_tree.h"

#include <algorithm>
#include <map>

namespace hornbeampick
{

namespace
{

using hosts_by_domain = std::map<domain_name, std::vector<const fleet_member *>>;

// Groups the serving members by region and failure domain. Each list is sorted by host, except that the root comes first.
std::map<region_name, hosts_by_domain> groupMembers(std::span<const fleet_member> members, const host_name &root)
{
    std::map<region_name, hosts_by_domain> groups;
    for (const auto &member : members) {
        if (member.serves()) {
            groups[member.region][member.domain].push_back(&member);
        }
    }
    const auto rootFirst = [&root](const fleet_member *a, const fleet_member *b) {
        const bool aIsRoot = a->host == root;
        const bool bIsRoot = b->host == root;
        return aIsRoot != bIsRoot ? aIsRoot : a->host < b->host;
    };
    for (auto &[region, domains] : groups) {
        for (auto &[domain, hosts] : domains) {
            std::ranges::sort(hosts, rootFirst);
        }
    }
    return groups;
}

// Returns the host that receives a notification on behalf of its region: the root in its own region, otherwise the first host.
const fleet_member *regionHead(const hosts_by_domain &domains, const host_name &root)
{
    for (const auto &[domain, hosts] : domains) {
        if (hosts.front()->host == root) {
            return hosts.front();
        }
    }
    return domains.begin()->second.front();
}

} // namespace

std::vector<fleet_member> spreadChildren(std::span<const fleet_member> members, const host_name &self, const host_name &root, std::size_t fanout)
{
    std::vector<fleet_member> children;
    const auto groups = groupMembers(members, root);
    for (const auto &[region, domains] : groups) {
        const auto *head = regionHead(domains, root);
        if (self == root && head->host != root) {
            children.push_back(*head);
        }
        for (const auto &[domain, hosts] : domains) {
            if (head->host == self && hosts.front()->host != self) {
                children.push_back(*hosts.front());
            }
            const auto found = std::ranges::find(hosts, self, [](const fleet_member *member) { return member->host; });
            if (found == hosts.end()) {
                continue;
            }
            const auto position = static_cast<std::size_t>(found - hosts.begin());
            for (std::size_t child = position * fanout + 1; child <= position * fanout + fanout && child < hosts.size(); ++child) {
                children.push_back(*hosts[child]);
            }
        }
    }
    return children;
}

} // namespace hornbeampick
