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

/// What can be done to the system from outside it.
class fault_scene
{
public:
    virtual ~fault_scene() = default;
    virtual void kill(const std::string &host) = 0;
    virtual void start(const std::string &host) = 0;
    virtual void pause(const std::string &host) = 0;
    virtual void resume(const std::string &host) = 0;
    /// Asks it to stop, as operators do, and waits for its end.
    virtual void stop(const std::string &host) = 0;
    virtual void reload(const std::string &host) = 0;
    virtual void emptyDisk(const std::string &host) = 0;
    /// Each write to disk takes this much longer; 0: as usual.
    virtual void slowDisk(const std::string &host, milliseconds delay) = 0;
    virtual void fillDisk(const std::string &host, bool full) = 0;
    virtual void stepClock(const std::string &host, milliseconds ahead) = 0;

    // Links to a control host from all other hosts, or to an upstream.
    virtual void cutLink(const std::string &to, bool fromClient, bool toClient) = 0;
    virtual void silenceLink(const std::string &to, bool silent) = 0;
    virtual void delayLink(const std::string &to, milliseconds time) = 0;
    virtual void resetLink(const std::string &to) = 0;

    virtual void crashUpstream(const std::string &upstream) = 0;
    virtual void restartUpstream(const std::string &upstream) = 0;
    virtual void retireUpstream(const std::string &upstream) = 0;
    virtual void admitUpstream(const std::string &upstream) = 0;
    /// Two upstreams that were restarted hold each other's former addresses.
    virtual void swapAddresses(const std::string &first, const std::string &second) = 0;
};

/// Names that faults may strike.
struct fault_targets {
    std::vector<std::string> controlHosts;
    std::vector<std::string> entryHosts;
    std::vector<std::string> upstreams;
};

/// Something that goes wrong, and is healed later.
class fault
{
public:
    virtual ~fault() = default;
    [[nodiscard]] virtual std::string_view name() const = 0;
    /// Hosts that are not in touch while it lasts.
    [[nodiscard]] virtual std::vector<std::string> hosts() const = 0;
    virtual void begin(fault_scene &scene) = 0;
    virtual void heal(fault_scene &scene) = 0;
};

struct planned_fault {
    milliseconds at {0};
    milliseconds span {0};
    std::shared_ptr<fault> what;
};

struct fault_plan_options {
    std::uint64_t seed = 1;
    milliseconds length {30000};
    // Mean time from one fault to the next.
    milliseconds gap {1200};
    // Faults that empty disks: as many as may be lost at once, over the whole run.
    std::size_t emptiedDisks = 1;
};

/// Faults in series that overlap; the same seed gives the same plan. No two of them strike the same name at once.
std::vector<planned_fault> drawFaults(const fault_targets &targets, const fault_plan_options &options);

} // namespace hornbeampick::soak
