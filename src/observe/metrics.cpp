#include "observe/metrics.h"

#include <array>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>

namespace hornbeampick
{

namespace
{

const prometheus::Histogram::BucketBoundaries hopSeconds {0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};
const prometheus::Histogram::BucketBoundaries drainSeconds {0.1, 0.5, 1, 2, 5, 10, 30, 60, 300};
constexpr std::array roles {"follower", "pre-candidate", "candidate", "leader", "learner", "stopped", "absent"};

double toSeconds(microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

double processorSeconds()
{
    constexpr double microsecondsPerSecond = 1e6;
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
    const auto micros = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    return static_cast<double>(seconds) + static_cast<double>(micros) / microsecondsPerSecond;
}

} // namespace

struct metrics::families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &hops
        = prometheus::BuildHistogram().Name("hornbeampick_hop_seconds").Help("Time of a request's hop").Register(registry);
    prometheus::Family<prometheus::Counter> &answers
        = prometheus::BuildCounter().Name("hornbeampick_answers_total").Help("Answers to callers by service and code").Register(registry);
    prometheus::Family<prometheus::Counter> &retries
        = prometheus::BuildCounter().Name("hornbeampick_retries_total").Help("Second attempts by service").Register(registry);
    prometheus::Family<prometheus::Counter> &claims
        = prometheus::BuildCounter().Name("hornbeampick_claims_total").Help("Claims of keys by outcome").Register(registry);
    prometheus::Family<prometheus::Counter> &intakeLimits = prometheus::BuildCounter()
                                                                .Name("hornbeampick_intake_limits_total")
                                                                .Help("Requests refused and connections closed by limits on what callers hold")
                                                                .Register(registry);
    prometheus::Family<prometheus::Counter> &lookups
        = prometheus::BuildCounter().Name("hornbeampick_lookups_total").Help("Look-ups by service").Register(registry);
    prometheus::Family<prometheus::Counter> &controlBytes
        = prometheus::BuildCounter().Name("hornbeampick_control_bytes_total").Help("Control bytes sent by mechanism").Register(registry);
    prometheus::Family<prometheus::Counter> &controlMessages
        = prometheus::BuildCounter().Name("hornbeampick_control_messages_total").Help("Control messages sent by mechanism").Register(registry);
    prometheus::Family<prometheus::Counter> &controlProcessor = prometheus::BuildCounter()
                                                                    .Name("hornbeampick_control_processor_seconds_total")
                                                                    .Help("Processor time of control work by mechanism, without the transport's")
                                                                    .Register(registry);
    prometheus::Family<prometheus::Gauge> &learnedLimit = prometheus::BuildGauge()
                                                              .Name("hornbeampick_learned_limit_ratio")
                                                              .Help("Learned limit of running requests relative to the slots, by service")
                                                              .Register(registry);
    prometheus::Family<prometheus::Gauge> &learnedSlowness = prometheus::BuildGauge()
                                                                 .Name("hornbeampick_learned_slowness_ratio")
                                                                 .Help("Learned service time of upstreams relative to their service, by service")
                                                                 .Register(registry);
    prometheus::Family<prometheus::Gauge> &headroom
        = prometheus::BuildGauge().Name("hornbeampick_headroom_slots").Help("Free slots by service and region").Register(registry);
    prometheus::Family<prometheus::Gauge> &overflowShare
        = prometheus::BuildGauge().Name("hornbeampick_overflow_share").Help("Share of a service's objects sent to other regions").Register(registry);
    prometheus::Family<prometheus::Gauge> &regionUtilisation = prometheus::BuildGauge()
                                                                   .Name("hornbeampick_region_utilisation")
                                                                   .Help("Estimated utilisation of a service's upstreams, home region and others")
                                                                   .Register(registry);
    prometheus::Family<prometheus::Gauge> &ruleVersion
        = prometheus::BuildGauge().Name("hornbeampick_rule_version").Help("Rule version in force").Register(registry);
    prometheus::Family<prometheus::Gauge> &replicaRole
        = prometheus::BuildGauge().Name("hornbeampick_replica_role").Help("1 for the role this replica has").Register(registry);
    prometheus::Family<prometheus::Gauge> &members = prometheus::BuildGauge().Name("hornbeampick_members").Help("Daemons known by state").Register(registry);
    prometheus::Family<prometheus::Histogram> &drains
        = prometheus::BuildHistogram().Name("hornbeampick_drain_seconds").Help("Time from a drain's start to the last request").Register(registry);
    prometheus::Gauge &processor
        = prometheus::BuildGauge().Name("hornbeampick_processor_seconds").Help("Processor time of this process").Register(registry).Add({});
};

metrics::metrics()
    : m_families(std::make_unique<families>())
{
}

metrics::~metrics() = default;

void metrics::observeHop(const service_name &service, std::string_view hop, microseconds taken)
{
    m_families->hops.Add({{"service", service.string()}, {"hop", std::string(hop)}}, hopSeconds).Observe(toSeconds(taken));
}

void metrics::countAnswer(const service_name &service, std::string_view code)
{
    m_families->answers.Add({{"service", service.string()}, {"code", std::string(code)}}).Increment();
}

void metrics::countRetry(const service_name &service)
{
    m_families->retries.Add({{"service", service.string()}}).Increment();
}

void metrics::countClaim(std::string_view outcome)
{
    m_families->claims.Add({{"outcome", std::string(outcome)}}).Increment();
}

void metrics::countIntakeLimit(std::string_view limit)
{
    m_families->intakeLimits.Add({{"limit", std::string(limit)}}).Increment();
}

void metrics::countLookup(const service_name &service)
{
    m_families->lookups.Add({{"service", service.string()}}).Increment();
}

void metrics::onSent(std::string_view mechanism, std::size_t bytes)
{
    m_families->controlBytes.Add({{"mechanism", std::string(mechanism)}}).Increment(static_cast<double>(bytes));
    m_families->controlMessages.Add({{"mechanism", std::string(mechanism)}}).Increment();
}

void metrics::onProcessorTime(std::string_view mechanism, microseconds processorTime)
{
    m_families->controlProcessor.Add({{"mechanism", std::string(mechanism)}}).Increment(toSeconds(processorTime));
}

void metrics::setLearnedLimits(const service_name &service, double smallest, double largest)
{
    m_families->learnedLimit.Add({{"service", service.string()}, {"upstream", "smallest"}}).Set(smallest);
    m_families->learnedLimit.Add({{"service", service.string()}, {"upstream", "largest"}}).Set(largest);
}

void metrics::setLearnedSlowness(const service_name &service, double smallest, double largest)
{
    m_families->learnedSlowness.Add({{"service", service.string()}, {"upstream", "smallest"}}).Set(smallest);
    m_families->learnedSlowness.Add({{"service", service.string()}, {"upstream", "largest"}}).Set(largest);
}

void metrics::setHeadroom(const service_name &service, const region_name &region, double freeSlots)
{
    m_families->headroom.Add({{"service", service.string()}, {"region", region.string()}}).Set(freeSlots);
}

void metrics::setOverflow(const service_name &service, double share, double homeUtilisation, double othersUtilisation)
{
    m_families->overflowShare.Add({{"service", service.string()}}).Set(share);
    m_families->regionUtilisation.Add({{"service", service.string()}, {"region", "home"}}).Set(homeUtilisation);
    m_families->regionUtilisation.Add({{"service", service.string()}, {"region", "others"}}).Set(othersUtilisation);
}

void metrics::setRuleVersion(std::uint64_t version)
{
    m_families->ruleVersion.Add({}).Set(static_cast<double>(version));
}

void metrics::setReplicaRole(std::string_view role)
{
    for (const char *each : roles) {
        m_families->replicaRole.Add({{"role", each}}).Set(role == each ? 1 : 0);
    }
}

void metrics::setMembers(std::string_view state, std::size_t count)
{
    m_families->members.Add({{"state", std::string(state)}}).Set(static_cast<double>(count));
}

void metrics::observeDrain(std::string_view target, milliseconds taken)
{
    m_families->drains.Add({{"target", std::string(target)}}, drainSeconds).Observe(toSeconds(taken));
}

std::string metrics::text() const
{
    m_families->processor.Set(processorSeconds());
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace hornbeampick
