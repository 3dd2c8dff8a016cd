#include "steering/upstream_life.h"

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
struct fell_silent {
};
struct connection_failed {
};

struct life_definition : msm::front::state_machine_def<life_definition> {
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
        Row<warming,  fell_silent,        silent>,
        Row<warming,  connection_failed,  failed>,
        Row<active,   announced_warming,  warming>,
        Row<active,   announced_draining, draining>,
        Row<active,   announced_gone,     gone>,
        Row<active,   fell_silent,        silent>,
        Row<active,   connection_failed,  failed>,
        Row<draining, announced_warming,  warming>,
        Row<draining, announced_active,   active>,
        Row<draining, announced_gone,     gone>,
        Row<draining, fell_silent,        gone>
    > {};
    // clang-format on

    template <typename Machine, typename Event> void no_transition(const Event &, Machine &, int)
    {
    }
};

} // namespace

// `silent`, `failed` and `gone` end this machine; an announcement then begins a new one from `unknown`.
struct upstream_life::machine {
    msm::back::state_machine<life_definition> states;
    life_phase phase = life_phase::unknown;

    template <typename Event> void process(const Event &event)
    {
        states.process_event(event);
        read();
    }

    void read()
    {
        using definition = life_definition;
        const int id = states.current_state()[0];
        const auto is = [&]<typename State>(State *) { return id == msm::back::get_state_id<msm::back::state_machine<definition>::stt, State>::value; };
        if (is(static_cast<definition::warming *>(nullptr))) {
            phase = life_phase::warming;
        } else if (is(static_cast<definition::active *>(nullptr))) {
            phase = life_phase::active;
        } else if (is(static_cast<definition::draining *>(nullptr))) {
            phase = life_phase::draining;
        } else if (is(static_cast<definition::silent *>(nullptr))) {
            phase = life_phase::silent;
        } else if (is(static_cast<definition::failed *>(nullptr))) {
            phase = life_phase::failed;
        } else if (is(static_cast<definition::gone *>(nullptr))) {
            phase = life_phase::gone;
        } else {
            phase = life_phase::unknown;
        }
    }
};

upstream_life::upstream_life()
    : m_machine(std::make_unique<machine>())
{
    m_machine->states.start();
}

upstream_life::~upstream_life() = default;
upstream_life::upstream_life(upstream_life &&) noexcept = default;
upstream_life &upstream_life::operator=(upstream_life &&) noexcept = default;

void upstream_life::onAnnounced(upstream_state state)
{
    const auto before = phase();
    if (before == life_phase::silent || before == life_phase::failed || before == life_phase::gone) {
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

void upstream_life::onSilent()
{
    m_machine->process(fell_silent {});
}

void upstream_life::onFailed()
{
    m_machine->process(connection_failed {});
}

life_phase upstream_life::phase() const
{
    return m_machine->phase;
}

bool upstream_life::takesWork() const
{
    return phase() == life_phase::warming || phase() == life_phase::active;
}

} // namespace hornbeampick
