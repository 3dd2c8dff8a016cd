// Runs a fake upstream as a separate process, for demonstrations.

#include "fakes/upstream_fake.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <pthread.h>
#include <sstream>

int main(int argc, char **argv)
{
    using namespace hornbeampick::testing;
    cxxopts::Options options("upstream_stand_in", "A small upstream.");
    auto add = options.add_options();
    add("service", "", cxxopts::value<std::string>());
    add("instance", "", cxxopts::value<std::string>());
    add("failure-domain", "", cxxopts::value<std::string>());
    add("announce-to", "entry hosts, comma separated", cxxopts::value<std::string>());
    add("slots", "", cxxopts::value<std::uint32_t>()->default_value("4"));
    add("work-ms", "", cxxopts::value<int>()->default_value("5"));
    const auto parsed = options.parse(argc, argv);

    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    upstream_fake_options made;
    made.service = parsed["service"].as<std::string>();
    made.instance = parsed["instance"].as<std::string>();
    made.failureDomain = parsed["failure-domain"].as<std::string>();
    made.slots = parsed["slots"].as<std::uint32_t>();
    made.workTime = std::chrono::milliseconds(parsed["work-ms"].as<int>());
    std::istringstream hosts(parsed["announce-to"].as<std::string>());
    std::string host;
    while (std::getline(hosts, host, ',')) {
        made.announceTo.push_back(host);
    }
    const upstream_fake upstream(made);
    std::cout << upstream.address() << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}
