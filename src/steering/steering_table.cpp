#include "steering/steering_table.h"

#include <algorithm>
#include <limits>

namespace hornbeampick
{

namespace
{

constexpr std::uint32_t maxHash = std::numeric_limits<std::uint32_t>::max();
// A shift ramps up to its full share over this time, so that caches can warm up.
constexpr milliseconds rampTime {30000};

// Maps a client block and a service uniformly to [0, 2^32), identically on every host.
std::uint32_t blockHash(ipv4 block, std::size_t service)
{
    constexpr std::uint64_t goldenRatio = 0x9e3779b97f4a7c15;
    constexpr std::uint64_t mixer = 0xbf58476d1ce4e5b9;
    constexpr unsigned half = 32;
    constexpr unsigned shift = 29;
    std::uint64_t value = block + goldenRatio * (service + 1);
    value = (value ^ (value >> shift)) * mixer;
    value ^= value >> half;
    return static_cast<std::uint32_t>(value >> half) ^ static_cast<std::uint32_t>(value);
}

std::uint64_t rampedShare(const shift_rule &shift, wall_ms now)
{
    const std::uint64_t full = static_cast<std::uint64_t>(maxHash) * shift.numerator / shift.denominator;
    const wall_ms age = now - *shift.window.from;
    if (age >= rampTime.count()) {
        return full;
    }
    return full * static_cast<std::uint64_t>(std::max<wall_ms>(age, 0)) / static_cast<std::uint64_t>(rampTime.count());
}

std::uint64_t slotsOf(std::span<const region_load> loads, const region_name &region)
{
    const auto found = std::ranges::find(loads, region, &region_load::region);
    return found == loads.end() ? 0 : found->slots;
}

} // namespace

std::string_view textOf(steering_reason reason)
{
    switch (reason) {
    case steering_reason::home:
        return "home";
    case steering_reason::noBlock:
        return "no-block";
    case steering_reason::shifted:
        return "shifted";
    case steering_reason::homeDrained:
        return "home-drained";
    case steering_reason::homeResting:
        return "home-resting";
    case steering_reason::homeHasNoHost:
        return "home-has-no-host";
    case steering_reason::homeBusy:
        return "home-busy";
    case steering_reason::nowhere:
        return "nowhere";
    }
    return "";
}

steering_table::steering_table(const steering_inputs &inputs)
    : m_rules(inputs.rules)
    , m_services(inputs.services.begin(), inputs.services.end())
{
    for (const auto &region : inputs.regions) {
        m_regions.push_back(region.name);
    }
    m_localRegion = indexOf(inputs.localRegion);
    collectMembers(inputs);
    mapHomes();
    m_cells.reserve(m_services.size() * m_regions.size());
    for (std::size_t service = 0; service < m_services.size(); ++service) {
        for (std::size_t home = 0; home < m_regions.size(); ++home) {
            m_cells.push_back(makeCell(inputs, service, static_cast<region_index>(home)));
        }
    }
}

std::size_t steering_table::serviceIndex(std::string_view service) const
{
    const auto found = std::ranges::find(m_services, service, [](const service_name &name) { return name.view(); });
    return found == m_services.end() ? noService : static_cast<std::size_t>(found - m_services.begin());
}

steering_choice steering_table::choose(std::size_t service, ipv4 client) const
{
    steering_choice choice;
    const region_index home = homeOf(client);
    choice.home = home == block_table::noHome ? m_localRegion : home;
    choice.destination = choice.home;
    choice.reason = home == block_table::noHome ? steering_reason::noBlock : steering_reason::home;
    const std::uint32_t hash = blockHash(clientSubnet(client), service);
    for (const auto &each : cellOf(service, choice.home).hashRanges) {
        if (hash < each.limit) {
            choice.destination = each.destination;
            choice.reason = each.reason;
            break;
        }
    }
    addEntries(choice, choice.destination, hash);
    if (choice.destination != choice.home) {
        addEntries(choice, choice.home, hash);
    }
    for (std::size_t region = 0; region < m_regions.size(); ++region) {
        const auto index = static_cast<region_index>(region);
        if (index != choice.destination && index != choice.home) {
            addEntries(choice, index, hash);
        }
    }
    return choice;
}

std::size_t steering_table::memoryBytes() const
{
    std::size_t total = m_cells.capacity() * sizeof(cell) + m_members.capacity() * sizeof(fleet_member);
    for (const auto &each : m_cells) {
        total += each.hashRanges.capacity() * sizeof(hash_range);
    }
    for (const auto &each : m_entries) {
        total += each.capacity() * sizeof(std::uint16_t);
    }
    return total;
}

region_index steering_table::indexOf(const region_name &name) const
{
    const auto found = std::ranges::find(m_regions, name);
    return found == m_regions.end() ? block_table::noHome : static_cast<region_index>(found - m_regions.begin());
}

region_index steering_table::homeOf(ipv4 client) const
{
    if (!m_rules) {
        return block_table::noHome;
    }
    const region_index home = m_rules->homes.homeOf(client);
    return home == block_table::noHome ? home : m_homeIndices[home];
}

const steering_table::cell &steering_table::cellOf(std::size_t service, region_index home) const
{
    return m_cells[service * m_regions.size() + home];
}

// Half of the entries are reserved for regions after the first, so that a caller can always fail over to another region.
void steering_table::addEntries(steering_choice &choice, region_index region, std::uint32_t hash) const
{
    const auto &hosts = m_entries[region];
    const std::size_t maxAdded = choice.entryCount == 0 ? steering_choice::entriesMaximum / 2 : 1;
    for (std::size_t i = 0; i < std::min(maxAdded, hosts.size()); ++i) {
        if (choice.entryCount == steering_choice::entriesMaximum) {
            return;
        }
        choice.entries[choice.entryCount] = hosts[(hash + i) % hosts.size()];
        ++choice.entryCount;
    }
}

void steering_table::collectMembers(const steering_inputs &inputs)
{
    m_entries.resize(m_regions.size());
    for (const auto &member : inputs.members) {
        const region_index region = indexOf(member.region);
        if (region == block_table::noHome || member.state != member_state::alive) {
            continue;
        }
        const auto drained
            = [&](drain_target target, std::string_view name) { return m_rules && m_rules->isDrained(target, name, inputs.now, inputs.lookupTtl); };
        if (drained(drain_target::host, member.host.view()) || drained(drain_target::failureDomain, member.domain.view())
            || drained(drain_target::region, member.region.view())) {
            continue;
        }
        m_entries[region].push_back(static_cast<std::uint16_t>(m_members.size()));
        m_members.push_back(member);
    }
}

void steering_table::mapHomes()
{
    if (!m_rules) {
        return;
    }
    for (const auto &home : m_rules->homeRegions) {
        m_homeIndices.push_back(indexOf(home));
    }
}

bool steering_table::available(const steering_inputs &inputs, const service_name &service, region_index region) const
{
    return unavailableReason(inputs, service, region) == steering_reason::home;
}

steering_reason steering_table::unavailableReason(const steering_inputs &inputs, const service_name &service, region_index home) const
{
    const auto &name = m_regions[home];
    if (m_rules && m_rules->isDrained(drain_target::region, name.view(), inputs.now, inputs.lookupTtl)) {
        return steering_reason::homeDrained;
    }
    if (m_rules && m_rules->isResting(service, name, inputs.now, inputs.lookupTtl)) {
        return steering_reason::homeResting;
    }
    return m_entries[home].empty() ? steering_reason::homeHasNoHost : steering_reason::home;
}

steering_table::cell steering_table::makeCell(const steering_inputs &inputs, std::size_t service, region_index home) const
{
    cell built;
    addShifts(built, inputs, m_services[service], home);
    const auto homeStatus = unavailableReason(inputs, m_services[service], home);
    if (homeStatus != steering_reason::home) {
        addSpread(built, inputs, service, homeStatus);
    } else {
        addTransfers(built, inputs, service, home);
    }
    return built;
}

void steering_table::addShifts(cell &built, const steering_inputs &inputs, const service_name &service, region_index home) const
{
    if (!m_rules) {
        return;
    }
    std::uint64_t limit = 0;
    for (const auto &shift : m_rules->shifts) {
        const region_index destination = indexOf(shift.to);
        const bool applies = shift.service == service && shift.from == m_regions[home] && shift.window.contains(inputs.now);
        if (!applies || destination == block_table::noHome || !available(inputs, service, destination)) {
            continue;
        }
        limit = std::min<std::uint64_t>(limit + rampedShare(shift, inputs.now), maxHash);
        built.hashRanges.push_back({.limit = static_cast<std::uint32_t>(limit), .destination = destination, .reason = steering_reason::shifted});
    }
}

// Transfers a share of a busy home region, taken from the hash range that no shift covers, to regions with more headroom.
void steering_table::addTransfers(cell &built, const steering_inputs &inputs, std::size_t service, region_index home) const
{
    if (service >= inputs.transfers.size() || home >= inputs.transfers[service].size()) {
        return;
    }
    const headroom_transfer &transfer = inputs.transfers[service][home];
    std::vector<std::pair<region_index, double>> recipients;
    double total = 0;
    for (const auto &recipient : transfer.recipients) {
        const region_index region = indexOf(recipient.region);
        if (region != block_table::noHome && available(inputs, m_services[service], region)) {
            recipients.emplace_back(region, recipient.weight);
            total += recipient.weight;
        }
    }
    const std::uint64_t start = built.hashRanges.empty() ? 0 : built.hashRanges.back().limit;
    double sum = 0;
    for (const auto &[region, weight] : recipients) {
        sum += weight;
        const double given = transfer.share * sum / total * static_cast<double>(maxHash - start);
        built.hashRanges.push_back(
            {.limit = static_cast<std::uint32_t>(start + static_cast<std::uint64_t>(given)), .destination = region, .reason = steering_reason::homeBusy});
    }
}

// Distributes the clients of a home region that cannot serve over the available regions in proportion to their slots.
void steering_table::addSpread(cell &built, const steering_inputs &inputs, std::size_t service, steering_reason reason) const
{
    const std::span<const region_load> loads
        = service < inputs.loads.size() ? std::span<const region_load>(inputs.loads[service]) : std::span<const region_load>();
    std::vector<std::pair<region_index, std::uint64_t>> weights;
    std::uint64_t total = 0;
    for (std::size_t region = 0; region < m_regions.size(); ++region) {
        const auto index = static_cast<region_index>(region);
        if (!available(inputs, m_services[service], index)) {
            continue;
        }
        // Every region has a weight of at least one, because its load may not be known yet.
        const std::uint64_t weight = slotsOf(loads, m_regions[region]) + 1;
        weights.emplace_back(index, weight);
        total += weight;
    }
    const std::uint64_t start = built.hashRanges.empty() ? 0 : built.hashRanges.back().limit;
    std::uint64_t sum = 0;
    for (const auto &[region, weight] : weights) {
        sum += weight;
        const std::uint64_t limit = start + (maxHash - start) * sum / total;
        built.hashRanges.push_back({.limit = static_cast<std::uint32_t>(limit), .destination = region, .reason = reason});
    }
}

} // namespace hornbeampick
