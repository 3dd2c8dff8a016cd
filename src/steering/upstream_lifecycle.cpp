#include "steering/upstream_lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace hornbeampick
{

namespace
{

namespace msm = boost::msm;
namespace mpl = boost::mpl;
using msm::front::Row;

// Events.
struct announced_warming {
};
struct announced_active {
};
struct announced_draining {
};
struct announced_gone {
};
struct lease_expired {
};
struct connection_failed {
};

struct lifecycle_definition : msm::front::state_machine_def<lifecycle_definition> {
    struct unknown : msm::front::state<> {
    };
    struct warming : msm::front::state<> {
    };
    struct active : msm::front::state<> {
    };
    struct draining : msm::front::state<> {
    };
    struct silent : msm::front::state<> {
    };
    struct failed : msm::front::state<> {
    };
    struct gone : msm::front::state<> {
    };

    using initial_state = unknown;
    using no_exception_thrown = int;

    // clang-format off
    struct transition_table : mpl::vector<
        Row<unknown,  announced_warming,  warming>,
        Row<unknown,  announced_active,   active>,
        Row<unknown,  announced_draining, draining>,
        Row<unknown,  announced_gone,     gone>,
        Row<warming,  announced_active,   active>,
        Row<warming,  announced_draining, draining>,
        Row<warming,  announced_gone,     gone>,
        Row<warming,  lease_expired,        silent>,
        Row<warming,  connection_failed,  failed>,
        Row<active,   announced_warming,  warming>,
        Row<active,   announced_draining, draining>,
        Row<active,   announced_gone,     gone>,
        Row<active,   lease_expired,        silent>,
        Row<active,   connection_failed,  failed>,
        Row<draining, announced_warming,  warming>,
        Row<draining, announced_active,   active>,
        Row<draining, announced_gone,     gone>,
        Row<draining, lease_expired,        gone>
    > {};
    // clang-format on

    template <typename Machine, typename Event> void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

// `silent`, `failed` and `gone` are terminal states; the next announcement starts a new machine in `unknown`.
struct upstream_lifecycle::machine {
    msm::back::state_machine<lifecycle_definition> states;
    lifecycle_phase phase = lifecycle_phase::unknown;

    template <typename Event> void process(const Event &event)
    {
        states.process_event(event);
        updatePhase();
    }

    void updatePhase()
    {
        using definition = lifecycle_definition;
        const int id = states.current_state()[0];
        const auto is = [&]<typename State>(State *) { return id == msm::back::get_state_id<msm::back::state_machine<definition>::stt, State>::value; };
        if (is(static_cast<definition::warming *>(nullptr))) {
            phase = lifecycle_phase::warming;
        } else if (is(static_cast<definition::active *>(nullptr))) {
            phase = lifecycle_phase::active;
        } else if (is(static_cast<definition::draining *>(nullptr))) {
            phase = lifecycle_phase::draining;
        } else if (is(static_cast<definition::silent *>(nullptr))) {
            phase = lifecycle_phase::silent;
        } else if (is(static_cast<definition::failed *>(nullptr))) {
            phase = lifecycle_phase::failed;
        } else if (is(static_cast<definition::gone *>(nullptr))) {
            phase = lifecycle_phase::gone;
        } else {
            phase = lifecycle_phase::unknown;
        }
    }
};

upstream_lifecycle::upstream_lifecycle()
    : m_machine(std::make_unique<machine>())
{
    m_machine->states.start();
}

upstream_lifecycle::~upstream_lifecycle() = default;
upstream_lifecycle::upstream_lifecycle(upstream_lifecycle &&) noexcept = default;
upstream_lifecycle &upstream_lifecycle::operator=(upstream_lifecycle &&) noexcept = default;

void upstream_lifecycle::onAnnounced(upstream_state state)
{
    const auto previous = phase();
    if (previous == lifecycle_phase::silent || previous == lifecycle_phase::failed || previous == lifecycle_phase::gone) {
        m_machine = std::make_unique<machine>();
        m_machine->states.start();
    }
    switch (state) {
    case upstream_state::warming:
        m_machine->process(announced_warming {});
        break;
    case upstream_state::active:
        m_machine->process(announced_active {});
        break;
    case upstream_state::draining:
        m_machine->process(announced_draining {});
        break;
    case upstream_state::gone:
        m_machine->process(announced_gone {});
        break;
    }
}

void upstream_lifecycle::onLeaseExpired()
{
    m_machine->process(lease_expired {});
}

void upstream_lifecycle::onConnectionFailed()
{
    m_machine->process(connection_failed {});
}

lifecycle_phase upstream_lifecycle::phase() const
{
    return m_machine->phase;
}

bool upstream_lifecycle::acceptsRequests() const
{
    return phase() == lifecycle_phase::warming || phase() == lifecycle_phase::active;
}

} // namespace hornbeampick
