#include "steering_model.h"

#include "steering/host_choice.h"
#include "steering/load_view.h"
#include "steering/ownership.h"
#include "steering/service_pool.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace hornbeampick::bench
{

namespace
{

constexpr double meanServiceTimeMs = 30;
constexpr milliseconds requestTimeout {1000};
constexpr milliseconds exchangeInterval {250};
constexpr milliseconds reportInterval {500};
constexpr milliseconds reportDelay {5000};
constexpr milliseconds coldPeriod {2000};
constexpr double coldFactor = 3;
constexpr double slowFactor = 5;
constexpr double loadIncreaseFactor = 4.0 / 3;
constexpr std::size_t maxHostsTried = 3;
const service_name service("weigh-in");
const region_name region("Gent");

using us = std::chrono::microseconds;

struct simulated_upstream {
    instance_name name;
    std::size_t domain = 0;
    std::int64_t slots = 0;
    std::int64_t running = 0;
    bool alive = true;
    bool slow = false;
    // Requests queued at the upstream itself; only the baseline policies use it.
    std::deque<std::function<void()>> waiting;
    std::int64_t reportedInFlight = 0;
};

struct simulated_host {
    host_name name;
    std::size_t domain = 0;
    bool alive = true;
    std::unique_ptr<service_pool> pool;
    std::unique_ptr<load_view> loads;
    std::map<std::size_t, std::int64_t> sentSinceReport;
    std::map<request_number, std::function<void(const admission &)>> waiting;
};

struct simulated_request {
    request_number number = 0;
    us arrivedAt {};
    std::size_t host = 0;
    double serviceTimeMs = 0;
};

class steering_simulation
{
public:
    explicit steering_simulation(const steering_scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        build();
    }

    steering_result run()
    {
        scheduleArrival();
        if (m_scenario.selectedPolicy == policy::ownerAdmission) {
            schedulePeriodic(exchangeInterval, [this] { exchange(); });
            schedulePeriodic(milliseconds(20), [this] { tickPools(); });
        }
        schedulePeriodic(reportInterval, [this] { report(); });
        scheduleAt(m_scenario.simulatedTime / 2, [this] { injectFault(); });
        while (!m_events.empty() && m_events.top().time <= m_scenario.simulatedTime) {
            auto next = m_events.top();
            m_events.pop();
            m_now = next.time;
            next.action();
        }
        return result();
    }

private:
    struct event {
        us time;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void build()
    {
        for (std::size_t i = 0; i < m_scenario.hosts; ++i) {
            simulated_host host;
            host.name = host_name("h" + std::to_string(i));
            host.domain = i % 2;
            host.pool = std::make_unique<service_pool>(service, pool_options {.slowStart = milliseconds(0), .handover = milliseconds(1000)});
            host.loads = std::make_unique<load_view>(milliseconds(3000));
            m_hosts.push_back(std::move(host));
        }
        for (std::size_t i = 0; i < m_scenario.upstreams; ++i) {
            simulated_upstream upstream;
            upstream.name = instance_name("u" + std::to_string(i));
            upstream.domain = i % 2;
            upstream.slots = 3 + static_cast<std::int64_t>(i % 4);
            upstream.slow = m_scenario.fault == fault_kind::slowUpstream && i == 0;
            m_slots += upstream.slots;
            m_upstreams.push_back(std::move(upstream));
        }
        assignOwners();
        m_minFreeSlots = m_slots;
    }

    [[nodiscard]] steady_time steadyNow() const
    {
        return steady_time(seconds(1000)) + m_now;
    }

    void assignOwners()
    {
        for (std::size_t domain = 0; domain < 2; ++domain) {
            std::vector<host_name> candidates;
            for (const auto &host : m_hosts) {
                if (host.domain == domain && host.alive) {
                    candidates.push_back(host.name);
                }
            }
            for (const auto &upstream : m_upstreams) {
                if (upstream.domain != domain || !upstream.alive) {
                    continue;
                }
                const auto owner = ownerOf(upstream.name.view(), candidates);
                for (auto &host : m_hosts) {
                    host.pool->announce(reportOf(upstream), true, steadyNow());
                    host.pool->setOwned(upstream.name, owner == host.name, true, steadyNow());
                }
            }
        }
    }

    [[nodiscard]] upstream_report reportOf(const simulated_upstream &upstream) const
    {
        return {
            .service = service,
            .instance = upstream.name,
            .address = "a:1",
            .domain = domain_name("d" + std::to_string(upstream.domain)),
            .incarnation = 1,
            .slots = static_cast<std::uint32_t>(upstream.slots),
            .connections = 360,
            .state = upstream_state::active,
            .inFlight = static_cast<std::uint32_t>(upstream.reportedInFlight),
            .reportedAt = m_now.count(),
        };
    }

    void scheduleAt(us time, std::function<void()> action)
    {
        m_events.push({.time = time, .order = ++m_order, .action = std::move(action)});
    }

    void schedulePeriodic(us period, const std::function<void()> &action)
    {
        scheduleAt(m_now + period, [this, period, action] {
            action();
            schedulePeriodic(period, action);
        });
    }

    double uniform()
    {
        constexpr double scale = 18446744073709551616.0;
        return (static_cast<double>(m_random.next()) + 1) / scale;
    }

    void scheduleArrival()
    {
        const double factor = m_scenario.fault == fault_kind::loadIncrease && m_now * 2 >= m_scenario.simulatedTime ? loadIncreaseFactor : 1;
        const double perMs = m_scenario.load * factor * static_cast<double>(m_slots) / meanServiceTimeMs;
        const double waitMs = -std::log(uniform()) / perMs;
        scheduleAt(m_now + us(static_cast<std::int64_t>(waitMs * 1000)), [this] {
            handleArrival();
            scheduleArrival();
        });
    }

    void handleArrival()
    {
        auto request = std::make_shared<simulated_request>();
        request->number = ++m_lastNumber;
        request->arrivedAt = m_now;
        request->serviceTimeMs = -std::log(uniform()) * meanServiceTimeMs;
        do {
            request->host = m_random.below(m_hosts.size());
        } while (!m_hosts[request->host].alive);
        ++m_offered;
        switch (m_scenario.selectedPolicy) {
        case policy::ownerAdmission:
            askOwners(request);
            break;
        case policy::centralQueue:
            m_centralQueue.push_back(request);
            serveCentralQueue();
            break;
        default:
            sendToUpstream(request, pickByBaselinePolicy(m_hosts[request->host]));
            break;
        }
    }

    // The policy of this project.

    void askOwners(const std::shared_ptr<simulated_request> &request)
    {
        auto &host = m_hosts[request->host];
        const auto candidates = host.loads->candidates(service, region, steadyNow(), m_random.next());
        askHost(request, orderHosts(host.name, host.pool->load(steadyNow()), candidates, maxHostsTried), 0);
    }

    void askHost(const std::shared_ptr<simulated_request> &request, const std::vector<host_name> &order, std::size_t position)
    {
        if (position >= order.size()) {
            return;
        }
        const auto target = static_cast<std::size_t>(std::ranges::find(m_hosts, order[position], &simulated_host::name) - m_hosts.begin());
        auto &from = m_hosts[request->host];
        const us hop = hopTime(from, m_hosts[target]);
        if (target != request->host) {
            from.loads->onForwarded(service, order[position]);
        }
        scheduleAt(m_now + hop, [this, request, order, position, target, hop] {
            auto &owner = m_hosts[target];
            const auto done = [this, request, order, position, target, hop](const admission &verdict) {
                if (const auto *slot = std::get_if<slot_grant>(&verdict)) {
                    runOnSlot(request, target, *slot, hop);
                    return;
                }
                scheduleAt(m_now + hop, [this, request, order, position, target] {
                    recordForwardEnd(request, target);
                    askHost(request, order, position + 1);
                });
            };
            if (!owner.alive) {
                return;
            }
            const admit_request wanted {.number = request->number, .caller = request->number, .deadline = deadlineOf(*request), .avoid = {}};
            const auto verdict = owner.pool->admit(wanted, steadyNow(), m_random);
            if (std::holds_alternative<slot_queued>(verdict)) {
                owner.waiting[request->number] = done;
            } else {
                done(verdict);
            }
        });
    }

    [[nodiscard]] us hopTime(const simulated_host &from, const simulated_host &to) const
    {
        constexpr us withinDomain {100};
        if (from.name == to.name) {
            return us(0);
        }
        return from.domain == to.domain ? withinDomain : us(m_scenario.interDomainLatency);
    }

    void recordForwardEnd(const std::shared_ptr<simulated_request> &request, std::size_t target)
    {
        if (target != request->host) {
            const auto load = m_hosts[target].pool->load(steadyNow());
            m_hosts[request->host].loads->onForwardEnded(service, m_hosts[target].name, &load, steadyNow());
        }
    }

    [[nodiscard]] steady_time deadlineOf(const simulated_request &request) const
    {
        return steady_time(seconds(1000)) + request.arrivedAt + requestTimeout;
    }

    void runOnSlot(const std::shared_ptr<simulated_request> &request, std::size_t owner, const slot_grant &slot, us hop)
    {
        auto &upstream = *std::ranges::find(m_upstreams, slot.instance, &simulated_upstream::name);
        startRequest(upstream);
        scheduleAt(m_now + serviceTime(*request, upstream), [this, request, owner, slot, hop, &upstream] {
            endRequest(upstream);
            deliver(m_hosts[owner], m_hosts[owner].pool->finish(slot, slot_outcome::answered, steadyNow()));
            scheduleAt(m_now + hop, [this, request, owner, &upstream] {
                recordForwardEnd(request, owner);
                recordAnswer(*request, upstream.alive);
            });
        });
    }

    void deliver(simulated_host &host, const pool_events &events)
    {
        const auto complete = [&host](request_number number, const admission &verdict) {
            const auto found = host.waiting.find(number);
            if (found != host.waiting.end()) {
                const auto done = std::move(found->second);
                host.waiting.erase(found);
                done(verdict);
            }
        };
        for (const auto &granted : events.grants) {
            complete(granted.number, granted);
        }
        for (const auto &refused : events.refusals) {
            complete(refused.number, refused);
        }
    }

    void exchange()
    {
        for (auto &from : m_hosts) {
            for (auto &to : m_hosts) {
                if (from.name != to.name && from.alive) {
                    to.loads->onReport(service, from.name, region, from.pool->load(steadyNow()), steadyNow());
                }
            }
        }
    }

    void tickPools()
    {
        for (auto &host : m_hosts) {
            if (host.alive) {
                deliver(host, host.pool->tick(steadyNow()));
            }
        }
    }

    // The baseline policies.

    std::size_t pickByBaselinePolicy(simulated_host &host)
    {
        std::vector<std::size_t> alive;
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            if (m_upstreams[i].alive) {
                alive.push_back(i);
            }
        }
        if (m_scenario.selectedPolicy == policy::randomUpstream) {
            return alive[m_random.below(alive.size())];
        }
        if (m_scenario.selectedPolicy == policy::roundRobin) {
            return alive[m_nextRoundRobin++ % alive.size()];
        }
        const auto best = std::ranges::min_element(alive, {}, [&](std::size_t i) {
            const double known = static_cast<double>(m_upstreams[i].reportedInFlight + host.sentSinceReport[i] + 1);
            return known / static_cast<double>(m_upstreams[i].slots);
        });
        ++host.sentSinceReport[*best];
        return *best;
    }

    void sendToUpstream(const std::shared_ptr<simulated_request> &request, std::size_t position)
    {
        auto &upstream = m_upstreams[position];
        const auto start = [this, request, &upstream] {
            startRequest(upstream);
            scheduleAt(m_now + serviceTime(*request, upstream), [this, request, &upstream] {
                endRequest(upstream);
                recordAnswer(*request, upstream.alive);
                if (!upstream.waiting.empty()) {
                    const auto next = std::move(upstream.waiting.front());
                    upstream.waiting.pop_front();
                    next();
                }
            });
        };
        if (upstream.running < upstream.slots) {
            start();
        } else {
            upstream.waiting.push_back(start);
        }
    }

    void serveCentralQueue()
    {
        for (auto &upstream : m_upstreams) {
            while (upstream.alive && upstream.running < upstream.slots && !m_centralQueue.empty()) {
                const auto request = m_centralQueue.front();
                m_centralQueue.pop_front();
                // With perfect knowledge, the central queue drops requests that can no longer be answered in time.
                if (m_now >= request->arrivedAt + us(requestTimeout)) {
                    continue;
                }
                startRequest(upstream);
                scheduleAt(m_now + serviceTime(*request, upstream), [this, request, &upstream] {
                    endRequest(upstream);
                    recordAnswer(*request, upstream.alive);
                    serveCentralQueue();
                });
            }
        }
    }

    // Upstreams, load reports and results.

    us serviceTime(const simulated_request &request, const simulated_upstream &upstream) const
    {
        double ms = request.serviceTimeMs;
        ms *= upstream.slow ? slowFactor : 1;
        ms *= m_scenario.fault == fault_kind::coldStart && m_now < us(coldPeriod) ? coldFactor : 1;
        return us(static_cast<std::int64_t>(ms * 1000));
    }

    void startRequest(simulated_upstream &upstream)
    {
        ++upstream.running;
        ++m_runs;
        m_maxSlotExcess = std::max(m_maxSlotExcess, upstream.running - upstream.slots);
        std::int64_t free = 0;
        for (const auto &each : m_upstreams) {
            free += each.alive ? each.slots - each.running : 0;
        }
        if (m_now > us(seconds(1))) {
            m_minFreeSlots = std::min(m_minFreeSlots, free);
        }
    }

    static void endRequest(simulated_upstream &upstream)
    {
        --upstream.running;
    }

    void recordAnswer(const simulated_request &request, bool alive)
    {
        const us taken = m_now - request.arrivedAt;
        if (!alive) {
            return;
        }
        if (taken <= us(requestTimeout)) {
            m_latencies.push_back(static_cast<double>(taken.count()) / 1000);
        } else {
            ++m_wasted;
        }
    }

    void report()
    {
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            const auto running
                = m_scenario.fault == fault_kind::reportsFrozen ? 0 : m_upstreams[i].running + static_cast<std::int64_t>(m_upstreams[i].waiting.size());
            const us late = m_scenario.fault == fault_kind::reportsLate ? us(reportDelay) : us(0);
            scheduleAt(m_now + late, [this, i, running] {
                m_upstreams[i].reportedInFlight = running;
                for (auto &host : m_hosts) {
                    host.sentSinceReport[i] = 0;
                    if (m_scenario.selectedPolicy == policy::ownerAdmission && host.alive && m_upstreams[i].alive) {
                        deliver(host, host.pool->announce(reportOf(m_upstreams[i]), true, steadyNow()));
                    }
                }
            });
        }
    }

    void injectFault()
    {
        if (m_scenario.fault != fault_kind::domainLost) {
            return;
        }
        for (auto &host : m_hosts) {
            host.alive = host.domain != 0;
        }
        for (auto &upstream : m_upstreams) {
            upstream.alive = upstream.domain != 0;
        }
        for (auto &host : m_hosts) {
            for (const auto &lost : m_hosts) {
                if (!lost.alive) {
                    host.loads->removeHost(lost.name);
                }
            }
        }
    }

    steering_result result()
    {
        steering_result out;
        std::ranges::sort(m_latencies);
        const auto quantile = [this](double share) {
            return m_latencies.empty() ? 0 : m_latencies[static_cast<std::size_t>(share * static_cast<double>(m_latencies.size() - 1))];
        };
        constexpr double median = 0.5;
        constexpr double high = 0.99;
        constexpr double highest = 0.999;
        out.p50 = quantile(median);
        out.p99 = quantile(high);
        out.p999 = quantile(highest);
        const auto inTime = static_cast<double>(m_latencies.size());
        out.inTime = inTime / static_cast<double>(std::max<std::uint64_t>(m_offered, 1));
        const double capacity = static_cast<double>(m_slots) * std::chrono::duration<double, std::milli>(m_scenario.simulatedTime).count() / meanServiceTimeMs;
        out.goodput = inTime / capacity;
        out.wasted = static_cast<double>(m_wasted) / static_cast<double>(std::max<std::uint64_t>(m_runs, 1));
        out.minHeadroom = m_minFreeSlots;
        out.maxSlotExcess = std::max<std::int64_t>(m_maxSlotExcess, 0);
        return out;
    }

    steering_scenario m_scenario;
    seeded_random_source m_random;
    us m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<simulated_host> m_hosts;
    std::vector<simulated_upstream> m_upstreams;
    std::deque<std::shared_ptr<simulated_request>> m_centralQueue;
    std::int64_t m_slots = 0;
    std::size_t m_nextRoundRobin = 0;
    request_number m_lastNumber = 0;
    std::uint64_t m_offered = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_wasted = 0;
    std::int64_t m_maxSlotExcess = 0;
    std::int64_t m_minFreeSlots = 0;
    std::vector<double> m_latencies;
};

} // namespace

std::string_view nameOf(policy value)
{
    switch (value) {
    case policy::ownerAdmission:
        return "owners";
    case policy::randomUpstream:
        return "random";
    case policy::roundRobin:
        return "round robin";
    case policy::leastLoadedByReports:
        return "least by reports";
    case policy::centralQueue:
        return "central queue";
    }
    return "";
}

std::string_view nameOf(fault_kind value)
{
    switch (value) {
    case fault_kind::none:
        return "steady";
    case fault_kind::domainLost:
        return "domain lost";
    case fault_kind::loadIncrease:
        return "third moved";
    case fault_kind::reportsLate:
        return "reports 5 s late";
    case fault_kind::reportsFrozen:
        return "reports frozen";
    case fault_kind::coldStart:
        return "cold start";
    case fault_kind::slowUpstream:
        return "slow upstream";
    }
    return "";
}

steering_result simulate(const steering_scenario &scenario)
{
    return steering_simulation(scenario).run();
}

} // namespace hornbeampick::bench
