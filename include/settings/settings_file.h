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

/// What is wrong at one place of a settings file. Lines count from 1; 0: the file as a whole.
struct settings_error {
    std::string file;
    std::uint32_t line = 0;
    // Path of the key, such as "timing.exchangeMs".
    std::string key;
    std::string expected;

    /// "file:line: key: expected …".
    [[nodiscard]] std::string text() const;
};

/// Checked settings, or every error found.
struct settings_parse {
    std::shared_ptr<const schema::daemon_settings> settings;
    std::vector<settings_error> errors;
};

/// Checked settings of an entry or control host, or every error found.
struct node_settings_parse {
    std::shared_ptr<const schema::node_settings> settings;
    std::vector<settings_error> errors;
};

/// Reads YAML text against the schema of an entry or control host. `file` names it in errors only.
node_settings_parse parseNodeSettings(std::string_view text, std::string_view file);
node_settings_parse loadNodeSettings(const std::string &path);

/// Reads YAML text against the settings schema. `file` names it in errors only.
settings_parse parseSettings(std::string_view text, std::string_view file);

/// Reads a settings file from disk.
settings_parse loadSettings(const std::string &path);

topology topologyOf(const schema::daemon_settings &settings);
topology topologyOf(const schema::node_settings &settings);
std::vector<service_name> servicesOf(const schema::daemon_settings &settings);

} // namespace hornbeampick
