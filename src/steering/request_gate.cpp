#include "steering/request_gate.h"

#include "core/digest.h"

#include <algorithm>
#include <iterator>

namespace hornbeampick
{

namespace
{

std::size_t shardOf(const service_name &service)
{
    return stableHash(service.view());
}

} // namespace

request_gate::request_gate(const pool_options &options, clock_source &clock, random_source &random)
    : m_options(options)
    , m_clock(clock)
    , m_random(random)
{
}

request_number request_gate::nextNumber()
{
    return m_nextNumber.fetch_add(1, std::memory_order_relaxed);
}

void request_gate::admit(const service_name &service, const admit_request &request, slot_callback answer)
{
    std::vector<delivery> deliveries;
    m_entries.with(shardOf(service), [&](entries &all) {
        auto &chosen = entryOf(all, service);
        const admission verdict = chosen.pool->admit(request, m_clock.now(), m_random);
        if (const auto *granted = std::get_if<slot_grant>(&verdict)) {
            deliveries.push_back({.callback = std::move(answer), .answer = *granted});
        } else if (const auto *refused = std::get_if<slot_refused>(&verdict)) {
            deliveries.push_back({.callback = std::move(answer), .answer = *refused});
        } else {
            chosen.waiting.emplace(request.number, std::move(answer));
        }
    });
    deliver(deliveries);
}

void request_gate::finish(const slot_grant &grant, slot_outcome end)
{
    std::vector<delivery> deliveries;
    m_entries.with(shardOf(grant.service), [&](entries &all) {
        auto &chosen = entryOf(all, grant.service);
        collect(chosen, chosen.pool->finish(grant, end, m_clock.now()), deliveries);
    });
    deliver(deliveries);
}

bool request_gate::cancel(const service_name &service, request_number number)
{
    return m_entries.with(shardOf(service), [&](entries &all) {
        auto &chosen = entryOf(all, service);
        chosen.waiting.erase(number);
        return chosen.pool->cancel(number);
    });
}

void request_gate::announce(const upstream_report &report, bool renews)
{
    std::vector<delivery> deliveries;
    m_entries.with(shardOf(report.service), [&](entries &all) {
        auto &chosen = entryOf(all, report.service);
        collect(chosen, chosen.pool->announce(report, renews, m_clock.now()), deliveries);
    });
    deliver(deliveries);
}

void request_gate::place(const placement_function &decide)
{
    // The decision reads the member table, which must not happen under a shard lock.
    struct decision {
        upstream_report report;
        placement where;
    };
    std::vector<decision> decisions;
    for (auto &report : reports()) {
        const placement where = decide(report);
        decisions.push_back({.report = std::move(report), .where = where});
    }
    std::vector<delivery> deliveries;
    for (const auto &each : decisions) {
        const auto &report = each.report;
        const auto &where = each.where;
        m_entries.with(shardOf(report.service), [&](entries &all) {
            auto &chosen = entryOf(all, report.service);
            chosen.pool->setDrained(report.instance, where.drained);
            collect(chosen, chosen.pool->setOwned(report.instance, where.owned, where.immediate, m_clock.now()), deliveries);
        });
    }
    deliver(deliveries);
}

void request_gate::tick()
{
    std::vector<delivery> deliveries;
    m_entries.forEach([&](entries &all) {
        for (auto &[service, each] : all) {
            collect(each, each.pool->tick(m_clock.now()), deliveries);
        }
    });
    deliver(deliveries);
}

std::vector<milliseconds> request_gate::takeDrainDurations()
{
    std::vector<milliseconds> drains;
    m_entries.forEach([&](entries &all) {
        for (auto &[service, each] : all) {
            std::ranges::copy(each.pool->takeDrainDurations(m_clock.now()), std::back_inserter(drains));
        }
    });
    return drains;
}

std::vector<service_load> request_gate::loads() const
{
    std::vector<service_load> loads;
    m_entries.forEach([&](const entries &all) {
        for (const auto &[service, each] : all) {
            loads.push_back({.service = service, .load = each.pool->load(m_clock.now())});
        }
    });
    return loads;
}

pool_load request_gate::load(const service_name &service) const
{
    return m_entries.with(shardOf(service), [&](const entries &all) {
        const auto found = all.find(service);
        return found == all.end() ? pool_load {} : found->second.pool->load(m_clock.now());
    });
}

std::vector<upstream_report> request_gate::reports() const
{
    std::vector<upstream_report> reports;
    m_entries.forEach([&](const entries &all) {
        for (const auto &[service, each] : all) {
            for (auto &report : each.pool->reports()) {
                reports.push_back(std::move(report));
            }
        }
    });
    return reports;
}

lifecycle_phase request_gate::phaseOf(const service_name &service, const instance_name &instance) const
{
    return m_entries.with(shardOf(service), [&](const entries &all) {
        const auto found = all.find(service);
        return found == all.end() ? lifecycle_phase::unknown : found->second.pool->phaseOf(instance);
    });
}

request_gate::entry &request_gate::entryOf(entries &all, const service_name &service) const
{
    auto &chosen = all[service];
    if (!chosen.pool) {
        chosen.pool = std::make_unique<service_pool>(service, m_options);
    }
    return chosen;
}

void request_gate::collect(entry &source, const pool_events &events, std::vector<delivery> &out)
{
    const auto add = [&](request_number number, slot_result answer) {
        const auto found = source.waiting.find(number);
        if (found == source.waiting.end()) {
            return;
        }
        out.push_back({.callback = std::move(found->second), .answer = std::move(answer)});
        source.waiting.erase(found);
    };
    for (const auto &granted : events.grants) {
        add(granted.number, granted);
    }
    for (const auto &refused : events.refusals) {
        add(refused.number, refused);
    }
}

void request_gate::deliver(const std::vector<delivery> &deliveries)
{
    for (const auto &each : deliveries) {
        each.callback(each.answer);
    }
}

} // namespace hornbeampick
