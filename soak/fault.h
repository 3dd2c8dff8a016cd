#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick::soak
{

/// Which program a host runs: that of this build, or an earlier one.
enum class build {
    present,
    former,
};

/// Interface through which faults act on the system under test from outside.
class fault_injector
{
public:
    virtual ~fault_injector() = default;
    virtual void kill(const std::string &host) = 0;
    virtual void start(const std::string &host) = 0;
    virtual void pause(const std::string &host) = 0;
    virtual void resume(const std::string &host) = 0;
    /// Requests a planned stop, as operators do. start() waits until the process has exited.
    virtual void stop(const std::string &host) = 0;
    virtual void reload(const std::string &host) = 0;
    /// Sets the build that a host runs from its next start on.
    virtual void setBuild(const std::string &host, build next) = 0;
    /// Requests further changes of the routes, as operators send them, beside those in progress.
    virtual void changeRoutes() = 0;
    virtual void emptyDisk(const std::string &host) = 0;
    /// Delays each sync of a file by `delay`; 0 restores normal speed.
    virtual void slowDisk(const std::string &host, milliseconds delay) = 0;
    /// Makes writes to files and their syncs fail as on a full disk, or ends this.
    virtual void fillDisk(const std::string &host, bool full) = 0;
    /// Sets the offset of the host's wall clock; 0 restores it.
    virtual void stepClock(const std::string &host, milliseconds ahead) = 0;

    /// Makes a host's new connections to all upstreams fail while its open ones go on, or ends this.
    virtual void loseUpstreams(const std::string &host, bool lost) = 0;

    // Faults of the links from all other hosts to a control host, or from all hosts to an upstream.
    virtual void cutLink(const std::string &to, bool fromClient, bool toClient) = 0;
    virtual void silenceLink(const std::string &to, bool silent) = 0;
    virtual void delayLink(const std::string &to, milliseconds time) = 0;
    virtual void resetLink(const std::string &to) = 0;

    virtual void crashUpstream(const std::string &upstream) = 0;
    virtual void restartUpstream(const std::string &upstream) = 0;
    virtual void retireUpstream(const std::string &upstream) = 0;
    virtual void admitUpstream(const std::string &upstream) = 0;
    /// Exchanges the addresses of two upstreams, as if both were restarted at each other's former address.
    virtual void swapAddresses(const std::string &first, const std::string &second) = 0;
};

/// Names of the processes that faults may affect.
struct fault_targets {
    std::vector<std::string> controlHosts;
    std::vector<std::string> entryHosts;
    std::vector<std::string> upstreams;
};

/// A fault that begins at one time and is healed at a later one.
class fault
{
public:
    virtual ~fault() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// Returns the hosts that may be unreachable or impaired while the fault lasts.
    [[nodiscard]] virtual std::vector<std::string> hosts() const = 0;
    /// Returns the upstreams that may break off requests or be unreachable while the fault lasts.
    [[nodiscard]] virtual std::vector<std::string> upstreams() const = 0;
    /// Returns true for work that operators plan, which hosts must carry out without losing requests.
    [[nodiscard]] virtual bool isPlanned() const = 0;
    virtual void begin(fault_injector &injector) = 0;
    virtual void heal(fault_injector &injector) = 0;
};

struct planned_fault {
    milliseconds at {0};
    milliseconds span {0};
    std::shared_ptr<fault> what;
};

struct fault_plan_options {
    std::uint64_t seed = 1;
    milliseconds length {30000};
    // Mean interval between the starts of consecutive faults.
    milliseconds gap {1200};
    // Maximum number of faults that empty a disk in the whole run: as many disks as the system may lose at once.
    std::size_t emptiedDisks = 1;
    // Mean interval between series of planned work, and the interval between the steps of one.
    milliseconds seriesGap {5000};
    milliseconds stepGap {400};
    // Mean interval between times at which an entry host loses its new connections to all upstreams.
    milliseconds lostUpstreamsGap {12000};
    // All hosts run the former build at first and are replaced one after the other.
    bool replacesHosts = false;
};

/// Generates a plan of faults that may overlap in time; a given seed always gives the same plan. No two faults affect the same host at
/// the same time. Series of planned stops, reloads and changes of the routes are mixed in, drawn apart from the other faults, and
/// so are times at which an entry host reaches no upstream on new connections and replacements of hosts by the other build.
std::vector<planned_fault> planFaults(const fault_targets &targets, const fault_plan_options &options);

} // namespace hornbeampick::soak
