#include "replica/entry_size.h"

#include "core/overloaded.h"

#include <numeric>

namespace hornbeampick
{

namespace
{

std::size_t memoryOf(const route &each)
{
    std::size_t bytes = sizeof each + each.name.size() + each.hostname.size() + each.pathPrefix.size();
    for (const auto &region : each.allowedRegions) {
        bytes += sizeof region + region.view().size();
    }
    for (const auto &weighted : each.services) {
        bytes += sizeof weighted + weighted.service.view().size();
    }
    return bytes;
}

std::size_t memoryOf(const routing_table &table)
{
    std::size_t bytes = table.document.size();
    for (const auto &each : table.routes) {
        bytes += memoryOf(each);
    }
    for (const auto &service : table.services) {
        bytes += sizeof service + service.name.view().size() + service.healthPath.size();
    }
    return bytes;
}

std::size_t memoryOf(const rules_change &change)
{
    return change.operatorName.size() + std::visit([](const auto &body) { return static_cast<std::size_t>(body.bytes()); }, change.body);
}

} // namespace

std::size_t memoryOf(const log_entry &entry)
{
    const std::size_t body = std::visit(overloaded {
                                            [](const barrier_entry &) { return std::size_t {0}; },
                                            [](const rules_change &change) { return memoryOf(change); },
                                            [](const claim_epoch &epoch) { return epoch.members.size() * sizeof(epoch_member); },
                                            [](const replica_config &config) { return (config.voters.size() + config.learners.size()) * sizeof(replica_id); },
                                            [](const routing_table &table) { return memoryOf(table); },
                                            [](const evacuation_order &order) { return order.domain.view().size(); },
                                        },
                                        entry.body);
    return sizeof entry + body;
}

std::size_t memoryOf(std::span<const log_entry> entries)
{
    return std::transform_reduce(entries.begin(), entries.end(), std::size_t {0}, std::plus<> {}, [](const log_entry &entry) { return memoryOf(entry); });
}

} // namespace hornbeampick
