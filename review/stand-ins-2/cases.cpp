// The cases of the review. Usage: cases NAME ROOT. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <set>
#include <sys/resource.h>

namespace review
{

namespace
{

const std::vector<zone> sixZones {{"hob-a", "hobart"}, {"lst-a", "launceston"}, {"bur-a", "burnie"},
                                  {"hob-b", "hobart"}, {"lst-b", "launceston"}, {"bur-b", "burnie"}};

bool isReady(fleet &machines, const machine &which)
{
    return call(which.ip, machines.readiness(), "GET", "/-/readyz", "", 1.0).status == 200;
}

void awaitReady(fleet &machines, const machine &which)
{
    const double deadline = now() + 15;
    while (!isReady(machines, which)) {
        if (now() > deadline) {
            cannotRun(which.name + " is not ready");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

void putFirst(control_caller &caller, const std::string &content)
{
    if (caller.order("POST", "/-/Config.Put", content, 20) != 200) {
        cannotRun("the first configuration was not accepted");
    }
}

// One request on a new connection. Returns its status; 0 without an answer in time, -1 without a connection.
int request(const machine &entry, int port, const std::string &method, const std::string &path, const std::string &id, int deadlineMs, double timeout)
{
    connection link;
    const double end = now() + timeout;
    if (!link.open(entry.ip, port, timeout)) {
        return -1;
    }
    if (!link.send(requestText(method, path, id, deadlineMs, method == "GET" ? "" : "load"), timeout)) {
        return 0;
    }
    return link.readResponse(end - now()).status;
}

// RECOVER: 2,060 callers each send a request, read its answer and keep their connection.
int crowd()
{
    constexpr int contactMs = 3000;
    constexpr int crowdSize = 2060;
    constexpr int clients = 10;
    rlimit descriptors {};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    if (descriptors.rlim_cur < 4096) {
        cannotRun("fewer than 4,096 descriptors");
    }
    fleet machines(std::getenv("ROOT"), sixZones, {.contactMs = contactMs});
    for (const auto &each : sixZones) {
        machines.add(each.name, true);
    }
    auto &entry = machines.add("hob-a", false);
    for (auto &each : machines.machines) {
        machines.start(*each, true);
    }
    control_caller operatorCalls(machines, [](const machine &) { return true; });
    instance first(machines, "i-first", "bookdesk", "hob-a", 6, 100);
    instance second(machines, "i-second", "bookdesk", "hob-b", 6, 100);
    putFirst(operatorCalls, configuration(1, {{"r-book", "/book/", "non_idempotent", 3000, "bookdesk"}}, {"bookdesk"}));
    first.beginHeartbeats(*machines.cores()[0]);
    second.beginHeartbeats(*machines.cores()[3]);
    awaitReady(machines, entry);
    sleepUntil(now() + 1.0 + contactMs / 1000.0);

    std::vector<std::unique_ptr<connection>> kept;
    if (hasTrouble()) {
        const double begin = now();
        for (int i = 0; i < crowdSize; ++i) {
            auto link = std::make_unique<connection>();
            const auto text = requestText("GET", "/unknown/", "crowd-" + std::to_string(i), 3000, "");
            if (link->open(entry.ip, machines.front(), 1) && link->send(text, 1)) {
                kept.push_back(std::move(link));
            }
        }
        int answered = 0;
        for (auto &link : kept) {
            answered += link->readResponse(std::max(0.01, begin + 3 - now())).status > 0 ? 1 : 0;
        }
        record("crowd: " + std::to_string(kept.size()) + " connections, " + std::to_string(answered) + " answers, after " + std::to_string(now() - begin)
               + " s");
    }
    // For contact_ms, ordinary clients try: each with a request on a new connection, and again when it has no answer after a second.
    const double begin = now();
    const double end = begin + contactMs / 1000.0;
    std::atomic<int> served {0}, unserved {0}, notReady {0};
    std::set<int> failed;
    std::mutex lock;
    std::vector<std::thread> all;
    for (int client = 0; client < clients; ++client) {
        all.emplace_back([&, client] {
            for (int attempt = 0; now() + 0.5 < end; ++attempt) {
                const auto id = "client-" + std::to_string(client) + "-" + std::to_string(attempt);
                const double sent = now();
                const int status = request(entry, machines.front(), "POST", "/book/1", id, 1000, std::min(1.0, end - now()));
                record("client " + std::to_string(client) + " gets " + std::to_string(status) + " after " + std::to_string(now() - sent) + " s");
                (status > 0 ? served : unserved)++;
                if (status <= 0) {
                    const std::lock_guard guard(lock);
                    failed.insert(client);
                }
                if (status > 0) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(200));
                }
            }
        });
    }
    while (now() + 0.5 < end) {
        const bool ready = isReady(machines, entry);
        record(std::string("ready: ") + (ready ? "200" : "no"));
        notReady += ready ? 0 : 1;
        sleepUntil(std::min(end, now() + 0.5));
    }
    for (auto &each : all) {
        each.join();
    }
    const bool lives = machines.isRunning(entry);
    record("in contact_ms: answered " + std::to_string(served) + ", without answer " + std::to_string(unserved) + " of " + std::to_string(failed.size())
           + " clients; not ready " + std::to_string(notReady) + " times; process " + (lives ? "runs" : "ended"));
    // How long it lasts.
    if (hasTrouble()) {
        while (now() < begin + 30 && request(entry, machines.front(), "POST", "/book/1", "later-" + std::to_string(now()), 1000, 1) <= 0) { }
        record("next answer to a new client " + std::to_string(now() - begin) + " s after the crowd had connected");
    }
    kept.clear();
    const bool isBroken = !lives || (served == 0 && failed.size() >= 7 && notReady == 0);
    return isBroken ? 1 : 0;
}

// DRAIN: an acknowledged deregistration, and the loss of the control host that acknowledged it.
int deregistration()
{
    constexpr double contact = 3.0;
    constexpr double drain = 2.5;
    constexpr double outage = 7.0;
    fleet machines(std::getenv("ROOT"), sixZones, {.contactMs = 3000});
    for (const auto &each : sixZones) {
        machines.add(each.name, true);
    }
    auto &rolled = machines.add("hob-a", false);
    auto &other = machines.add("hob-b", false);
    for (auto &each : machines.machines) {
        machines.start(*each, true);
    }
    control_caller operatorCalls(machines, [](const machine &) { return true; });
    instance leaving(machines, "i-leaving", "paytill", "hob-a", 6, 100);
    instance staying(machines, "i-staying", "paytill", "hob-b", 6, 100);
    putFirst(operatorCalls, configuration(1, {{"r-pay", "/pay/", "non_idempotent", 1500, "paytill"}}, {"paytill"}));
    const auto cores = machines.cores();
    leaving.beginHeartbeats(*cores[1]);
    staying.beginHeartbeats(*cores[2]);
    awaitReady(machines, rolled);
    awaitReady(machines, other);

    std::atomic<bool> sending {true};
    std::mutex lock;
    std::map<std::string, std::pair<machine *, double>> sent;
    std::vector<std::thread> clients;
    for (auto *entry : {&rolled, &other}) {
        for (int client = 0; client < 4; ++client) {
            clients.emplace_back([&, entry, client] {
                for (int i = 0; sending; ++i) {
                    const auto id = entry->zone + "-" + std::to_string(client) + "-" + std::to_string(i);
                    const double at = now();
                    {
                        const std::lock_guard guard(lock);
                        sent[id] = {entry, at};
                    }
                    const int status = request(*entry, machines.front(), "PUT", "/pay/1", id, 1500, 1.6);
                    record("client of " + entry->name + ": " + id + " gets " + std::to_string(status));
                    sleepUntil(std::max(now() + 0.02, at + 0.15));
                }
            });
        }
    }
    sleepUntil(now() + contact + 2);

    // Planned work: an entry host is stopped and started again, and an instance leaves that never reports draining.
    machines.signal(rolled, SIGTERM);
    if (!machines.awaitEnd(rolled, 8)) {
        machines.kill(rolled);
    }
    sleepUntil(now() + 1.8);
    auto *acknowledging = cores[4];
    leaving.stopHeartbeats();
    leaving.heartbeat(*cores[1]);
    const double before = now();
    while (!leaving.deregister(*acknowledging)) {
        if (now() > before + 8) {
            sending = false;
            for (auto &each : clients) {
                each.join();
            }
            cannotRun("the deregistration was not acknowledged");
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        leaving.heartbeat(*cores[1]);
    }
    const double acknowledged = now();
    double inTouchFrom = 0;
    if (hasTrouble()) {
        machines.kill(*acknowledging);
        inTouchFrom = now() + contact;
    }
    machines.start(rolled, false);
    const double restarted = now();
    sleepUntil(acknowledged + outage);
    sending = false;
    for (auto &each : clients) {
        each.join();
    }
    if (hasTrouble()) {
        machines.start(*acknowledging, false);
    }
    int late = 0, excused = 0;
    for (const auto &run : leaving.runs()) {
        if (run.begun <= acknowledged + drain) {
            continue;
        }
        const auto &[entry, at] = sent[run.request];
        const double from = std::max(inTouchFrom, entry == &rolled ? restarted + contact : 0.0);
        // A margin for the time that a start takes to be seen.
        const bool isInTouch = at > from + 0.05;
        (isInTouch ? late : excused)++;
        record("request " + run.request + " reaches " + leaving.id() + " from " + entry->name + " " + std::to_string(run.begun - acknowledged)
               + " s after the acknowledgement" + (isInTouch ? "" : "; not in touch"));
    }
    record("later than drain_ms after the acknowledgement: " + std::to_string(late) + " from machines in touch, " + std::to_string(excused) + " from others");
    return late > 0 ? 1 : 0;
}

// Acks: the three regions of a deployment with 18 control hosts are lost one after the other, each back long before the next.
int region()
{
    constexpr double contact = 5.0;
    constexpr double ackTimeout = 6.0;
    constexpr double seedLag = 3.0;
    constexpr double catchUp = 6.0;
    // The least on which the rule can be judged: the core is stable after contact_ms, and the order has ack_timeout_ms from then on.
    constexpr double outage = contact + ackTimeout + 0.5;
    const std::vector<zone> zones {{"antw-noord", "antwerpen"}, {"gent-haven", "gent"},  {"luik-oost", "luik"},
                                   {"antw-zuid", "antwerpen"},  {"gent-kanaal", "gent"}, {"luik-west", "luik"},
                                   {"antw-kaai", "antwerpen"},  {"gent-dok", "gent"},    {"luik-maas", "luik"}};
    const std::vector<std::string> regions {"antw", "gent", "luik"};
    fleet machines(std::getenv("ROOT"), zones, {.contactMs = 5000, .graceS = 10, .configApplyMs = 3000, .budgetSlack = 404});
    for (const auto &each : zones) {
        machines.add(each.name, true);
        machines.add(each.name, true);
    }
    const double begin = now();
    for (auto *each : machines.cores()) {
        machines.start(*each, true);
    }
    record("all machines started in " + std::to_string(now() - begin) + " s");
    std::string lost;
    double lostAt = 0;
    const auto isIn = [](const machine &which, const std::string &name) { return which.zone.starts_with(name); };
    // The operator's list lags by seed_lag_s.
    control_caller operatorCalls(machines, [&](const machine &which) { return lost.empty() || !isIn(which, lost) || now() < lostAt + seedLag; });
    const std::vector<route> routes {{"r-pay", "/pay/", "non_idempotent", 3000, "payout"}};
    int version = 1;
    putFirst(operatorCalls, configuration(version, routes, {"payout"}));
    sleepUntil(begin + 8 + contact);

    for (const auto &name : regions) {
        if (hasTrouble()) {
            for (auto *each : machines.cores()) {
                if (isIn(*each, name)) {
                    machines.signal(*each, SIGKILL);
                }
            }
            for (auto *each : machines.cores()) {
                if (isIn(*each, name)) {
                    machines.awaitEnd(*each, 5);
                }
            }
            lost = name;
        }
        lostAt = now();
        record("region " + name + (hasTrouble() ? " has no power" : " stays"));
        // The core is stable from contact_ms after the loss on: 12 of its 18 machines run and are connected.
        sleepUntil(lostAt + contact + 0.2);
        const double sentAt = now();
        const auto content = configuration(++version, routes, {"payout"});
        const int status = operatorCalls.order("POST", "/-/Config.Put", content, ackTimeout);
        const double tookFor = now() - sentAt;
        int running = 0;
        for (auto *each : machines.cores()) {
            running += machines.isRunning(*each) ? 1 : 0;
        }
        record("configuration r" + std::to_string(version) + ": "
               + (status == 200 ? "acknowledged after " : "no acknowledgement (" + std::to_string(status) + ") in ") + std::to_string(tookFor) + " s; "
               + std::to_string(running) + " of 18 control hosts run");
        if (running != (hasTrouble() ? 12 : 18)) {
            cannotRun("another control host ended");
        }
        const bool isBroken = status != 200;
        sleepUntil(lostAt + outage);
        if (hasTrouble()) {
            for (auto *each : machines.cores()) {
                if (isIn(*each, name)) {
                    machines.start(*each, false);
                }
            }
            lost.clear();
        }
        const double back = now();
        if (isBroken) {
            const int later = operatorCalls.order("POST", "/-/Config.Put", content, 10);
            record("after region " + name + " is back: " + std::to_string(later) + " in " + std::to_string(now() - back) + " s");
            return 1;
        }
        sleepUntil(back + catchUp + contact);
    }
    return 0;
}

// GONE: clients of an idempotent route with bodies of 100 KB leave before their deadline.
int gone()
{
    constexpr int clients = 40;
    constexpr int leavers = 12;
    constexpr int workMs = 3000;
    fleet machines(std::getenv("ROOT"), sixZones, {.contactMs = 3000});
    for (const auto &each : sixZones) {
        machines.add(each.name, true);
    }
    auto &entry = machines.add("hob-a", false);
    for (auto &each : machines.machines) {
        machines.start(*each, true);
    }
    control_caller operatorCalls(machines, [](const machine &) { return true; });
    std::vector<std::unique_ptr<instance>> servers;
    putFirst(operatorCalls, configuration(1, {{"r-slots", "/slots/", "idempotent", 6000, "slotview"}}, {"slotview"}));
    for (int i = 0; i < 10; ++i) {
        servers.push_back(std::make_unique<instance>(machines, "i-" + std::to_string(i), "slotview", i % 2 == 0 ? "hob-a" : "hob-b", 6, workMs));
        servers.back()->beginHeartbeats(*machines.cores()[static_cast<std::size_t>(i) % 6]);
    }
    awaitReady(machines, entry);
    sleepUntil(now() + 1 + 3);

    std::mutex lock;
    std::map<std::string, double> left;
    std::vector<std::thread> all;
    for (int client = 0; client < clients; ++client) {
        all.emplace_back([&, client] {
            const auto id = "slot-" + std::to_string(client);
            connection link;
            if (!link.open(entry.ip, machines.front(), 1) || !link.send(requestText("PUT", "/slots/1", id, 6000, std::string(100 * 1024, 'x')), 2)) {
                record(id + ": not sent");
                return;
            }
            if (hasTrouble() && client < leavers) {
                sleepUntil(now() + 0.8);
                link.close();
                const std::lock_guard guard(lock);
                left[id] = now();
                record(id + ": the client leaves");
                return;
            }
            record(id + " gets " + std::to_string(link.readResponse(6).status));
        });
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    for (auto &each : all) {
        each.join();
    }
    sleepUntil(now() + workMs / 1000.0 + 1);
    int owed = 0, atWork = 0;
    for (const auto &server : servers) {
        for (const auto &run : server->runs()) {
            const auto found = left.find(run.request);
            if (found == left.end() || run.begun > found->second || run.begun + workMs / 1000.0 < found->second + 0.5) {
                continue;
            }
            ++owed;
            atWork += run.ended > found->second + 0.5 ? 1 : 0;
        }
    }
    record("requests whose client left and that would have lasted half a second longer: " + std::to_string(owed)
           + "; still at work then: " + std::to_string(atWork));
    if (hasTrouble() && owed < 4) {
        cannotRun("too few requests were at work");
    }
    return atWork * 4 > owed ? 1 : 0;
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    rlimit descriptors {};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    const std::map<std::string, int (*)()> cases {
        {"crowd", review::crowd}, {"deregistration", review::deregistration}, {"region", review::region}, {"gone", review::gone}};
    const auto found = argc > 1 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end() || std::getenv("ROOT") == nullptr) {
        std::fprintf(stderr, "usage: ROOT=repository cases crowd|deregistration|region|gone\n");
        return 2;
    }
    try {
        const int verdict = found->second();
        review::record(verdict == 0 ? "the rule held" : "the rule was broken");
        return verdict;
    } catch (int code) {
        return code;
    }
}
