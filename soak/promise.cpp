#include "promise.h"

#include <algorithm>
#include <sstream>

namespace hornbeampick::soak
{

namespace
{

constexpr unsigned answered = 200;
constexpr unsigned unknownRoute = 404;
constexpr unsigned notRun = 503;

std::string entryName(std::size_t entry)
{
    return "entry-" + std::to_string(entry);
}

std::string storyText(const request_story &story)
{
    std::ostringstream text;
    text << "request " << story.caller.id << " at " << entryName(story.caller.entry) << ", status " << story.caller.status << ", run by";
    for (const auto &run : story.runs) {
        text << ' ' << run.instance;
    }
    return text.str();
}

// Base of the promises that look at one request at a time.
class request_promise : public promise
{
public:
    [[nodiscard]] std::vector<finding> judge(const soak_record &seen, const promise_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &story : seen.requests) {
            if (!isKept(story, seen, bounds)) {
                found.push_back({.promise = std::string(name()), .what = storyText(story)});
            }
        }
        return found;
    }

protected:
    [[nodiscard]] virtual bool isKept(const request_story &story, const soak_record &seen, const promise_bounds &bounds) const = 0;
};

class runs_once final : public request_promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "runs-once";
    }

protected:
    [[nodiscard]] bool isKept(const request_story &story, const soak_record & /*seen*/, const promise_bounds & /*bounds*/) const override
    {
        return !story.caller.runOnce || story.runs.size() <= 1;
    }
};

class own_answer final : public request_promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "own-answer";
    }

protected:
    [[nodiscard]] bool isKept(const request_story &story, const soak_record & /*seen*/, const promise_bounds & /*bounds*/) const override
    {
        return story.caller.status != answered || story.caller.body == "for " + story.caller.id;
    }
};

class true_refusal final : public request_promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "true-refusal";
    }

protected:
    [[nodiscard]] bool isKept(const request_story &story, const soak_record & /*seen*/, const promise_bounds & /*bounds*/) const override
    {
        return story.caller.status != notRun || story.runs.empty();
    }
};

class answers_in_time final : public request_promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "answers-in-time";
    }

protected:
    [[nodiscard]] bool isKept(const request_story &story, const soak_record &seen, const promise_bounds &bounds) const override
    {
        const auto latest = story.caller.askedAt + story.caller.deadline + bounds.answerSlack;
        return story.caller.status == 0 || story.caller.endedAt <= latest || !wasInTouch(seen, entryName(story.caller.entry), story.caller.endedAt, bounds);
    }
};

class left_alone final : public promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "left-alone";
    }

    [[nodiscard]] std::vector<finding> judge(const soak_record &seen, const promise_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &story : seen.requests) {
            for (const auto &run : story.runs) {
                const bool late = std::ranges::any_of(seen.leavings, [&](const leaving &gone) {
                    return gone.instance == run.instance && run.at > gone.acknowledgedAt + bounds.drain && run.at < gone.until;
                });
                if (late && wasInTouch(seen, entryName(run.entry), run.at, bounds)) {
                    found.push_back({.promise = std::string(name()), .what = storyText(story)});
                }
            }
        }
        return found;
    }
};

class routes_in_force final : public promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "routes-in-force";
    }

    [[nodiscard]] std::vector<finding> judge(const soak_record &seen, const promise_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &probe : seen.probes) {
            const auto due = std::ranges::any_of(seen.accepted, [&](const routes_accepted &routes) {
                return routes.version == probe.version && probe.sentAt > routes.acknowledgedAt + bounds.routesInForce && probe.endedAt < routes.supersededAt;
            });
            if (due && probe.status == unknownRoute && wasInTouch(seen, entryName(probe.entry), probe.endedAt, bounds)) {
                found.push_back({.promise = std::string(name()), .what = entryName(probe.entry) + " does not know version " + std::to_string(probe.version)});
            }
        }
        return found;
    }
};

class fresh_reads final : public promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "fresh-reads";
    }

    [[nodiscard]] std::vector<finding> judge(const soak_record &seen, const promise_bounds &bounds) const override
    {
        std::vector<finding> found;
        for (const auto &read : seen.reads) {
            const auto newest = newestBefore(seen, read.sentAt - bounds.routesInForce);
            if (read.version < newest) {
                found.push_back({.promise = std::string(name()),
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

class recovers final : public promise
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "recovers";
    }

    [[nodiscard]] std::vector<finding> judge(const soak_record &seen, const promise_bounds &bounds) const override
    {
        std::vector<finding> found;
        const auto note = [&](const std::string &what) { found.push_back({.promise = std::string(name()), .what = what}); };
        for (std::size_t i = 0; i < seen.end.entryReady.size(); ++i) {
            if (!seen.end.entryReady[i]) {
                note(entryName(i) + " is not ready");
            }
        }
        for (const auto &host : seen.end.stuck) {
            note(host + " did not stop in its grace");
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

bool wasInTouch(const soak_record &seen, std::string_view host, steady_time at, const promise_bounds &bounds)
{
    return std::ranges::none_of(seen.disturbances, [&](const disturbance &each) {
        const bool concerns = each.host == host || each.host.starts_with("control-");
        return concerns && each.from <= at && each.to + bounds.contact > at;
    });
}

std::vector<std::unique_ptr<promise>> allPromises()
{
    std::vector<std::unique_ptr<promise>> all;
    all.push_back(std::make_unique<runs_once>());
    all.push_back(std::make_unique<own_answer>());
    all.push_back(std::make_unique<true_refusal>());
    all.push_back(std::make_unique<answers_in_time>());
    all.push_back(std::make_unique<left_alone>());
    all.push_back(std::make_unique<routes_in_force>());
    all.push_back(std::make_unique<fresh_reads>());
    all.push_back(std::make_unique<recovers>());
    return all;
}

std::vector<finding> judgeAll(const soak_record &seen, const promise_bounds &bounds)
{
    std::vector<finding> all;
    for (const auto &each : allPromises()) {
        for (auto &found : each->judge(seen, bounds)) {
            all.push_back(std::move(found));
        }
    }
    return all;
}

} // namespace hornbeampick::soak
