#include "fleet/upstream_report.h"

#include <tuple>

namespace hornbeampick
{

bool supersedes(const upstream_report &incoming, const upstream_report &known)
{
    // An upstream that is gone does not return within the same incarnation.
    if (known.state == upstream_state::gone && incoming.incarnation == known.incarnation) {
        return false;
    }
    // A delayed report of draining or gone still applies, even if it is older: stopping too early is the safe side.
    const bool leaves = incoming.incarnation == known.incarnation && incoming.state > known.state && incoming.state >= upstream_state::draining;
    const auto rank = [](const upstream_report &report) { return std::tuple(report.incarnation, report.reportedAt, report.state); };
    return leaves || rank(incoming) > rank(known);
}

} // namespace hornbeampick
