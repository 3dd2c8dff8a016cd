#include "node_common.h"

#include "core/text.h"
#include "observe/log.h"

#include <algorithm>
#include <sys/resource.h>

namespace hornbeampick
{

std::string withPort(std::string_view address, std::uint16_t port)
{
    return parseEndpoint(address).ip + ":" + std::to_string(port);
}

tls_files plainTextTls()
{
    return {.certificate = {}, .key = {}, .authority = {}, .plainText = true};
}

std::vector<upstream_report> usableReports(std::span<const upstream_report> reports, std::string_view source, wall_ms now)
{
    std::vector<upstream_report> usable;
    usable.reserve(reports.size());
    for (const auto &report : reports) {
        if (const auto checked = checkReport(report, now); checked) {
            usable.push_back(report);
        } else {
            logRateLimited(log_level::warning, "announcement-left-out",
                           {{"source", std::string(source)}, {"instance", printableName(report.instance.view())}, errorField(checked.error())});
        }
    }
    return usable;
}

quota_options quotaOptionsOf(const schema::deployment_settings &settings)
{
    if (settings.quota_window_s() == 0) {
        return {};
    }
    return {
        .window = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(settings.quota_window_s())),
        .overage = settings.quota_overage(),
        .tolerance = settings.quota_tolerance(),
    };
}

metrics_handler::metrics_handler(metrics &counters, std::function<void()> refresh)
    : m_counters(counters)
    , m_refresh(std::move(refresh))
{
}

boost::asio::awaitable<http_response> metrics_handler::handle(http_request)
{
    m_refresh();
    co_return http_response {.status = 200, .headers = {}, .body = m_counters.text(), .contentType = "text/plain; version=0.0.4"};
}

bool metrics_handler::mayAbandon(const http_request &) const
{
    return false;
}

bool metrics_handler::needsBody(std::string_view, std::string_view) const
{
    return false;
}

http_response metrics_handler::makeErrorResponse(errc error) const
{
    return {.status = error == errc::stopping ? 503U : 400U, .headers = {}, .body = std::string(errorCode(error)), .contentType = "text/plain"};
}

intake_options intakeOptionsOf(const schema::node_settings &settings)
{
    constexpr std::size_t bytesPerMegabyte = std::size_t {1024} * 1024;
    constexpr std::size_t percent = 100;
    rlimit descriptors {};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    const auto &intake = settings.intake();
    const auto bytes = settings.memory_mb() * bytesPerMegabyte * intake.memory_percent() / percent;
    return {
        .bytes = bytes,
        .reservedBytes = bytes * intake.reserve_percent() / percent,
        .connections = std::max<std::size_t>(descriptors.rlim_cur / percent * intake.connection_percent(), 1),
        .headerFields = intake.header_fields(),
        .stallTime = milliseconds(intake.stall_ms()),
        .paceBytes = intake.pace_bytes(),
    };
}

intake_reporter::intake_reporter(metrics &counters)
    : m_counters(counters)
{
}

void intake_reporter::onLimit(intake_limit limit, std::size_t heldBytes, std::size_t connections)
{
    m_counters.countIntakeLimit(textOf(limit));
    logRateLimited(
        log_level::warning, "intake-limited",
        {{"limit", std::string(textOf(limit))}, {"heldBytes", static_cast<std::int64_t>(heldBytes)}, {"connections", static_cast<std::int64_t>(connections)}});
}

result<std::unique_ptr<http_server>> startHttpServer(const std::string &address, boost::asio::io_context &context, http_handler &handler,
                                                     std::size_t maxBodyBytes, intake_budget &intake)
{
    if (address.empty()) {
        return std::unique_ptr<http_server>();
    }
    const auto [ip, port] = parseEndpoint(address);
    return makeHttpServer({.address = ip, .port = port, .bodyBytes = maxBodyBytes, .intake = &intake}, context, handler);
}

} // namespace hornbeampick
