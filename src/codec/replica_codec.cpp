#include "codec/replica_codec.h"

#include "core/overloaded.h"
#include "repeated_codec.h"

#include <algorithm>

namespace hornbeampick
{

namespace
{

constexpr std::uint32_t snapshotFormat = 1;

} // namespace

schema::history_record encode(const history_record &value)
{
    schema::history_record message;
    message.set_version(value.version);
    message.set_digest(value.content.bytes());
    message.set_operator_name(value.operatorName);
    message.set_accepted_at_ms(static_cast<std::uint64_t>(value.acceptedAt));
    return message;
}

history_record decode(const schema::history_record &value)
{
    return {
        .version = value.version(),
        .content = digestFromBytes(value.digest()),
        .operatorName = value.operator_name(),
        .acceptedAt = static_cast<wall_ms>(value.accepted_at_ms()),
    };
}

schema::epoch_member encode(const epoch_member &value)
{
    schema::epoch_member message;
    message.set_host(value.host.string());
    message.set_incarnation(value.incarnation);
    message.set_address(value.address);
    return message;
}

epoch_member decode(const schema::epoch_member &value)
{
    return {.host = host_name(value.host()), .incarnation = value.incarnation(), .address = value.address()};
}

schema::replica_id encode(const replica_id &value)
{
    schema::replica_id message;
    message.set_host(value.host.string());
    message.set_disk(value.disk);
    message.set_address(value.address);
    return message;
}

replica_id decode(const schema::replica_id &value)
{
    return {.host = host_name(value.host()), .disk = value.disk(), .address = value.address()};
}

schema::replica_config encode(const replica_config &value)
{
    schema::replica_config message;
    encodeAll(value.voters, message.mutable_voters());
    encodeAll(value.learners, message.mutable_learners());
    return message;
}

replica_config decode(const schema::replica_config &value)
{
    return {.voters = decodeAll<replica_id>(value.voters()), .learners = decodeAll<replica_id>(value.learners())};
}

schema::line_edit encode(const line_edit &value)
{
    schema::line_edit message;
    message.set_at(value.at);
    message.set_removed(value.removed);
    message.set_added(value.added);
    return message;
}

line_edit decode(const schema::line_edit &value)
{
    return {.at = value.at(), .removed = value.removed(), .added = value.added()};
}

schema::rule_patch encode(const rule_patch &value)
{
    schema::rule_patch message;
    message.set_base(value.base.bytes());
    message.set_result(value.result.bytes());
    encodeAll(value.edits, message.mutable_edits());
    return message;
}

rule_patch decode(const schema::rule_patch &value)
{
    return {.base = digestFromBytes(value.base()), .result = digestFromBytes(value.result()), .edits = decodeAll<line_edit>(value.edits())};
}

schema::rules_change encode(const rules_change &value)
{
    schema::rules_change message;
    message.set_version(value.version);
    std::visit(overloaded {
                   [&](const rule_document &whole) { message.set_text(whole.text()); },
                   [&](const rule_patch &patch) { *message.mutable_patch() = encode(patch); },
               },
               value.body);
    message.set_operator_name(value.operatorName);
    message.set_submitted_at_ms(static_cast<std::uint64_t>(value.submittedAt));
    message.set_digest(value.content.bytes());
    return message;
}

rules_change decode(const schema::rules_change &value)
{
    return {
        .version = value.version(),
        .body = value.has_patch() ? rule_body(decode(value.patch())) : rule_body(rule_document(value.text())),
        .operatorName = value.operator_name(),
        .submittedAt = static_cast<wall_ms>(value.submitted_at_ms()),
        .content = digestFromBytes(value.digest()),
    };
}

schema::claim_epoch encode(const claim_epoch &value)
{
    schema::claim_epoch message;
    message.set_region(value.region.string());
    message.set_number(value.number);
    message.set_opened_at_ms(static_cast<std::uint64_t>(value.openedAt));
    encodeAll(value.members, message.mutable_members());
    return message;
}

claim_epoch decode(const schema::claim_epoch &value)
{
    return {
        .region = region_name(value.region()),
        .number = value.number(),
        .members = decodeAll<epoch_member>(value.members()),
        .openedAt = static_cast<wall_ms>(value.opened_at_ms()),
    };
}

namespace
{

schema::request_kind encode(request_kind value)
{
    switch (value) {
    case request_kind::runOnce:
        return schema::request_run_once;
    case request_kind::idempotent:
        return schema::request_idempotent;
    case request_kind::download:
        return schema::request_download;
    }
    return schema::request_run_once;
}

// A route without a kind comes from a release that only knows `run_once`, one of an unknown kind from a later release, which sets
// `run_once` for this one.
request_kind decodeKind(const schema::route &value)
{
    if (value.run_once()) {
        return request_kind::runOnce;
    }
    return value.kind() == schema::request_download ? request_kind::download : request_kind::idempotent;
}

schema::route encode(const route &value)
{
    schema::route message;
    message.set_name(value.name);
    message.set_hostname(value.hostname);
    message.set_path_prefix(value.pathPrefix);
    message.set_run_once(!isRepeatable(value.kind));
    message.set_kind(encode(value.kind));
    message.set_timeout_ms(static_cast<std::uint32_t>(value.timeout.count()));
    message.set_target_latency_ms(static_cast<std::uint32_t>(value.targetLatency.count()));
    message.set_rank(value.priority);
    message.set_attempts(value.attempts);
    message.set_sticky(value.sticky);
    message.set_allow_anonymous(value.allowAnonymous);
    for (const auto &region : value.allowedRegions) {
        message.add_allowed_regions(region.string());
    }
    for (const auto &[service, weight] : value.services) {
        auto *weighted = message.add_services();
        weighted->set_service(service.string());
        weighted->set_weight(weight);
    }
    return message;
}

route decode(const schema::route &value)
{
    route decoded {
        .name = value.name(),
        .hostname = value.hostname(),
        .pathPrefix = value.path_prefix(),
        .kind = decodeKind(value),
        .timeout = milliseconds(value.timeout_ms()),
        .targetLatency = milliseconds(value.target_latency_ms()),
        .priority = value.rank(),
        .attempts = value.attempts(),
        .sticky = value.sticky(),
        .allowAnonymous = value.allow_anonymous(),
    };
    for (const auto &region : value.allowed_regions()) {
        decoded.allowedRegions.emplace_back(region);
    }
    for (const auto &weighted : value.services()) {
        decoded.services.push_back({.service = service_name(weighted.service()), .weight = weighted.weight()});
    }
    return decoded;
}

schema::routed_service encode(const routed_service &value)
{
    schema::routed_service message;
    message.set_name(value.name.string());
    message.set_health_path(value.healthPath);
    message.set_connections(value.connections);
    message.set_warmup_ms(static_cast<std::uint32_t>(value.warmup.count()));
    message.set_warmup_per_second(value.warmupPerSecond);
    return message;
}

routed_service decode(const schema::routed_service &value)
{
    return {
        .name = service_name(value.name()),
        .healthPath = value.health_path(),
        .connections = value.connections(),
        .warmup = milliseconds(value.warmup_ms()),
        .warmupPerSecond = value.warmup_per_second(),
    };
}

schema::organisation encode(const organisation &value)
{
    schema::organisation message;
    message.set_name(value.name.string());
    for (const auto &key : value.keys) {
        message.add_keys(key.bytes.data(), key.bytes.size());
    }
    if (value.priority) {
        message.set_rank(*value.priority);
    }
    message.set_rate_per_second(value.ratePerSecond);
    message.set_burst(value.burst);
    for (const auto &region : value.allowedRegions) {
        message.add_allowed_regions(region.string());
    }
    return message;
}

organisation decode(const schema::organisation &value)
{
    organisation decoded {
        .name = organisation_name(value.name()),
        .ratePerSecond = value.rate_per_second(),
        .burst = value.burst(),
    };
    for (const auto &key : value.keys()) {
        key_digest digest;
        if (key.size() == digest.bytes.size()) {
            std::ranges::copy(key, digest.bytes.begin());
            decoded.keys.push_back(digest);
        }
    }
    if (value.has_rank()) {
        decoded.priority = value.rank();
    }
    for (const auto &region : value.allowed_regions()) {
        decoded.allowedRegions.emplace_back(region);
    }
    return decoded;
}

} // namespace

schema::routing_table encode(const routing_table &value)
{
    schema::routing_table message;
    message.set_version(value.version);
    for (const auto &each : value.routes) {
        *message.add_routes() = encode(each);
    }
    for (const auto &each : value.services) {
        *message.add_services() = encode(each);
    }
    auto &limits = *message.mutable_limits();
    limits.set_header_bytes(value.limits.headerBytes);
    limits.set_body_bytes(value.limits.bodyBytes);
    limits.set_header_ms(static_cast<std::uint32_t>(value.limits.headerTimeout.count()));
    limits.set_idle_ms(static_cast<std::uint32_t>(value.limits.idleTimeout.count()));
    message.set_document(value.document);
    if (value.organisations) {
        auto &list = *message.mutable_organisations();
        for (const auto &each : *value.organisations) {
            *list.add_organisations() = encode(each);
        }
    }
    return message;
}

routing_table decode(const schema::routing_table &value)
{
    routing_table table {.version = value.version()};
    for (const auto &each : value.routes()) {
        table.routes.push_back(decode(each));
    }
    for (const auto &each : value.services()) {
        table.services.push_back(decode(each));
    }
    table.limits = {
        .headerBytes = value.limits().header_bytes(),
        .bodyBytes = value.limits().body_bytes(),
        .headerTimeout = milliseconds(value.limits().header_ms()),
        .idleTimeout = milliseconds(value.limits().idle_ms()),
    };
    table.document = value.document();
    if (value.has_organisations()) {
        auto &organisations = table.organisations.emplace();
        for (const auto &each : value.organisations().organisations()) {
            organisations.push_back(decode(each));
        }
    }
    return table;
}

schema::log_entry encode(const log_entry &value)
{
    schema::log_entry message;
    message.set_index(value.index);
    message.set_term(value.term);
    std::visit(overloaded {
                   [&](const barrier_entry &) { message.set_kind(schema::entry_barrier); },
                   [&](const rules_change &body) {
                       message.set_kind(schema::entry_rules);
                       *message.mutable_rules() = encode(body);
                   },
                   [&](const claim_epoch &body) {
                       message.set_kind(schema::entry_epoch);
                       *message.mutable_epoch() = encode(body);
                   },
                   [&](const replica_config &body) {
                       message.set_kind(schema::entry_config);
                       *message.mutable_config() = encode(body);
                   },
                   [&](const routing_table &body) {
                       message.set_kind(schema::entry_routing);
                       *message.mutable_routing() = encode(body);
                   },
                   [&](const evacuation_order &body) {
                       message.set_kind(schema::entry_evacuation);
                       message.mutable_evacuation()->set_failure_domain(body.domain.string());
                       message.mutable_evacuation()->set_active(body.active);
                   },
               },
               value.body);
    return message;
}

log_entry decode(const schema::log_entry &value)
{
    log_entry entry {.index = value.index(), .term = value.term(), .body = barrier_entry {}};
    switch (value.kind()) {
    case schema::entry_rules:
        entry.body = decode(value.rules());
        break;
    case schema::entry_epoch:
        entry.body = decode(value.epoch());
        break;
    case schema::entry_config:
        entry.body = decode(value.config());
        break;
    case schema::entry_routing:
        entry.body = decode(value.routing());
        break;
    case schema::entry_evacuation:
        entry.body = evacuation_order {.domain = domain_name(value.evacuation().failure_domain()), .active = value.evacuation().active()};
        break;
    default:
        break;
    }
    return entry;
}

schema::ledger_state encode(const ledger_state &value)
{
    schema::ledger_state message;
    message.set_version(value.version);
    message.set_text(value.text.text());
    message.set_operator_name(value.operatorName);
    encodeAll(value.history, message.mutable_history());
    encodeAll(value.epochs, message.mutable_epochs());
    message.set_applied_index(value.appliedIndex);
    if (value.routing.version > 0) {
        *message.mutable_routing() = encode(value.routing);
    }
    for (const auto &domain : value.evacuated) {
        message.add_evacuated(domain.string());
    }
    return message;
}

ledger_state decode(const schema::ledger_state &value)
{
    ledger_state state {
        .version = value.version(),
        .text = rule_document(value.text()),
        .operatorName = value.operator_name(),
        .history = decodeAll<history_record>(value.history()),
        .epochs = decodeAll<claim_epoch>(value.epochs()),
        .appliedIndex = value.applied_index(),
        .routing = value.has_routing() ? decode(value.routing()) : routing_table {},
    };
    for (const auto &domain : value.evacuated()) {
        state.evacuated.emplace_back(domain);
    }
    return state;
}

schema::snapshot_record encode(const replica_snapshot &value)
{
    schema::snapshot_record message;
    message.set_format(snapshotFormat);
    message.set_index(value.index);
    message.set_term(value.term);
    *message.mutable_config() = encode(value.config);
    *message.mutable_state() = encode(value.state);
    return message;
}

replica_snapshot decode(const schema::snapshot_record &value)
{
    return {.index = value.index(), .term = value.term(), .config = decode(value.config()), .state = decode(value.state())};
}

namespace
{

std::int64_t encodeTime(steady_time time)
{
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

steady_time decodeTime(std::int64_t value)
{
    return steady_time(microseconds(value));
}

// Longer than any machine is up, and short enough to be subtracted from a time.
constexpr microseconds maxConfirmationLag = std::chrono::hours(100'000);

microseconds decodeLag(std::uint64_t value)
{
    return microseconds(static_cast<std::int64_t>(std::min(value, static_cast<std::uint64_t>(maxConfirmationLag.count()))));
}

} // namespace

schema::replica_message encode(const replica_message &value)
{
    schema::replica_message message;
    message.set_kind(static_cast<schema::replica_message_kind>(value.kind));
    *message.mutable_from() = encode(value.from);
    message.set_to_disk(value.to.disk);
    message.set_term(value.term);
    message.set_last_index(value.lastIndex);
    message.set_last_term(value.lastTerm);
    message.set_commit_index(value.commitIndex);
    message.set_granted(value.granted);
    encodeAll(value.entries, message.mutable_entries());
    if (value.snapshot) {
        *message.mutable_snapshot() = encode(*value.snapshot);
    }
    message.set_sent_at_us(encodeTime(value.sentAt));
    message.set_echo_us(encodeTime(value.echo));
    message.set_confirmation_lag_us(static_cast<std::uint64_t>(value.confirmationLag.count()));
    return message;
}

replica_message decode(const schema::replica_message &value)
{
    replica_message message {
        .kind = static_cast<replica_message_kind>(value.kind()),
        .from = decode(value.from()),
        .to = {.host = {}, .disk = value.to_disk(), .address = {}},
        .term = value.term(),
        .lastIndex = value.last_index(),
        .lastTerm = value.last_term(),
        .commitIndex = value.commit_index(),
        .granted = value.granted(),
        .entries = decodeAll<log_entry>(value.entries()),
        .snapshot = std::nullopt,
        .sentAt = decodeTime(value.sent_at_us()),
        .echo = decodeTime(value.echo_us()),
        .confirmationLag = decodeLag(value.confirmation_lag_us()),
    };
    if (value.has_snapshot()) {
        message.snapshot = decode(value.snapshot());
    }
    return message;
}

schema::form_request encode(const form_request &value)
{
    schema::form_request message;
    *message.mutable_sender() = encode(value.sender);
    if (value.config) {
        *message.mutable_config() = encode(*value.config);
    }
    message.set_join(value.join);
    return message;
}

form_request decode(const schema::form_request &value)
{
    form_request request {.sender = decode(value.sender()), .config = std::nullopt, .join = value.join()};
    if (value.has_config()) {
        request.config = decode(value.config());
    }
    return request;
}

schema::form_reply encode(const form_reply &value)
{
    schema::form_reply message;
    message.set_formed(value.formed);
    *message.mutable_self() = encode(value.self);
    *message.mutable_config() = encode(value.config);
    return message;
}

form_reply decode(const schema::form_reply &value)
{
    return {.formed = value.formed(), .self = decode(value.self()), .config = decode(value.config())};
}

schema::submit_reply encode(const submit_result &value)
{
    schema::submit_reply message;
    message.set_error(static_cast<int>(value.error));
    message.set_version(value.version);
    message.set_winner_digest(value.winner.bytes());
    message.set_winner_operator(value.winnerOperator);
    return message;
}

submit_result decode(const schema::submit_reply &value)
{
    return {
        .error = static_cast<errc>(value.error()),
        .version = value.version(),
        .winner = digestFromBytes(value.winner_digest()),
        .winnerOperator = value.winner_operator(),
    };
}

} // namespace hornbeampick
