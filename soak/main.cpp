// Soak test: runs the daemons under random external faults and checks the system's invariants.

#include "invariant.h"
#include "soak_environment.h"

#include <cxxopts.hpp>
#include <iostream>
#include <set>

namespace
{

using namespace hornbeampick;
using namespace hornbeampick::soak;

void printPlan(std::span<const planned_fault> plan)
{
    for (const auto &each : plan) {
        std::cout << "  " << each.at.count() << " ms, for " << each.span.count() << " ms: " << each.what->name();
        for (const auto &names : {each.what->hosts(), each.what->upstreams()}) {
            for (const auto &name : names) {
                std::cout << ' ' << name;
            }
        }
        std::cout << '\n';
    }
}

// Runs one seed and returns the number of violated invariants.
std::size_t runSeed(environment_options shape, std::uint64_t seed, milliseconds length, bool verbose)
{
    shape.seed = seed;
    soak_environment environment(shape);
    if (!environment.begin()) {
        std::cout << "seed " << seed << ": did not start\n" << environment.logs();
        return 1;
    }
    const auto plan = planFaults(environment.targets(), {.seed = seed, .length = length, .replacesHosts = !shape.formerProgram.empty()});
    if (verbose) {
        printPlan(plan);
    }
    environment.run(plan);
    const auto seen = environment.seen();
    const auto findings = checkAll(seen);
    std::size_t served = 0;
    for (const auto &request : seen.requests) {
        served += request.client.status == 200 ? 1 : 0;
    }
    std::cout << "seed " << seed << ": " << plan.size() << " faults, " << seen.requests.size() << " requests, " << served << " served, " << seen.accepted.size()
              << " versions, " << seen.deregistrations.size() << " leavings, " << findings.size() << " findings" << std::endl;
    std::map<std::string, std::size_t> counts;
    constexpr std::size_t shownOfEach = 5;
    for (const auto &found : findings) {
        if (++counts[found.invariant] <= shownOfEach) {
            std::cout << "  " << found.invariant << ": " << found.what << '\n' << environment.logsOf(found.request);
        }
    }
    if (!findings.empty()) {
        printPlan(plan);
        std::cout << environment.logs() << std::endl;
    }
    return counts.size();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("hornbeampick_soak", "Real programs under random faults.");
    auto add = options.add_options();
    add("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seconds", "length of the faults of one seed", cxxopts::value<int>()->default_value("30"));
    add("control", "control hosts", cxxopts::value<std::size_t>()->default_value("5"));
    add("entry", "entry hosts", cxxopts::value<std::size_t>()->default_value("4"));
    add("upstreams", "upstreams", cxxopts::value<std::size_t>()->default_value("6"));
    add("former", "program of an earlier build that all hosts run at first, until they are replaced", cxxopts::value<std::string>()->default_value(""));
    add("keep-former", "replace hosts by the earlier build again, to see the faults that it has by itself", cxxopts::value<bool>()->default_value("false"));
    add("verbose", "print the faults", cxxopts::value<bool>()->default_value("false"));
    add("help", "print this");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    const environment_options shape {
        .controlHosts = parsed["control"].as<std::size_t>(),
        .entryHosts = parsed["entry"].as<std::size_t>(),
        .upstreams = parsed["upstreams"].as<std::size_t>(),
        .faultLibrary = HORNBEAMPICK_FAULT_LIBRARY,
        .formerProgram = parsed["former"].as<std::string>(),
        .keepsFormer = parsed["keep-former"].as<bool>(),
    };
    const auto first = parsed["seed"].as<std::uint64_t>();
    std::size_t failed = 0;
    for (std::uint64_t seed = first; seed < first + parsed["seeds"].as<std::uint64_t>(); ++seed) {
        failed += runSeed(shape, seed, std::chrono::seconds(parsed["seconds"].as<int>()), parsed["verbose"].as<bool>()) > 0 ? 1 : 0;
    }
    std::cout << failed << " seeds with findings" << std::endl;
    return failed == 0 ? 0 : 1;
}
