#include "fleet/fleet_member.h"

namespace hornbeampick
{

std::string_view textOf(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "";
}

} // namespace hornbeampick
