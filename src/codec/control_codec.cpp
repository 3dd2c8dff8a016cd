#include "codec/control_codec.h"

#include "codec/peer_codec.h"
#include "repeated_codec.h"

#include <algorithm>
#include <limits>

namespace hornbeampick
{

schema::relay_peer encode(const relay_peer &value)
{
    schema::relay_peer message;
    message.set_address(value.address);
    message.set_region(value.region.string());
    return message;
}

relay_peer decode(const schema::relay_peer &value)
{
    return {.address = value.address(), .region = region_name(value.region())};
}

schema::watch_request encode(const watch_query &value)
{
    schema::watch_request message;
    auto &watcher = *message.mutable_watcher();
    watcher.set_host(value.watcher.host.string());
    watcher.set_address(value.watcher.address);
    watcher.set_region(value.watcher.region.string());
    watcher.set_failure_domain(value.watcher.domain.string());
    watcher.set_incarnation(value.watcher.incarnation);
    watcher.set_serving(value.watcher.serving);
    watcher.set_relay_address(value.watcher.relayAddress);
    watcher.set_isolated(value.watcher.isolated);
    message.set_source(value.source);
    message.set_position(value.position);
    message.set_applied_index(value.appliedIndex);
    message.set_positions_only(value.positionsOnly);
    message.set_wait_ms(static_cast<std::uint32_t>(value.wait.count()));
    encodeAll(value.deaths, message.mutable_deaths());
    return message;
}

watch_query decode(const schema::watch_request &value)
{
    const auto &watcher = value.watcher();
    return {
        .watcher = {
            .host = host_name(watcher.host()),
            .address = watcher.address(),
            .region = region_name(watcher.region()),
            .domain = domain_name(watcher.failure_domain()),
            .incarnation = watcher.incarnation(),
            .serving = watcher.serving(),
            .relayAddress = watcher.relay_address(),
            .isolated = watcher.isolated(),
        },
        .source = value.source(),
        .position = value.position(),
        .appliedIndex = value.applied_index(),
        .positionsOnly = value.positions_only(),
        .wait = milliseconds(value.wait_ms()),
        .deaths = decodeAll<upstream_death>(value.deaths()),
    };
}

schema::watch_reply encode(const watch_answer &value)
{
    schema::watch_reply message;
    message.set_source(value.source);
    message.set_position(value.position);
    encodeAll(value.upstreams, message.mutable_upstreams());
    if (value.state) {
        *message.mutable_state() = encode(*value.state);
    }
    for (const auto &host : value.controlHosts) {
        message.add_control_hosts(host);
    }
    message.set_entry_hosts(value.entryHosts);
    message.set_entry_hosts_in_region(value.entryHostsInRegion);
    message.set_place_in_region(value.placeInRegion);
    message.set_applied_index(value.appliedIndex);
    encodeAll(value.deaths, message.mutable_deaths());
    encodeAll(value.relayPeers, message.mutable_relay_peers());
    message.set_grantor(value.grantor);
    using limits = std::numeric_limits<std::int32_t>;
    message.set_state_age_ms(static_cast<std::int32_t>(std::clamp<std::int64_t>(value.stateAge.count(), limits::min(), limits::max())));
    return message;
}

watch_answer decode(const schema::watch_reply &value)
{
    watch_answer answer {
        .source = value.source(),
        .position = value.position(),
        .upstreams = decodeAll<upstream_report>(value.upstreams()),
    };
    if (value.has_state()) {
        answer.state = decode(value.state());
    }
    answer.controlHosts.assign(value.control_hosts().begin(), value.control_hosts().end());
    answer.entryHosts = value.entry_hosts();
    answer.entryHostsInRegion = value.entry_hosts_in_region();
    answer.placeInRegion = value.place_in_region();
    answer.appliedIndex = value.applied_index();
    answer.deaths = decodeAll<upstream_death>(value.deaths());
    answer.relayPeers = decodeAll<relay_peer>(value.relay_peers());
    answer.stateAge = milliseconds(value.state_age_ms());
    answer.grantor = value.grantor();
    return answer;
}

schema::quota_draw encode(const quota_draw &value)
{
    schema::quota_draw message;
    message.set_host(value.host.string());
    message.set_incarnation(value.incarnation);
    message.set_number(value.number);
    message.set_last_answered(value.lastAnswered);
    for (const auto &each : value.claims) {
        auto &claim = *message.add_claims();
        claim.set_organisation(each.organisation.string());
        claim.set_spent(each.spent);
        claim.set_returned(each.returned);
        claim.set_wanted(each.wanted);
    }
    return message;
}

quota_draw decode(const schema::quota_draw &value)
{
    quota_draw draw {
        .host = host_name(value.host()),
        .incarnation = value.incarnation(),
        .number = value.number(),
        .lastAnswered = value.last_answered(),
    };
    for (const auto &each : value.claims()) {
        draw.claims.push_back(
            {.organisation = organisation_name(each.organisation()), .spent = each.spent(), .returned = each.returned(), .wanted = each.wanted()});
    }
    return draw;
}

schema::quota_answer encode(const quota_answer &value)
{
    schema::quota_answer message;
    message.set_number(value.number);
    message.set_granting(value.isGranting);
    for (const auto &each : value.grants) {
        auto &grant = *message.add_grants();
        grant.set_organisation(each.organisation.string());
        grant.set_tokens(each.tokens);
        grant.set_retry_after_ms(static_cast<std::uint32_t>(std::clamp<std::int64_t>(each.retryAfter.count(), 0, std::numeric_limits<std::int32_t>::max())));
    }
    return message;
}

quota_answer decode(const schema::quota_answer &value)
{
    quota_answer answer {.number = value.number(), .isGranting = value.granting()};
    for (const auto &each : value.grants()) {
        answer.grants.push_back(
            {.organisation = organisation_name(each.organisation()), .tokens = each.tokens(), .retryAfter = milliseconds(each.retry_after_ms())});
    }
    return answer;
}

} // namespace hornbeampick
