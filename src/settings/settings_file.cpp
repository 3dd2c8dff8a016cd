#include "settings/settings_file.h"

#include "core/text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <fstream>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace hornbeampick
{

namespace
{

namespace pb = google::protobuf;

const schema::value_check &checkOf(const pb::FieldDescriptor &field)
{
    return field.options().GetExtension(schema::check);
}

std::string joinPath(const std::string &path, std::string_view key)
{
    return path.empty() ? std::string(key) : path + "." + std::string(key);
}

// Fills a settings message from YAML by means of protobuf reflection; collects all errors.
class settings_reader
{
public:
    explicit settings_reader(std::string_view file)
        : m_file(file)
    {
    }

    void readMessage(const YAML::Node &node, pb::Message &message, const std::string &path)
    {
        if (!node.IsMap()) {
            report(node, path, "a mapping of keys to values");
            return;
        }
        std::set<std::string> presentKeys;
        for (const auto &item : node) {
            const auto key = item.first.as<std::string>();
            const auto *field = findField(message, key);
            if (field == nullptr) {
                report(item.first, joinPath(path, key), "a key of the settings schema; this one is unknown");
            } else if (!presentKeys.insert(key).second) {
                report(item.first, joinPath(path, key), "each key at most once");
            } else {
                readField(item.second, message, *field, joinPath(path, key));
            }
        }
        applyDefaults(node, message, path, presentKeys);
    }

    void report(const YAML::Node &node, const std::string &key, std::string_view expected)
    {
        const auto mark = node.Mark();
        const auto line = mark.is_null() ? 0U : static_cast<std::uint32_t>(mark.line + 1);
        m_errors.push_back({.file = std::string(m_file), .line = line, .key = key, .expected = std::string(expected)});
    }

    std::vector<settings_error> take()
    {
        return std::move(m_errors);
    }

private:
    static const pb::FieldDescriptor *findField(const pb::Message &message, const std::string &key)
    {
        const auto *descriptor = message.GetDescriptor();
        for (int i = 0; i < descriptor->field_count(); ++i) {
            if (descriptor->field(i)->json_name() == key) {
                return descriptor->field(i);
            }
        }
        return nullptr;
    }

    void readField(const YAML::Node &node, pb::Message &message, const pb::FieldDescriptor &field, const std::string &path)
    {
        if (!field.is_repeated()) {
            readValue(node, message, field, path);
            return;
        }
        if (!node.IsSequence()) {
            report(node, path, "a list");
            return;
        }
        std::size_t position = 0;
        for (const auto &item : node) {
            readValue(item, message, field, path + "[" + std::to_string(position++) + "]");
        }
    }

    void readValue(const YAML::Node &node, pb::Message &message, const pb::FieldDescriptor &field, const std::string &path)
    {
        const auto &reflection = *message.GetReflection();
        if (field.cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE) {
            auto *child = field.is_repeated() ? reflection.AddMessage(&message, &field) : reflection.MutableMessage(&message, &field);
            readMessage(node, *child, path);
            return;
        }
        if (!node.IsScalar()) {
            report(node, path, "a scalar value");
            return;
        }
        switch (field.cpp_type()) {
        case pb::FieldDescriptor::CPPTYPE_STRING:
            readString(node, message, field, path);
            break;
        case pb::FieldDescriptor::CPPTYPE_BOOL:
            readBool(node, message, field, path);
            break;
        case pb::FieldDescriptor::CPPTYPE_DOUBLE:
            readDouble(node, message, field, path);
            break;
        default:
            readInteger(node, message, field, path);
            break;
        }
    }

    void readString(const YAML::Node &node, pb::Message &message, const pb::FieldDescriptor &field, const std::string &path)
    {
        const auto &reflection = *message.GetReflection();
        const auto text = node.as<std::string>();
        if (checkOf(field).required() && text.empty()) {
            report(node, path, "a non-empty value");
        }
        if (field.is_repeated()) {
            reflection.AddString(&message, &field, text);
        } else {
            reflection.SetString(&message, &field, text);
        }
    }

    void readBool(const YAML::Node &node, pb::Message &message, const pb::FieldDescriptor &field, const std::string &path)
    {
        const auto text = node.as<std::string>();
        if (text != "true" && text != "false") {
            report(node, path, "true or false");
            return;
        }
        message.GetReflection()->SetBool(&message, &field, text == "true");
    }

    void readDouble(const YAML::Node &node, pb::Message &message, const pb::FieldDescriptor &field, const std::string &path)
    {
        double value = 0;
        const bool isNumber = YAML::convert<double>::decode(node, value);
        const auto &check = checkOf(field);
        const auto maximum = static_cast<double>(check.maximum());
        if (!isNumber || !(value >= static_cast<double>(check.minimum())) || (check.maximum() != 0 && value > maximum)) {
            report(node, path, "a number from " + std::to_string(check.minimum()) + " to " + std::to_string(check.maximum()));
            return;
        }
        message.GetReflection()->SetDouble(&message, &field, value);
    }

    void readInteger(const YAML::Node &node, pb::Message &message, const pb::FieldDescriptor &field, const std::string &path)
    {
        std::int64_t value = 0;
        const bool isInteger = YAML::convert<std::int64_t>::decode(node, value);
        const auto &check = checkOf(field);
        if (!isInteger || value < check.minimum() || (check.maximum() != 0 && value > check.maximum())) {
            report(node, path, "a whole number from " + std::to_string(check.minimum()) + " to " + std::to_string(check.maximum()));
            return;
        }
        message.GetReflection()->SetUInt32(&message, &field, static_cast<std::uint32_t>(value));
    }

    // Reports missing required keys and sets the other missing keys to their defaults.
    void applyDefaults(const YAML::Node &node, pb::Message &message, const std::string &path, const std::set<std::string> &presentKeys)
    {
        const auto *descriptor = message.GetDescriptor();
        for (int i = 0; i < descriptor->field_count(); ++i) {
            const auto *field = descriptor->field(i);
            if (presentKeys.contains(field->json_name())) {
                continue;
            }
            if (checkOf(*field).required()) {
                report(node, joinPath(path, field->json_name()), "a value; the required key is missing");
            } else if (field->cpp_type() == pb::FieldDescriptor::CPPTYPE_UINT32) {
                message.GetReflection()->SetUInt32(&message, field, static_cast<std::uint32_t>(checkOf(*field).preset()));
            } else if (field->cpp_type() == pb::FieldDescriptor::CPPTYPE_DOUBLE) {
                message.GetReflection()->SetDouble(&message, field, static_cast<double>(checkOf(*field).preset()));
            } else if (field->cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE && !field->is_repeated()) {
                readMessage(YAML::Node(YAML::NodeType::Map), *message.GetReflection()->MutableMessage(&message, field), joinPath(path, field->json_name()));
            }
        }
    }

    std::string_view m_file;
    std::vector<settings_error> m_errors;
};

bool isIpv4Address(const std::string &text)
{
    in_addr parsed {};
    return ::inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

// Checks the constraints of daemon settings that the schema does not express, among them those across keys.
class settings_checker
{
public:
    settings_checker(const schema::daemon_settings &settings, std::string_view file)
        : m_settings(settings)
        , m_file(file)
    {
    }

    std::vector<settings_error> check()
    {
        const topology fleet = topologyOf(m_settings);
        expect(fleet.find(region_name(m_settings.region())) != nullptr, "region", "a region of 'regions'");
        expect(fleet.regionOf(domain_name(m_settings.failure_domain())) == region_name(m_settings.region()), "failureDomain",
               "a failure domain of this host's region");
        expect(isIpv4Address(m_settings.http().address()), "http.address", "an IPv4 address");
        expect(isIpv4Address(m_settings.rpc().address()), "rpc.address", "an IPv4 address");
        expect(m_settings.voters_size() % 2 == 1, "voters", "an odd number of hosts");
        expect(m_settings.timing().suspect_ms() < m_settings.timing().dead_ms(), "timing.deadMs", "more than timing.suspectMs");
        checkTls();
        checkUnique();
        return std::move(m_errors);
    }

private:
    void checkTls()
    {
        const auto &tls = m_settings.tls();
        const bool allSet = !tls.certificate().empty() && !tls.key().empty() && !tls.authority().empty();
        const bool noneSet = tls.certificate().empty() && tls.key().empty() && tls.authority().empty();
        expect(tls.plain_text() ? noneSet : allSet, "tls", "certificate, key and authority, or plainText: true and none of them");
    }

    void checkUnique()
    {
        std::set<std::string> services;
        for (const auto &service : m_settings.services()) {
            expect(services.insert(service.name()).second, "services", "each service at most once");
        }
        std::set<std::string> domains;
        for (const auto &region : m_settings.regions()) {
            for (const auto &domain : region.failure_domains()) {
                expect(domains.insert(domain).second, "regions", "each failure domain at most once");
            }
        }
    }

    void expect(bool holds, std::string_view key, std::string_view expected)
    {
        if (!holds) {
            m_errors.push_back({.file = std::string(m_file), .line = 0, .key = std::string(key), .expected = std::string(expected)});
        }
    }

    const schema::daemon_settings &m_settings;
    std::string_view m_file;
    std::vector<settings_error> m_errors;
};

// Parses `text` into `settings` and returns the errors.
std::vector<settings_error> readYaml(std::string_view text, std::string_view file, pb::Message &settings)
{
    try {
        const YAML::Node root = YAML::Load(std::string(text));
        settings_reader reader(file);
        reader.readMessage(root, settings, "");
        return reader.take();
    } catch (const YAML::Exception &error) {
        return {{.file = std::string(file), .line = static_cast<std::uint32_t>(error.mark.line + 1), .key = "yaml", .expected = error.msg}};
    }
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

settings_error unreadableFile(const std::string &path)
{
    return {.file = path, .line = 0, .key = "file", .expected = "a readable file"};
}

bool isEndpoint(const std::string &text)
{
    const auto parsed = parseEndpoint(text);
    return parsed.port > 0 && isIpv4Address(parsed.ip);
}

// Checks the constraints of node settings that the schema does not express, among them those across keys.
std::vector<settings_error> checkNodeSettings(const schema::node_settings &settings, std::string_view file)
{
    std::vector<settings_error> errors;
    const auto expect = [&](bool holds, std::string_view key, std::string_view expected) {
        if (!holds) {
            errors.push_back({.file = std::string(file), .line = 0, .key = std::string(key), .expected = std::string(expected)});
        }
    };
    const topology fleet = topologyOf(settings);
    expect(fleet.regionOf(domain_name(settings.failure_domain())) == region_name(settings.region()), "failureDomain", "a failure domain of this host's region");
    expect(settings.front().empty() != settings.control().empty(), "front", "either 'front' or 'control'");
    expect(settings.front().empty() || isEndpoint(settings.front()), "front", "an IPv4 address and port");
    expect(settings.control().empty() || isEndpoint(settings.control()), "control", "an IPv4 address and port");
    expect(settings.control().empty() || !settings.data_folder().empty(), "dataFolder", "a folder; a control host requires a disk");
    expect(isEndpoint(settings.rpc()), "rpc", "an IPv4 address and port");
    return errors;
}

} // namespace

std::string settings_error::text() const
{
    std::string place = file;
    if (line > 0) {
        place += ":" + std::to_string(line);
    }
    return place + ": " + key + ": expected " + expected;
}

settings_parse parseSettings(std::string_view text, std::string_view file)
{
    auto settings = std::make_shared<schema::daemon_settings>();
    if (auto errors = readYaml(text, file, *settings); !errors.empty()) {
        return {.settings = nullptr, .errors = std::move(errors)};
    }
    if (auto errors = settings_checker(*settings, file).check(); !errors.empty()) {
        return {.settings = nullptr, .errors = std::move(errors)};
    }
    return {.settings = std::move(settings), .errors = {}};
}

settings_parse loadSettings(const std::string &path)
{
    const auto content = readFile(path);
    return content ? parseSettings(*content, path) : settings_parse {.settings = nullptr, .errors = {unreadableFile(path)}};
}

node_settings_parse parseNodeSettings(std::string_view text, std::string_view file)
{
    auto settings = std::make_shared<schema::node_settings>();
    if (auto errors = readYaml(text, file, *settings); !errors.empty()) {
        return {.settings = nullptr, .errors = std::move(errors)};
    }
    if (auto errors = checkNodeSettings(*settings, file); !errors.empty()) {
        return {.settings = nullptr, .errors = std::move(errors)};
    }
    return {.settings = std::move(settings), .errors = {}};
}

node_settings_parse loadNodeSettings(const std::string &path)
{
    const auto content = readFile(path);
    return content ? parseNodeSettings(*content, path) : node_settings_parse {.settings = nullptr, .errors = {unreadableFile(path)}};
}

bool usesReportedOverflow(const schema::node_settings &settings)
{
    constexpr double smallLinkMbps = 2;
    const bool isLinkSmall = settings.link_mbps() > 0 && settings.link_mbps() <= smallLinkMbps;
    return settings.deployment().overflow_from_reports() || isLinkSmall;
}

topology topologyOf(const schema::daemon_settings &settings)
{
    std::vector<region_domains> regions;
    for (const auto &region : settings.regions()) {
        region_domains converted {.name = region_name(region.name()), .domains = {}};
        for (const auto &domain : region.failure_domains()) {
            converted.domains.emplace_back(domain);
        }
        regions.push_back(std::move(converted));
    }
    return topology(std::move(regions));
}

topology topologyOf(const schema::node_settings &settings)
{
    std::map<std::string, region_domains> regions;
    for (const auto &domain : settings.failure_domains()) {
        auto &region = regions[domain.region()];
        region.name = region_name(domain.region());
        region.domains.emplace_back(domain.failure_domain());
    }
    std::vector<region_domains> sorted;
    for (auto &[name, region] : regions) {
        std::ranges::sort(region.domains);
        sorted.push_back(std::move(region));
    }
    return topology(std::move(sorted));
}

std::vector<service_name> servicesOf(const schema::daemon_settings &settings)
{
    std::vector<service_name> services;
    for (const auto &service : settings.services()) {
        services.emplace_back(service.name());
    }
    return services;
}

} // namespace hornbeampick
