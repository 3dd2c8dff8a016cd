#include "daemon/front_end.h"

#include "announcement.h"
#include "claims/epoch_planner.h"
#include "observe/log.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cctype>
#include <charconv>
#include <optional>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::string_view servicePrefix = "/svc/";
constexpr std::size_t maxKeyBytes = 256;
constexpr std::size_t groupMajority = epoch_planner::groupSize / 2 + 1;
constexpr std::int64_t maxTimeoutMs = 600'000;

struct error_status {
    errc error;
    std::uint32_t status;
};

constexpr std::array errorStatuses {
    error_status {errc::malformedRequest, 400},
    error_status {errc::missingKey, 400},
    error_status {errc::missingEpoch, 400},
    error_status {errc::malformedEpoch, 400},
    error_status {errc::malformedAnnouncement, 400},
    error_status {errc::unknownService, 404},
    error_status {errc::unknownPath, 404},
    error_status {errc::bodyTooLarge, 413},
    error_status {errc::headerTooLarge, 431},
    error_status {errc::requestTooSlow, 408},
    error_status {errc::keyReused, 422},
    error_status {errc::claimHeld, 409},
    error_status {errc::epochClosed, 409},
    error_status {errc::answerNotKept, 409},
    error_status {errc::upstreamFailed, 502},
    error_status {errc::peerUnreachable, 502},
    error_status {errc::deadlineExceeded, 504},
};
constexpr std::uint32_t unavailableStatus = 503;

std::uint32_t statusOf(errc error)
{
    const auto found = std::ranges::find(errorStatuses, error, &error_status::error);
    return found == errorStatuses.end() ? unavailableStatus : found->status;
}

// A request target split at its question mark.
struct split_target {
    std::string_view path;
    std::string_view query;
};

split_target split(std::string_view target)
{
    const auto mark = target.find('?');
    if (mark == std::string_view::npos) {
        return {.path = target, .query = {}};
    }
    return {.path = target.substr(0, mark), .query = target.substr(mark + 1)};
}

// Returns the value of a query parameter without decoding it; empty when absent.
std::string_view queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view item = query.substr(0, end);
        const auto equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == name) {
            return item.substr(equals + 1);
        }
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return {};
}

std::optional<milliseconds> parseTimeout(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || value < 1 || value > maxTimeoutMs) {
        return std::nullopt;
    }
    return milliseconds(value);
}

bool isSystemHeader(std::string_view name)
{
    constexpr std::array names {"hornbeampick-epoch", "hornbeampick-timeout-ms", "traceparent"};
    std::string lowered(name);
    std::ranges::transform(lowered, lowered.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return std::ranges::find(names, lowered) != names.end();
}

http_response jsonResponse(std::uint32_t status, const json::value &body)
{
    return {.status = status, .headers = {}, .body = json::serialize(body) + "\n", .contentType = "application/json"};
}

} // namespace

front_end::front_end(const front_end_parts &parts, front_end_options options)
    : m_parts(parts)
    , m_options(std::move(options))
{
}

asio::awaitable<http_response> front_end::handle(http_request request)
{
    const auto path = split(request.target).path;
    if (path.starts_with(servicePrefix)) {
        co_return co_await serveCall(std::move(request));
    }
    if (path == "/v1/announce") {
        co_return request.method == "POST" ? announce(request) : makeErrorResponse(errc::unknownPath);
    }
    if (request.method != "GET") {
        co_return makeErrorResponse(errc::unknownPath);
    }
    if (path == "/v1/entry") {
        co_return lookUp(request);
    }
    if (path == "/v1/status") {
        co_return status();
    }
    if (path == "/metrics") {
        co_return http_response {.status = 200, .headers = {}, .body = m_parts.status.metricsText(), .contentType = "text/plain; version=0.0.4"};
    }
    if (path == "/healthz") {
        co_return http_response {.status = 200, .headers = {}, .body = "ok\n", .contentType = "text/plain"};
    }
    co_return makeErrorResponse(errc::unknownPath);
}

bool front_end::mayAbandon(const http_request &request) const
{
    const auto path = split(request.target).path;
    if (!path.starts_with(servicePrefix)) {
        return false;
    }
    const std::string_view rest = path.substr(servicePrefix.size());
    const auto service = m_options.services.find(rest.substr(0, rest.find('/')));
    return service != m_options.services.end() && service->second.idempotent;
}

http_response front_end::makeErrorResponse(errc error) const
{
    return responseOf(makeErrorAnswer(error, run_outcome::notRun));
}

epoch_id front_end::epochFor(const region_name &region) const
{
    const auto group = m_parts.epochs.current(region);
    if (group && m_parts.agent.reachableMemberCount(*group) >= groupMajority) {
        return group->epoch;
    }
    const auto self = m_parts.members.self();
    return {.region = std::nullopt, .host = self.host, .number = self.incarnation};
}

http_response front_end::lookUp(const http_request &request) const
{
    const auto query = split(request.target).query;
    const auto table = m_parts.table.get();
    const auto service = table->serviceIndex(queryParameter(query, "service"));
    if (service == steering_table::noService) {
        return makeErrorResponse(errc::unknownService);
    }
    const auto text = queryParameter(query, "client");
    const auto client = text.empty() ? std::optional<ipv4>(request.callerAddress) : parseIpv4(text);
    if (!client) {
        return makeErrorResponse(errc::malformedRequest);
    }
    m_parts.counters.countLookup(service_name(queryParameter(query, "service")));
    const auto span = m_parts.traces.begin("look-up", trace_context::parse(request.header("traceparent")));
    const auto choice = table->choose(service, *client);
    json::array entries;
    for (std::uint8_t i = 0; i < choice.entryCount; ++i) {
        const auto &entry = table->entry(choice.entries[i]);
        entries.push_back(json::object {
            {"host", entry.host.view()},
            {"address", entry.httpAddress},
            {"region", entry.region.view()},
            {"failureDomain", entry.domain.view()},
        });
    }
    m_parts.traces.end(span, {{"service", queryParameter(query, "service")}, {"home", table->region(choice.home).view()}, {"reason", textOf(choice.reason)}});
    return jsonResponse(200,
                        json::object {
                            {"ruleVersion", table->ruleVersion()},
                            {"ttlMs", m_options.lookupTtl.count()},
                            {"operationEpoch", epochFor(table->region(choice.home)).text()},
                            {"entries", std::move(entries)},
                        });
}

http_response front_end::announce(const http_request &request)
{
    const auto report = readAnnouncement(request.body);
    if (!report) {
        return makeErrorResponse(errc::malformedAnnouncement);
    }
    const bool knownService = m_options.services.contains(report->service.view());
    if (!knownService) {
        return makeErrorResponse(errc::unknownService);
    }
    if (!m_parts.agent.isKnownDomain(report->domain)) {
        return makeErrorResponse(errc::malformedAnnouncement);
    }
    m_parts.agent.onAnnounce(*report, true);
    constexpr int renewalsPerTtl = 4;
    return jsonResponse(200, json::object {{"ttlMs", m_options.announceTtl.count()}, {"renewMs", m_options.announceTtl.count() / renewalsPerTtl}});
}

http_response front_end::status() const
{
    const auto ownStatus = m_parts.status.hostStatus();
    json::array members;
    for (const auto &member : m_parts.members.members()) {
        members.push_back(json::object {
            {"host", member.host.view()},
            {"region", member.region.view()},
            {"failureDomain", member.domain.view()},
            {"state", textOf(member.state)},
            {"httpAddress", member.httpAddress},
            {"rpcAddress", member.rpcAddress},
        });
    }
    return jsonResponse(200,
                        json::object {
                            {"host", ownStatus.self.host.view()},
                            {"region", ownStatus.self.region.view()},
                            {"failureDomain", ownStatus.self.domain.view()},
                            {"ruleVersion", ownStatus.ruleVersion},
                            {"inForceSinceMs", ownStatus.inForceSince},
                            {"rulesKnown", ownStatus.rulesKnown},
                            {"replicaRole", ownStatus.replicaRole},
                            {"term", ownStatus.term},
                            {"leader", ownStatus.leader},
                            {"cutOff", ownStatus.cutOff},
                            {"members", std::move(members)},
                        });
}

asio::awaitable<http_response> front_end::serveCall(http_request request)
{
    auto call = parseCall(request);
    if (!call) {
        co_return makeErrorResponse(static_cast<errc>(call.error().value()));
    }
    co_return responseOf(co_await m_parts.router.serve(std::move(call.value())));
}

result<caller_request> front_end::parseCall(http_request &request) const
{
    const std::string_view rest = std::string_view(request.target).substr(servicePrefix.size());
    const auto end = std::min(rest.find_first_of("/?"), rest.size());
    const auto service = m_options.services.find(rest.substr(0, end));
    if (service == m_options.services.end()) {
        return errc::unknownService;
    }
    caller_request call;
    auto &upstreamRequest = call.upstreamRequest;
    upstreamRequest.service = service_name(service->first);
    upstreamRequest.method = request.method;
    upstreamRequest.target = rest.substr(end).starts_with('/') ? std::string(rest.substr(end)) : "/" + std::string(rest.substr(end));
    upstreamRequest.idempotent = service->second.idempotent;
    upstreamRequest.caller = request.callerAddress;
    upstreamRequest.traceParent = std::string(request.header("traceparent"));
    call.client = request.callerAddress;

    milliseconds timeout = service->second.timeout;
    if (const auto text = request.header("Hornbeampick-Timeout-Ms"); !text.empty()) {
        const auto requested = parseTimeout(text);
        if (!requested) {
            return errc::malformedRequest;
        }
        timeout = std::min(timeout, *requested);
    }
    upstreamRequest.deadline = m_parts.clock.now() + timeout;
    if (!upstreamRequest.idempotent) {
        call.key = std::string(request.header("Idempotency-Key"));
        if (call.key.empty() || call.key.size() > maxKeyBytes) {
            return errc::missingKey;
        }
        const auto epoch = request.header("Hornbeampick-Epoch");
        if (epoch.empty()) {
            return errc::missingEpoch;
        }
        call.epoch = epoch_id::parse(epoch);
        if (!call.epoch) {
            return errc::malformedEpoch;
        }
    }
    std::erase_if(request.headers, [](const auto &header) { return isSystemHeader(header.first); });
    upstreamRequest.headers = std::move(request.headers);
    upstreamRequest.body = std::move(request.body);
    return call;
}

http_response responseOf(const proxied_answer &answer)
{
    http_response response;
    if (answer.isFromUpstream()) {
        response.status = answer.status;
        response.headers = answer.headers;
        response.body = answer.body;
        response.contentType.clear();
    } else {
        const std::string message = make_error_code(answer.error).message();
        response = jsonResponse(statusOf(answer.error),
                                json::object {
                                    {"code", errorCode(answer.error)},
                                    {"message", message},
                                    {"retryAfterMs", answer.retryAfter.count()},
                                });
        if (response.status == unavailableStatus) {
            const auto wait = std::chrono::ceil<seconds>(std::max(answer.retryAfter, milliseconds(1)));
            response.headers.emplace_back("Retry-After", std::to_string(wait.count()));
        }
    }
    response.headers.emplace_back("Hornbeampick-Outcome", std::string(textOf(answer.outcome)));
    return response;
}

} // namespace hornbeampick
