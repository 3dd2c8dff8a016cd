#include "fleet/upstream_report.h"

#include <tuple>

namespace hornbeampick
{

bool supersedes(const upstream_report &heard, const upstream_report &known)
{
    // An upstream that has left does not come back in the same life.
    if (known.state == upstream_state::gone && heard.incarnation == known.incarnation) {
        return false;
    }
    // A late report that the upstream leaves is still obeyed: stopping early is the safe side.
    const bool leaves = heard.incarnation == known.incarnation && heard.state > known.state && heard.state >= upstream_state::draining;
    const auto rank = [](const upstream_report &report) { return std::tuple(report.incarnation, report.reportedAt, report.state); };
    return leaves || rank(heard) > rank(known);
}

} // namespace hornbeampick
