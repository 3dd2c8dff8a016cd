#pragma once

#include "core/names.h"
#include "core/topology.h"

#include "settings.pb.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeampick
{

/// An error in a settings file. Lines count from 1; 0 means that the error is not tied to one line.
struct settings_error {
    std::string file;
    std::uint32_t line = 0;
    // Full path of the key, such as "timing.exchangeMs".
    std::string key;
    std::string expected;

    /// Formats the error as "file:line: key: expected …".
    [[nodiscard]] std::string text() const;
};

/// The validated settings of a daemon, or every error found. `settings` is null when there is any error.
struct settings_parse {
    std::shared_ptr<const schema::daemon_settings> settings;
    std::vector<settings_error> errors;
};

/// The validated settings of an entry or control host, or every error found. `settings` is null when there is any error.
struct node_settings_parse {
    std::shared_ptr<const schema::node_settings> settings;
    std::vector<settings_error> errors;
};

/// Parses and validates the YAML settings of an entry or control host. `file` is the name in error messages.
node_settings_parse parseNodeSettings(std::string_view text, std::string_view file);
/// Reads and parses the settings file of an entry or control host.
node_settings_parse loadNodeSettings(const std::string &path);

/// Parses and validates the YAML settings of a daemon. `file` is the name in error messages.
settings_parse parseSettings(std::string_view text, std::string_view file);

/// Reads and parses the settings file of a daemon.
settings_parse loadSettings(const std::string &path);

/// Returns true when the share of requests that leave a region follows the load reports of upstreams. That is so when the settings ask for it, and
/// on a host with a small link: it carries so few requests that it seldom sees the same upstream twice while a report is fresh.
bool usesReportedOverflow(const schema::node_settings &settings);

topology topologyOf(const schema::daemon_settings &settings);
topology topologyOf(const schema::node_settings &settings);
std::vector<service_name> servicesOf(const schema::daemon_settings &settings);

} // namespace hornbeampick
