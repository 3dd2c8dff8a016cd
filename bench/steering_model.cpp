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

constexpr double meanWorkMs = 30;
constexpr milliseconds deadlineAfter {1000};
constexpr milliseconds exchangeEvery {250};
constexpr milliseconds reportEvery {500};
constexpr milliseconds lateReports {5000};
constexpr milliseconds coldFor {2000};
constexpr double coldFactor = 3;
constexpr double slowFactor = 5;
constexpr double shiftFactor = 4.0 / 3;
constexpr std::size_t hostsTried = 3;
const service_name service("weigh-in");
const region_name region("Gent");

using us = std::chrono::microseconds;

struct upstream_model {
    instance_name name;
    std::size_t domain = 0;
    std::int64_t slots = 0;
    std::int64_t running = 0;
    bool alive = true;
    bool slow = false;
    // Requests waiting at the upstream itself, for the baselines.
    std::deque<std::function<void()>> waiting;
    std::int64_t reported = 0;
};

struct host_model {
    host_name name;
    std::size_t domain = 0;
    bool alive = true;
    std::unique_ptr<service_pool> pool;
    std::unique_ptr<load_view> loads;
    std::map<std::size_t, std::int64_t> sentSinceReport;
    std::map<request_number, std::function<void(const admission &)>> waiting;
};

struct request_model {
    request_number number = 0;
    us arrivedAt {};
    std::size_t host = 0;
    double workMs = 0;
};

class steering_model
{
public:
    explicit steering_model(const model_case &given)
        : m_case(given)
        , m_random(given.seed)
    {
        build();
    }

    model_result run()
    {
        scheduleArrival();
        if (m_case.by == policy::owners) {
            every(exchangeEvery, [this] { exchange(); });
            every(milliseconds(20), [this] { tickPools(); });
        }
        every(reportEvery, [this] { report(); });
        at(m_case.length / 2, [this] { disturb(); });
        while (!m_events.empty() && m_events.top().time <= m_case.length) {
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
        for (std::size_t i = 0; i < m_case.hosts; ++i) {
            host_model host;
            host.name = host_name("h" + std::to_string(i));
            host.domain = i % 2;
            host.pool = std::make_unique<service_pool>(service, pool_options {.slowStart = milliseconds(0), .handover = milliseconds(1000)});
            host.loads = std::make_unique<load_view>(milliseconds(3000));
            m_hosts.push_back(std::move(host));
        }
        for (std::size_t i = 0; i < m_case.upstreams; ++i) {
            upstream_model upstream;
            upstream.name = instance_name("u" + std::to_string(i));
            upstream.domain = i % 2;
            upstream.slots = 3 + static_cast<std::int64_t>(i % 4);
            upstream.slow = m_case.with == disturbance::slowUpstream && i == 0;
            m_slots += upstream.slots;
            m_upstreams.push_back(std::move(upstream));
        }
        own();
        m_lowest = m_slots;
    }

    [[nodiscard]] steady_time steady() const
    {
        return steady_time(seconds(1000)) + m_now;
    }

    void own()
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
                    host.pool->announce(reportOf(upstream), true, steady());
                    host.pool->setOwned(upstream.name, owner == host.name, true, steady());
                }
            }
        }
    }

    [[nodiscard]] upstream_report reportOf(const upstream_model &upstream) const
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
            .inFlight = static_cast<std::uint32_t>(upstream.reported),
            .reportedAt = m_now.count(),
        };
    }

    void at(us time, std::function<void()> action)
    {
        m_events.push({.time = time, .order = ++m_order, .action = std::move(action)});
    }

    void every(us period, const std::function<void()> &action)
    {
        at(m_now + period, [this, period, action] {
            action();
            every(period, action);
        });
    }

    double uniform()
    {
        constexpr double scale = 18446744073709551616.0;
        return (static_cast<double>(m_random.next()) + 1) / scale;
    }

    void scheduleArrival()
    {
        const double factor = m_case.with == disturbance::thirdMoved && m_now * 2 >= m_case.length ? shiftFactor : 1;
        const double perMs = m_case.load * factor * static_cast<double>(m_slots) / meanWorkMs;
        const double waitMs = -std::log(uniform()) / perMs;
        at(m_now + us(static_cast<std::int64_t>(waitMs * 1000)), [this] {
            arrive();
            scheduleArrival();
        });
    }

    void arrive()
    {
        auto request = std::make_shared<request_model>();
        request->number = ++m_numbers;
        request->arrivedAt = m_now;
        request->workMs = -std::log(uniform()) * meanWorkMs;
        do {
            request->host = m_random.below(m_hosts.size());
        } while (!m_hosts[request->host].alive);
        ++m_offered;
        switch (m_case.by) {
        case policy::owners:
            steer(request);
            break;
        case policy::centralQueue:
            m_central.push_back(request);
            serveCentral();
            break;
        default:
            sendToUpstream(request, pickBlind(m_hosts[request->host]));
            break;
        }
    }

    // The project's decisions.

    void steer(const std::shared_ptr<request_model> &request)
    {
        auto &host = m_hosts[request->host];
        const auto candidates = host.loads->candidates(service, region, steady(), m_random.next());
        askInTurn(request, orderHosts(host.name, host.pool->load(steady()), candidates, hostsTried), 0);
    }

    void askInTurn(const std::shared_ptr<request_model> &request, const std::vector<host_name> &order, std::size_t position)
    {
        if (position >= order.size()) {
            return;
        }
        const auto target = static_cast<std::size_t>(std::ranges::find(m_hosts, order[position], &host_model::name) - m_hosts.begin());
        auto &from = m_hosts[request->host];
        const us hop = hopTime(from, m_hosts[target]);
        if (target != request->host) {
            from.loads->onForwarded(service, order[position]);
        }
        at(m_now + hop, [this, request, order, position, target, hop] {
            auto &owner = m_hosts[target];
            const auto done = [this, request, order, position, target, hop](const admission &verdict) {
                if (const auto *slot = std::get_if<slot_grant>(&verdict)) {
                    runOwned(request, target, *slot, hop);
                    return;
                }
                at(m_now + hop, [this, request, order, position, target] {
                    returned(request, target);
                    askInTurn(request, order, position + 1);
                });
            };
            if (!owner.alive) {
                return;
            }
            const admit_request wanted {.number = request->number, .caller = request->number, .deadline = deadlineOf(*request), .avoid = {}};
            const auto verdict = owner.pool->admit(wanted, steady(), m_random);
            if (std::holds_alternative<slot_queued>(verdict)) {
                owner.waiting[request->number] = done;
            } else {
                done(verdict);
            }
        });
    }

    [[nodiscard]] us hopTime(const host_model &from, const host_model &to) const
    {
        constexpr us withinDomain {100};
        if (from.name == to.name) {
            return us(0);
        }
        return from.domain == to.domain ? withinDomain : us(m_case.betweenDomains);
    }

    void returned(const std::shared_ptr<request_model> &request, std::size_t target)
    {
        if (target != request->host) {
            const auto load = m_hosts[target].pool->load(steady());
            m_hosts[request->host].loads->onReturned(service, m_hosts[target].name, &load, steady());
        }
    }

    [[nodiscard]] steady_time deadlineOf(const request_model &request) const
    {
        return steady_time(seconds(1000)) + request.arrivedAt + deadlineAfter;
    }

    void runOwned(const std::shared_ptr<request_model> &request, std::size_t owner, const slot_grant &slot, us hop)
    {
        auto &upstream = *std::ranges::find(m_upstreams, slot.instance, &upstream_model::name);
        begin(upstream);
        at(m_now + workTime(*request, upstream), [this, request, owner, slot, hop, &upstream] {
            end(upstream);
            deliver(m_hosts[owner], m_hosts[owner].pool->finish(slot, slot_end::answered, steady()));
            at(m_now + hop, [this, request, owner, &upstream] {
                returned(request, owner);
                answered(*request, upstream.alive);
            });
        });
    }

    void deliver(host_model &host, const pool_events &events)
    {
        const auto tell = [&host](request_number number, const admission &verdict) {
            const auto found = host.waiting.find(number);
            if (found != host.waiting.end()) {
                const auto done = std::move(found->second);
                host.waiting.erase(found);
                done(verdict);
            }
        };
        for (const auto &granted : events.grants) {
            tell(granted.number, granted);
        }
        for (const auto &refused : events.refusals) {
            tell(refused.number, refused);
        }
    }

    void exchange()
    {
        for (auto &from : m_hosts) {
            for (auto &to : m_hosts) {
                if (from.name != to.name && from.alive) {
                    to.loads->onReport(service, from.name, region, from.pool->load(steady()), steady());
                }
            }
        }
    }

    void tickPools()
    {
        for (auto &host : m_hosts) {
            if (host.alive) {
                deliver(host, host.pool->tick(steady()));
            }
        }
    }

    // The baselines.

    std::size_t pickBlind(host_model &host)
    {
        std::vector<std::size_t> alive;
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            if (m_upstreams[i].alive) {
                alive.push_back(i);
            }
        }
        if (m_case.by == policy::randomUpstream) {
            return alive[m_random.below(alive.size())];
        }
        if (m_case.by == policy::roundRobin) {
            return alive[m_turn++ % alive.size()];
        }
        const auto best = std::ranges::min_element(alive, {}, [&](std::size_t i) {
            const double known = static_cast<double>(m_upstreams[i].reported + host.sentSinceReport[i] + 1);
            return known / static_cast<double>(m_upstreams[i].slots);
        });
        ++host.sentSinceReport[*best];
        return *best;
    }

    void sendToUpstream(const std::shared_ptr<request_model> &request, std::size_t position)
    {
        auto &upstream = m_upstreams[position];
        const auto start = [this, request, &upstream] {
            begin(upstream);
            at(m_now + workTime(*request, upstream), [this, request, &upstream] {
                end(upstream);
                answered(*request, upstream.alive);
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

    void serveCentral()
    {
        for (auto &upstream : m_upstreams) {
            while (upstream.alive && upstream.running < upstream.slots && !m_central.empty()) {
                const auto request = m_central.front();
                m_central.pop_front();
                // Perfect knowledge: what can no longer be answered in time is not begun.
                if (m_now >= request->arrivedAt + us(deadlineAfter)) {
                    continue;
                }
                begin(upstream);
                at(m_now + workTime(*request, upstream), [this, request, &upstream] {
                    end(upstream);
                    answered(*request, upstream.alive);
                    serveCentral();
                });
            }
        }
    }

    // Upstreams and reports.

    us workTime(const request_model &request, const upstream_model &upstream) const
    {
        double ms = request.workMs;
        ms *= upstream.slow ? slowFactor : 1;
        ms *= m_case.with == disturbance::coldStart && m_now < us(coldFor) ? coldFactor : 1;
        return us(static_cast<std::int64_t>(ms * 1000));
    }

    void begin(upstream_model &upstream)
    {
        ++upstream.running;
        ++m_runs;
        m_over = std::max(m_over, upstream.running - upstream.slots);
        std::int64_t free = 0;
        for (const auto &each : m_upstreams) {
            free += each.alive ? each.slots - each.running : 0;
        }
        if (m_now > us(seconds(1))) {
            m_lowest = std::min(m_lowest, free);
        }
    }

    static void end(upstream_model &upstream)
    {
        --upstream.running;
    }

    void answered(const request_model &request, bool alive)
    {
        const us taken = m_now - request.arrivedAt;
        if (!alive) {
            return;
        }
        if (taken <= us(deadlineAfter)) {
            m_latencies.push_back(static_cast<double>(taken.count()) / 1000);
        } else {
            ++m_wasted;
        }
    }

    void report()
    {
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            const auto running
                = m_case.with == disturbance::reportsFrozen ? 0 : m_upstreams[i].running + static_cast<std::int64_t>(m_upstreams[i].waiting.size());
            const us late = m_case.with == disturbance::reportsLate ? us(lateReports) : us(0);
            at(m_now + late, [this, i, running] {
                m_upstreams[i].reported = running;
                for (auto &host : m_hosts) {
                    host.sentSinceReport[i] = 0;
                    if (m_case.by == policy::owners && host.alive && m_upstreams[i].alive) {
                        deliver(host, host.pool->announce(reportOf(m_upstreams[i]), true, steady()));
                    }
                }
            });
        }
    }

    void disturb()
    {
        if (m_case.with != disturbance::domainLost) {
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

    model_result result()
    {
        model_result out;
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
        const auto useful = static_cast<double>(m_latencies.size());
        out.useful = useful / static_cast<double>(std::max<std::uint64_t>(m_offered, 1));
        const double capacity = static_cast<double>(m_slots) * std::chrono::duration<double, std::milli>(m_case.length).count() / meanWorkMs;
        out.goodput = useful / capacity;
        out.wasted = static_cast<double>(m_wasted) / static_cast<double>(std::max<std::uint64_t>(m_runs, 1));
        out.lowestHeadroom = m_lowest;
        out.overSlots = std::max<std::int64_t>(m_over, 0);
        return out;
    }

    model_case m_case;
    seeded_random_source m_random;
    us m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<host_model> m_hosts;
    std::vector<upstream_model> m_upstreams;
    std::deque<std::shared_ptr<request_model>> m_central;
    std::int64_t m_slots = 0;
    std::size_t m_turn = 0;
    request_number m_numbers = 0;
    std::uint64_t m_offered = 0;
    std::uint64_t m_runs = 0;
    std::uint64_t m_wasted = 0;
    std::int64_t m_over = 0;
    std::int64_t m_lowest = 0;
    std::vector<double> m_latencies;
};

} // namespace

std::string_view nameOf(policy value)
{
    switch (value) {
    case policy::owners:
        return "owners";
    case policy::randomUpstream:
        return "random";
    case policy::roundRobin:
        return "round robin";
    case policy::leastByReports:
        return "least by reports";
    case policy::centralQueue:
        return "central queue";
    }
    return "";
}

std::string_view nameOf(disturbance value)
{
    switch (value) {
    case disturbance::none:
        return "steady";
    case disturbance::domainLost:
        return "domain lost";
    case disturbance::thirdMoved:
        return "third moved";
    case disturbance::reportsLate:
        return "reports 5 s late";
    case disturbance::reportsFrozen:
        return "reports frozen";
    case disturbance::coldStart:
        return "cold start";
    case disturbance::slowUpstream:
        return "slow upstream";
    }
    return "";
}

model_result play(const model_case &given)
{
    return steering_model(given).run();
}

} // namespace hornbeampick::bench
