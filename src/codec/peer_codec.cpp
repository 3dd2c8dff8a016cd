#include "codec/peer_codec.h"

#include "codec/replica_codec.h"
#include "core/http_field.h"
#include "core/http_status.h"
#include "repeated_codec.h"

namespace hornbeampick
{

namespace
{

schema::service_load encodeLoad(const service_name &service, const pool_load &load)
{
    schema::service_load message;
    message.set_service(service.string());
    message.set_slots(load.slots);
    message.set_in_flight(load.inFlight);
    message.set_queued(load.queued);
    return message;
}

pool_load decodeLoad(const schema::service_load &value)
{
    return {.slots = value.slots(), .inFlight = value.in_flight(), .queued = value.queued()};
}

template <typename Repeated> void encodeHeaders(const http_headers &headers, Repeated *out)
{
    for (const auto &[name, value] : headers) {
        auto *header = out->Add();
        header->set_name(name);
        header->set_value(value);
    }
}

template <typename Repeated> http_headers decodeHeaders(const Repeated &headers)
{
    http_headers out;
    out.reserve(static_cast<std::size_t>(headers.size()));
    for (const auto &header : headers) {
        out.emplace_back(header.name(), header.value());
    }
    return out;
}

// Encodes the fields that the request and the reply of an exchange have in common.
template <typename Message> Message encodeExchange(const exchange_message &value)
{
    Message message;
    *message.mutable_sender() = encode(value.sender);
    for (const auto &member : value.members) {
        *message.add_members() = encode(member);
    }
    message.set_members_digest(value.membersDigest);
    for (const auto &upstream : value.upstreams) {
        *message.add_upstreams() = encode(upstream);
    }
    message.set_upstreams_digest(value.upstreamsDigest);
    message.set_applied_index(value.appliedIndex);
    for (const auto &load : value.loads) {
        *message.add_loads() = encodeLoad(load.service, load.load);
    }
    return message;
}

template <typename Message> exchange_message decodeExchange(const Message &value)
{
    exchange_message message;
    message.sender = decode(value.sender());
    for (const auto &member : value.members()) {
        message.members.push_back(decode(member));
    }
    message.membersDigest = value.members_digest();
    for (const auto &upstream : value.upstreams()) {
        message.upstreams.push_back(decode(upstream));
    }
    message.upstreamsDigest = value.upstreams_digest();
    message.appliedIndex = value.applied_index();
    for (const auto &load : value.loads()) {
        message.loads.push_back({.service = service_name(load.service()), .load = decodeLoad(load)});
    }
    return message;
}

schema::stored_answer encodeAnswer(const stored_answer &value)
{
    schema::stored_answer message;
    message.set_status(value.status);
    encodeHeaders(value.headers, message.mutable_headers());
    message.set_body(value.body);
    return message;
}

// Returns true when an answer has the status and the field names of a final response.
template <typename Answer> bool hasValidHead(const Answer &answer)
{
    return isFinalStatus(answer.status()) && std::ranges::all_of(answer.headers(), [](const auto &header) { return isFieldName(header.name()); });
}

// Returns an empty value when the head is not that of a final response: hosts of earlier releases store responses with any status.
std::optional<stored_answer> decodeAnswer(const schema::stored_answer &value)
{
    if (!hasValidHead(value)) {
        return std::nullopt;
    }
    return stored_answer {.status = value.status(), .headers = decodeHeaders(value.headers()), .body = value.body()};
}

schema::claim_owner encodeOwner(const claim_owner &value)
{
    schema::claim_owner message;
    message.set_host(value.host.string());
    message.set_incarnation(value.incarnation);
    message.set_number(value.number);
    return message;
}

claim_owner decodeOwner(const schema::claim_owner &value)
{
    return {.host = host_name(value.host()), .incarnation = value.incarnation(), .number = value.number()};
}

} // namespace

schema::member encode(const fleet_member &value)
{
    schema::member message;
    message.set_host(value.host.string());
    message.set_http_address(value.httpAddress);
    message.set_rpc_address(value.rpcAddress);
    message.set_region(value.region.string());
    message.set_failure_domain(value.domain.string());
    message.set_incarnation(value.incarnation);
    message.set_sequence(value.sequence);
    message.set_state(static_cast<schema::member_state>(value.state));
    return message;
}

fleet_member decode(const schema::member &value)
{
    return {
        .host = host_name(value.host()),
        .httpAddress = value.http_address(),
        .rpcAddress = value.rpc_address(),
        .region = region_name(value.region()),
        .domain = domain_name(value.failure_domain()),
        .incarnation = value.incarnation(),
        .sequence = value.sequence(),
        .state = static_cast<member_state>(value.state()),
    };
}

schema::upstream encode(const upstream_report &value)
{
    schema::upstream message;
    message.set_service(value.service.string());
    message.set_address(value.address);
    message.set_instance(value.instance.string());
    message.set_incarnation(value.incarnation);
    message.set_failure_domain(value.domain.string());
    message.set_slots(value.slots);
    message.set_connections(value.connections);
    message.set_state(static_cast<schema::upstream_state>(value.state));
    message.set_in_flight(value.inFlight);
    message.set_reported_at_ms(static_cast<std::uint64_t>(value.reportedAt));
    message.set_warmup_left_ms(static_cast<std::uint32_t>(value.warmupLeft.count()));
    message.set_silent(value.silent);
    message.set_left_at_ms(static_cast<std::uint64_t>(value.leftAt));
    return message;
}

upstream_report decode(const schema::upstream &value)
{
    return {
        .service = service_name(value.service()),
        .instance = instance_name(value.instance()),
        .address = value.address(),
        .domain = domain_name(value.failure_domain()),
        .incarnation = value.incarnation(),
        .slots = value.slots(),
        .connections = value.connections(),
        .state = static_cast<upstream_state>(value.state()),
        .inFlight = value.in_flight(),
        .reportedAt = static_cast<wall_ms>(value.reported_at_ms()),
        .warmupLeft = milliseconds(value.warmup_left_ms()),
        .silent = value.silent(),
        .leftAt = static_cast<wall_ms>(value.left_at_ms()),
    };
}

schema::exchange_request encode(const exchange_message &value)
{
    auto message = encodeExchange<schema::exchange_request>(value);
    message.set_want_all(value.wantAll);
    return message;
}

schema::exchange_reply encodeReply(const exchange_message &value)
{
    return encodeExchange<schema::exchange_reply>(value);
}

exchange_message decode(const schema::exchange_request &value)
{
    auto message = decodeExchange(value);
    message.wantAll = value.want_all();
    return message;
}

exchange_message decode(const schema::exchange_reply &value)
{
    return decodeExchange(value);
}

schema::rules_request encode(const rules_position &value)
{
    schema::rules_request message;
    message.set_have_index(value.index);
    message.set_have_version(value.version);
    message.set_with_history(value.withHistory);
    return message;
}

rules_position decode(const schema::rules_request &value)
{
    return {.index = value.have_index(), .version = value.have_version(), .withHistory = value.with_history()};
}

schema::rules_reply encode(const rules_update &value)
{
    schema::rules_reply message;
    *message.mutable_state() = encode(value.state);
    message.set_patched(value.patches.has_value());
    if (value.patches) {
        encodeAll(*value.patches, message.mutable_patches());
    }
    return message;
}

rules_update decode(const schema::rules_reply &value)
{
    rules_update update {.state = decode(value.state()), .patches = std::nullopt};
    if (value.patched()) {
        update.patches = decodeAll<rule_patch>(value.patches());
    }
    return update;
}

schema::forward_request encode(const forward_message &value)
{
    schema::forward_request message;
    const auto &request = value.request;
    message.set_service(request.service.string());
    message.set_method(request.method);
    message.set_target(request.target);
    encodeHeaders(request.headers, message.mutable_headers());
    message.set_body(request.body);
    message.set_timeout_ms(static_cast<std::uint32_t>(value.timeout.count()));
    message.set_idempotent(request.idempotent);
    message.set_home_region(request.home.string());
    message.set_trace_parent(request.traceParent);
    message.set_shifted(request.shifted);
    message.set_sender_host(value.senderHost.string());
    message.set_sender_region(value.senderRegion.string());
    message.set_caller(request.caller);
    if (request.avoid) {
        message.set_avoid_instance(request.avoid->string());
    }
    return message;
}

forward_message decode(const schema::forward_request &value, steady_time now)
{
    forward_message message;
    auto &request = message.request;
    request.service = service_name(value.service());
    request.method = value.method();
    request.target = value.target();
    request.headers = decodeHeaders(value.headers());
    request.body = value.body();
    request.caller = value.caller();
    request.deadline = now + milliseconds(value.timeout_ms());
    request.idempotent = value.idempotent();
    request.home = region_name(value.home_region());
    request.shifted = value.shifted();
    request.traceParent = value.trace_parent();
    if (!value.avoid_instance().empty()) {
        request.avoid = instance_name(value.avoid_instance());
    }
    message.senderHost = host_name(value.sender_host());
    message.senderRegion = region_name(value.sender_region());
    message.timeout = milliseconds(value.timeout_ms());
    return message;
}

schema::forward_reply encode(const forward_result &value)
{
    schema::forward_reply message;
    const auto &answer = value.answer;
    message.set_outcome(static_cast<schema::outcome>(answer.outcome));
    message.set_status(answer.status);
    encodeHeaders(answer.headers, message.mutable_headers());
    message.set_body(answer.body);
    message.set_error(static_cast<int>(answer.error));
    message.set_upstream_died(answer.upstreamDied);
    message.set_instance(answer.instance.string());
    message.set_retry_after_ms(static_cast<std::uint32_t>(answer.retryAfter.count()));
    *message.mutable_load() = encodeLoad({}, value.load);
    return message;
}

forward_result decode(const schema::forward_reply &value)
{
    forward_result message;
    auto &answer = message.answer;
    answer.outcome = static_cast<run_outcome>(value.outcome());
    answer.error = static_cast<errc>(value.error());
    // Hosts of earlier releases pass on responses with any status.
    const bool isInvalid = answer.isFromUpstream() && !hasValidHead(value);
    if (isInvalid) {
        answer.outcome = run_outcome::unknown;
        answer.error = errc::upstreamFailed;
    } else {
        answer.status = value.status();
        answer.headers = decodeHeaders(value.headers());
        answer.body = value.body();
    }
    answer.retryAfter = milliseconds(value.retry_after_ms());
    answer.upstreamDied = value.upstream_died();
    answer.instance = instance_name(value.instance());
    message.load = decodeLoad(value.load());
    return message;
}

schema::claim_request encode(const claim_request &value)
{
    schema::claim_request message;
    message.set_action(static_cast<schema::claim_action>(value.action));
    message.set_epoch(value.epoch.text());
    message.set_key(value.key);
    message.set_digest(value.content.bytes());
    *message.mutable_owner() = encodeOwner(value.owner);
    if (value.answer) {
        *message.mutable_answer() = encodeAnswer(*value.answer);
    }
    message.set_member_incarnation(value.memberIncarnation);
    return message;
}

claim_request decode(const schema::claim_request &value)
{
    claim_request request;
    request.action = static_cast<claim_action>(value.action());
    request.epoch = epoch_id::parse(value.epoch()).value_or(epoch_id {});
    request.key = value.key();
    request.content = digestFromBytes(value.digest());
    request.owner = decodeOwner(value.owner());
    if (value.has_answer()) {
        request.answer = decodeAnswer(value.answer());
    }
    request.memberIncarnation = value.member_incarnation();
    return request;
}

schema::claim_reply encode(const claim_reply &value)
{
    schema::claim_reply message;
    message.set_verdict(static_cast<schema::claim_verdict>(value.verdict));
    *message.mutable_owner() = encodeOwner(value.owner);
    if (value.answer) {
        *message.mutable_answer() = encodeAnswer(*value.answer);
    }
    return message;
}

claim_reply decode(const schema::claim_reply &value)
{
    claim_reply reply {.verdict = static_cast<claim_verdict>(value.verdict()), .owner = decodeOwner(value.owner()), .answer = std::nullopt};
    if (value.has_answer()) {
        reply.answer = decodeAnswer(value.answer());
    }
    return reply;
}

schema::poison_notice encode(const upstream_death &value)
{
    schema::poison_notice message;
    message.set_digest(value.request.bytes());
    message.set_instance(value.instance.string());
    message.set_incarnation(value.incarnation);
    return message;
}

upstream_death decode(const schema::poison_notice &value)
{
    return {.request = digestFromBytes(value.digest()), .instance = instance_name(value.instance()), .incarnation = value.incarnation()};
}

schema::status_reply encode(const host_status &value)
{
    schema::status_reply message;
    *message.mutable_self() = encode(value.self);
    message.set_rule_version(value.ruleVersion);
    message.set_in_force_since_ms(static_cast<std::uint64_t>(value.inForceSince));
    message.set_replica_role(value.replicaRole);
    message.set_term(value.term);
    message.set_leader(value.leader);
    message.set_cut_off(value.cutOff);
    message.set_rules_known(value.rulesKnown);
    return message;
}

host_status decode(const schema::status_reply &value)
{
    return {
        .self = decode(value.self()),
        .ruleVersion = value.rule_version(),
        .inForceSince = static_cast<wall_ms>(value.in_force_since_ms()),
        .replicaRole = value.replica_role(),
        .term = value.term(),
        .leader = value.leader(),
        .cutOff = value.cut_off(),
        .rulesKnown = value.rules_known(),
    };
}

schema::fleet_status_reply encode(const fleet_status &value)
{
    schema::fleet_status_reply message;
    for (const auto &host : value.hosts) {
        *message.add_hosts() = encode(host);
    }
    for (const auto &member : value.silent) {
        *message.add_silent() = encode(member);
    }
    return message;
}

fleet_status decode(const schema::fleet_status_reply &value)
{
    fleet_status status;
    for (const auto &host : value.hosts()) {
        status.hosts.push_back(decode(host));
    }
    for (const auto &member : value.silent()) {
        status.silent.push_back(decode(member));
    }
    return status;
}

schema::explain_reply encode(const steering_explanation &value)
{
    schema::explain_reply message;
    message.set_error(static_cast<int>(value.error));
    message.set_rule_version(value.ruleVersion);
    message.set_home(value.home.string());
    message.set_destination(value.destination.string());
    message.set_reason(value.reason);
    for (const auto &entry : value.entries) {
        *message.add_entries() = encode(entry);
    }
    message.set_epoch(value.epoch);
    for (const auto &rule : value.rules) {
        message.add_rules(rule);
    }
    return message;
}

steering_explanation decode(const schema::explain_reply &value)
{
    steering_explanation explanation;
    explanation.error = static_cast<errc>(value.error());
    explanation.ruleVersion = value.rule_version();
    explanation.home = region_name(value.home());
    explanation.destination = region_name(value.destination());
    explanation.reason = value.reason();
    for (const auto &entry : value.entries()) {
        explanation.entries.push_back(decode(entry));
    }
    explanation.epoch = value.epoch();
    explanation.rules.assign(value.rules().begin(), value.rules().end());
    return explanation;
}

schema::loads_reply encode(const std::vector<service_region_load> &value)
{
    schema::loads_reply message;
    for (const auto &each : value) {
        auto *load = message.add_loads();
        load->set_service(each.service.string());
        load->set_region(each.region.string());
        load->set_slots(each.load.slots);
        load->set_in_flight(each.load.inFlight);
        load->set_queued(each.load.queued);
    }
    return message;
}

std::vector<service_region_load> decode(const schema::loads_reply &value)
{
    std::vector<service_region_load> loads;
    for (const auto &each : value.loads()) {
        loads.push_back({
            .service = service_name(each.service()),
            .region = region_name(each.region()),
            .load = {.slots = each.slots(), .inFlight = each.in_flight(), .queued = each.queued()},
        });
    }
    return loads;
}

} // namespace hornbeampick
