#include "invariant.h"

#include <algorithm>
#include <sstream>

namespace hornbeampick::soak
{

namespace
{

constexpr unsigned answered = 200;
constexpr unsigned unknownRoute = 404;
constexpr unsigned serverError = 500;
constexpr unsigned notRun = 503;

std::string entryName(std::size_t entry)
{
    return "entry-" + std::to_string(entry);
}

std::string describe(const request_observation &request)
{
    std::ostringstream text;
    const auto sinceRequest = [&](steady_time at) { return std::chrono::duration_cast<milliseconds>(at - request.client.requestedAt).count(); };
    text << "request " << request.client.id << " at " << entryName(request.client.entry) << (request.client.onKeptConnection ? ", kept connection" : "")
         << ", status " << request.client.status << " after " << sinceRequest(request.client.endedAt) << " of " << request.client.deadline.count()
         << " ms, run by";
    for (const auto &run : request.runs) {
        text << ' ' << run.instance << " from " << sinceRequest(run.at) << " ms on";
        if (run.endedAt != steady_time::max()) {
            text << " to " << sinceRequest(run.endedAt);
        }
    }
    return text.str();
}

// Base class of invariants that are checked for each request on its own.
class request_invariant : public invariant
{
public:
    [[nodiscard]] std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &request : seen.requests) {
            if (!holds(request, seen, bounds)) {
                found.push_back({.invariant = std::string(name()), .what = describe(request), .request = request.client.id});
            }
        }
        return found;
    }

protected:
    [[nodiscard]] virtual bool holds(const request_observation &request, const soak_record &seen, const invariant_bounds &bounds) const = 0;
};

class runs_once final : public request_invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "runs-once";
    }

protected:
    [[nodiscard]] bool holds(const request_observation &request, const soak_record & /*seen*/, const invariant_bounds & /*bounds*/) const override
    {
        return !request.client.runOnce || request.runs.size() <= 1;
    }
};

class own_answer final : public request_invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "own-answer";
    }

protected:
    [[nodiscard]] bool holds(const request_observation &request, const soak_record & /*seen*/, const invariant_bounds & /*bounds*/) const override
    {
        return request.client.status != answered || request.client.body == "for " + request.client.id;
    }
};

class true_refusal final : public request_invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "true-refusal";
    }

protected:
    [[nodiscard]] bool holds(const request_observation &request, const soak_record & /*seen*/, const invariant_bounds & /*bounds*/) const override
    {
        return request.client.status != notRun || request.runs.empty();
    }
};

class answers_in_time final : public request_invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "answers-in-time";
    }

protected:
    [[nodiscard]] bool holds(const request_observation &request, const soak_record &seen, const invariant_bounds &bounds) const override
    {
        const auto latest = request.client.requestedAt + request.client.deadline + bounds.answerSlack;
        return request.client.status == 0 || request.client.endedAt <= latest
            || !wasUndisturbed(seen, entryName(request.client.entry), request.client.endedAt, bounds);
    }
};

// Around signals by which operators stop or reload a host, that host ends no request at which an upstream works.
class kept_through_signals final : public request_invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "kept-through-signals";
    }

protected:
    [[nodiscard]] bool holds(const request_observation &request, const soak_record &seen, const invariant_bounds &bounds) const override
    {
        if (!wasBrokenOff(request) || hadTime(request) >= std::min(request.client.deadline, bounds.routeTimeout)) {
            return true;
        }
        const bool signalled = std::ranges::any_of(seen.signals, [&](const planned_signal &signal) { return breaks(signal, request, bounds); });
        return !signalled || wasNearUnplannedFault(request, seen, bounds);
    }

private:
    // Returns true if a request that reached an upstream got no answer, or an error while the upstream was at work on it.
    static bool wasBrokenOff(const request_observation &request)
    {
        if (request.runs.empty()) {
            return false;
        }
        const bool closed = request.client.status == 0 && request.client.end == request_end::closed;
        const bool replaced = request.client.status >= serverError && request.client.status != notRun && request.runs.back().endedAt > request.client.endedAt;
        return closed || replaced;
    }

    static steady_time::duration hadTime(const request_observation &request)
    {
        return request.client.endedAt - request.client.requestedAt;
    }

    static bool breaks(const planned_signal &signal, const request_observation &request, const invariant_bounds &bounds)
    {
        const auto &client = request.client;
        if (signal.toFormer || signal.host != entryName(client.entry) || client.endedAt < signal.at) {
            return false;
        }
        if (!signal.stops) {
            return client.requestedAt <= signal.at + bounds.routesInForce;
        }
        const bool ranTooLong = request.runs.back().endedAt >= signal.at + bounds.stopWorkLimit && client.requestedAt <= signal.at + bounds.stopSendLimit;
        return client.endedAt <= signal.at + bounds.stopGrace + bounds.stopSlack && !ranTooLong;
    }

    static bool wasNearUnplannedFault(const request_observation &request, const soak_record &seen, const invariant_bounds &bounds)
    {
        return std::ranges::any_of(seen.faultIntervals, [&](const fault_interval &each) {
            const bool concerns = each.host == entryName(request.client.entry)
                || std::ranges::any_of(request.runs, [&](const upstream_execution &run) { return run.instance == each.host; });
            return concerns && !each.planned && each.from <= request.client.endedAt && each.to + bounds.contact >= request.client.requestedAt;
        });
    }
};

class serves_through_others final : public invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "serves-through-others";
    }

    [[nodiscard]] std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &loss : seen.losses) {
            std::size_t asked = 0;
            std::size_t served = 0;
            for (const auto &request : seen.requests) {
                const auto &client = request.client;
                const bool inTime = client.requestedAt >= loss.from + bounds.contact && client.endedAt <= loss.to;
                if (client.entry == loss.entry && inTime && !isOtherwiseDisturbed(seen, loss, client, bounds)) {
                    ++asked;
                    served += client.status == answered ? 1 : 0;
                }
            }
            if (!loss.besideFormer && asked >= bounds.minRequestsToJudge
                && static_cast<double>(served) < bounds.servedWithoutUpstreams * static_cast<double>(asked)) {
                found.push_back({.invariant = std::string(name()),
                                 .what = entryName(loss.entry) + " serves " + std::to_string(served) + " of " + std::to_string(asked)
                                     + " requests while it reaches no upstream"});
            }
        }
        return found;
    }

private:
    // Returns true if another fault than the loss affects an entry host around the request. Single control hosts and upstreams may fail.
    static bool isOtherwiseDisturbed(const soak_record &seen, const upstreams_lost &loss, const client_observation &client, const invariant_bounds &bounds)
    {
        return std::ranges::any_of(seen.faultIntervals, [&](const fault_interval &each) {
            const bool isLoss = each.host == entryName(loss.entry) && each.from >= loss.from && each.to <= loss.to + bounds.stopSlack;
            return !isLoss && each.host.starts_with("entry-") && each.from <= client.endedAt && each.to + bounds.contact >= client.requestedAt;
        });
    }
};

class left_alone final : public invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "left-alone";
    }

    [[nodiscard]] std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &request : seen.requests) {
            for (const auto &run : request.runs) {
                const bool late = std::ranges::any_of(seen.deregistrations, [&](const deregistration &gone) {
                    return gone.instance == run.instance && run.at > gone.acknowledgedAt + bounds.drain && run.at < gone.until;
                });
                if (late && wasUndisturbed(seen, entryName(run.entry), run.at, bounds)) {
                    found.push_back({.invariant = std::string(name()), .what = describe(request), .request = request.client.id});
                }
            }
        }
        return found;
    }
};

class evacuations_kept final : public invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "evacuations-kept";
    }

    [[nodiscard]] std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &request : seen.requests) {
            for (const auto &run : request.runs) {
                const bool late = std::ranges::any_of(seen.evacuations, [&](const evacuation &each) {
                    return each.domain == run.domain && run.at > each.acknowledgedAt + bounds.evacuation && run.at < each.until;
                });
                if (late && wasUndisturbed(seen, entryName(run.entry), run.at, bounds)) {
                    found.push_back({.invariant = std::string(name()), .what = describe(request) + " in " + run.domain, .request = run.id});
                }
            }
        }
        return found;
    }
};

class allowed_region final : public request_invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "allowed-region";
    }

protected:
    [[nodiscard]] bool holds(const request_observation &request, const soak_record & /*seen*/, const invariant_bounds & /*bounds*/) const override
    {
        const auto &allowed = request.client.allowedRegion;
        return allowed.empty() || std::ranges::all_of(request.runs, [&](const upstream_execution &run) { return run.region == allowed; });
    }
};

class routes_in_force final : public invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "routes-in-force";
    }

    [[nodiscard]] std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &probe : seen.probes) {
            const auto due = std::ranges::any_of(seen.accepted, [&](const routes_accepted &routes) {
                return routes.version == probe.version && probe.sentAt > routes.acknowledgedAt + bounds.routesInForce && probe.endedAt < routes.supersededAt;
            });
            if (due && probe.status == unknownRoute && wasUndisturbed(seen, entryName(probe.entry), probe.endedAt, bounds)) {
                found.push_back({.invariant = std::string(name()), .what = entryName(probe.entry) + " does not know version " + std::to_string(probe.version)});
            }
        }
        return found;
    }
};

class fresh_reads final : public invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "fresh-reads";
    }

    [[nodiscard]] std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &read : seen.reads) {
            const auto newest = newestBefore(seen, read.sentAt - bounds.routesInForce);
            if (read.version < newest) {
                found.push_back({.invariant = std::string(name()),
                                 .what = read.host + " answers version " + std::to_string(read.version) + " after " + std::to_string(newest)});
            }
        }
        return found;
    }

private:
    static std::uint64_t newestBefore(const soak_record &seen, steady_time at)
    {
        std::uint64_t newest = 0;
        for (const auto &routes : seen.accepted) {
            newest = routes.acknowledgedAt < at ? std::max(newest, routes.version) : newest;
        }
        return newest;
    }
};

class recovers final : public invariant
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "recovers";
    }

    [[nodiscard]] std::vector<finding> check(const soak_record &seen, const invariant_bounds &bounds) const override
    {
        std::vector<finding> found;
        const auto note = [&](const std::string &what) { found.push_back({.invariant = std::string(name()), .what = what}); };
        for (std::size_t i = 0; i < seen.end.entryReady.size(); ++i) {
            if (!seen.end.entryReady[i]) {
                note(entryName(i) + " is not ready");
            }
        }
        for (const auto &host : seen.end.notStopped) {
            note(host + " did not stop in its grace");
        }
        for (const auto &host : seen.end.endedByThemselves) {
            note(host + " ended by itself");
        }
        if (static_cast<double>(seen.end.served) < bounds.servedAtEnd * static_cast<double>(seen.end.asked)) {
            note(std::to_string(seen.end.served) + " of the last " + std::to_string(seen.end.asked) + " requests served");
        }
        for (const auto &routes : seen.accepted) {
            if (routes.version > seen.end.version) {
                note("version " + std::to_string(routes.version) + " is lost, " + std::to_string(seen.end.version) + " is there");
            }
        }
        return found;
    }
};

} // namespace

bool wasUndisturbed(const soak_record &seen, std::string_view host, steady_time at, const invariant_bounds &bounds)
{
    return std::ranges::none_of(seen.faultIntervals, [&](const fault_interval &each) {
        const bool concerns = each.host == host || each.host.starts_with("control-");
        return concerns && each.from <= at && each.to + bounds.settlingTime > at;
    });
}

std::vector<std::unique_ptr<invariant>> allInvariants()
{
    std::vector<std::unique_ptr<invariant>> all;
    all.push_back(std::make_unique<runs_once>());
    all.push_back(std::make_unique<own_answer>());
    all.push_back(std::make_unique<true_refusal>());
    all.push_back(std::make_unique<answers_in_time>());
    all.push_back(std::make_unique<kept_through_signals>());
    all.push_back(std::make_unique<serves_through_others>());
    all.push_back(std::make_unique<left_alone>());
    all.push_back(std::make_unique<evacuations_kept>());
    all.push_back(std::make_unique<allowed_region>());
    all.push_back(std::make_unique<routes_in_force>());
    all.push_back(std::make_unique<fresh_reads>());
    all.push_back(std::make_unique<recovers>());
    return all;
}

std::vector<finding> checkAll(const soak_record &seen, const invariant_bounds &bounds)
{
    std::vector<finding> all;
    for (const auto &each : allInvariants()) {
        for (auto &found : each->check(seen, bounds)) {
            all.push_back(std::move(found));
        }
    }
    return all;
}

} // namespace hornbeampick::soak
