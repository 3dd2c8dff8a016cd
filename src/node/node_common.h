#pragma once

#include "core/error.h"
#include "fleet/upstream_report.h"
#include "http/http_server.h"
#include "limits/intake_budget.h"
#include "limits/quota_types.h"
#include "observe/metrics.h"
#include "rpc/peer_client.h"

#include "settings.pb.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// Returns the address of the service at `port` on the host of `address`. A service has the same port on all hosts.
std::string withPort(std::string_view address, std::uint16_t port);

/// Returns the TLS configuration for unencrypted connections, which the hosts of a node deployment use among themselves.
tls_files plainTextTls();

/// Returns the reports that can be used at the wall-clock time `now`, and logs the others. `source` names their origin in log lines.
std::vector<upstream_report> usableReports(std::span<const upstream_report> reports, std::string_view source, wall_ms now);

/// Returns the bounds of quotas. A deployment that does not tell its window has the defaults.
quota_options quotaOptionsOf(const schema::deployment_settings &settings);

/// Serves the metrics in the Prometheus text format at any path.
class metrics_handler final : public http_handler
{
public:
    /// `refresh` is called before each response to update the metrics. `counters` must outlive the handler.
    metrics_handler(metrics &counters, std::function<void()> refresh);

    boost::asio::awaitable<http_response> handle(http_request request) override;
    [[nodiscard]] bool mayAbandon(const http_request &request) const override;
    [[nodiscard]] bool needsBody(std::string_view method, std::string_view target) const override;
    [[nodiscard]] http_response makeErrorResponse(errc error) const override;

private:
    metrics &m_counters;
    std::function<void()> m_refresh;
};

/// Returns the limits on what callers hold, from the settings and the descriptor limit of the process.
intake_options intakeOptionsOf(const schema::node_settings &settings);

/// Counts and logs each time that a limit on what callers hold acts.
class intake_reporter final : public intake_listener
{
public:
    /// `counters` must outlive the reporter.
    explicit intake_reporter(metrics &counters);

    void onLimit(intake_limit limit, std::size_t heldBytes, std::size_t connections) override;

private:
    metrics &m_counters;
};

/// Starts an HTTP server at `address`, "ip:port". Returns null when `address` is empty. Errors: ioFailed.
result<std::unique_ptr<http_server>> startHttpServer(const std::string &address, boost::asio::io_context &context, http_handler &handler,
                                                     std::size_t maxBodyBytes, intake_budget &intake);

} // namespace hornbeampick
