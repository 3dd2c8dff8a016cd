#pragma once

#include "core/clock.h"
#include "core/names.h"
#include "core/topology.h"
#include "fleet/member_list.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hornbeampick
{

struct member_table_options {
    // A suspect that did not refute for this long is dead.
    milliseconds deadAfter {3000};
    // Changes are passed on for this long; digests repair what is missed.
    milliseconds freshFor {30000};
    // A dead member is forgotten after this long.
    milliseconds forgetAfter {seconds(86400)};
};

/// The daemons that this one knows, their state, and what to pass on about them.
///
/// A change carries (incarnation, sequence); the larger one wins, and among equals the worse state.
/// A daemon that hears bad news of itself refutes it with a larger sequence. Thread-safe; one lock,
/// since every decision reads the whole table.
class member_table
{
public:
    member_table(fleet_member self, const member_table_options &options);

    /// The addresses of this daemon, once its ports are open.
    void setAddresses(std::string httpAddress, std::string rpcAddress);
    /// Merges what a peer said; a record without an address is no news. Returns true when anything was new.
    bool merge(const fleet_member &heard, steady_time now);
    /// A direct exchange with `host` succeeded.
    void onHeard(const host_name &host, steady_time now);
    /// A direct exchange with `host` failed.
    void onMissed(const host_name &host, steady_time now);
    /// Turns suspects into dead and forgets old ones.
    void tick(steady_time now);
    /// This daemon begins to leave: others stop to choose it.
    void leave(steady_time now);

    [[nodiscard]] fleet_member self() const;
    [[nodiscard]] std::optional<fleet_member> find(const host_name &host) const;
    [[nodiscard]] member_list members() const;
    /// Members whose record changed within `freshFor`.
    [[nodiscard]] std::vector<fleet_member> fresh(steady_time now) const;
    /// Serving members of a failure domain, sorted by host.
    [[nodiscard]] std::vector<fleet_member> servingIn(const domain_name &domain) const;
    [[nodiscard]] std::vector<fleet_member> servingIn(const region_name &region) const;
    /// Members that answered directly within `window`, this one included.
    [[nodiscard]] std::vector<fleet_member> heardWithin(milliseconds window, steady_time now) const;
    /// Equal on two daemons whose tables are equal.
    [[nodiscard]] std::uint64_t tableDigest() const;
    /// Rises with every change of the table.
    [[nodiscard]] std::uint64_t revision() const;

private:
    struct record {
        fleet_member member;
        steady_time changedAt {};
        steady_time heardAt {};
        int missed = 0;
    };

    void change(record &changed, member_state state, steady_time now);
    void refute(const fleet_member &heard, steady_time now);

    host_name m_self;
    member_table_options m_options;
    mutable std::mutex m_lock;
    std::map<host_name, record> m_records;
    std::uint64_t m_revision = 1;
    // Of the revision that each was made at.
    mutable std::optional<member_list> m_list;
    mutable std::uint64_t m_listRevision = 0;
    mutable std::uint64_t m_digest = 0;
    mutable std::uint64_t m_digestRevision = 0;
};

} // namespace hornbeampick
