#include "announcement.h"

#include <array>
#include <boost/json.hpp>
#include <limits>

namespace hornbeampick
{

namespace
{

namespace json = boost::json;

constexpr std::size_t maxTextBytes = 256;
constexpr std::int64_t maxSlots = 65536;
constexpr std::int64_t maxConnections = 1'000'000;

struct state_name {
    std::string_view name;
    upstream_state state;
};

constexpr std::array stateNames {
    state_name {"warming", upstream_state::warming},
    state_name {"active", upstream_state::active},
    state_name {"draining", upstream_state::draining},
    state_name {"gone", upstream_state::gone},
};

// Reads typed fields and records whether any of them was invalid.
class field_reader
{
public:
    explicit field_reader(const json::object &object)
        : m_object(object)
    {
    }

    std::string text(std::string_view key)
    {
        const auto *value = m_object.if_contains(key);
        const auto *string = value == nullptr ? nullptr : value->if_string();
        if (string == nullptr || string->empty() || string->size() > maxTextBytes) {
            m_valid = false;
            return {};
        }
        return std::string(*string);
    }

    std::int64_t number(std::string_view key, std::int64_t minimum, std::int64_t maximum)
    {
        const auto *value = m_object.if_contains(key);
        if (value == nullptr || !value->is_number()) {
            m_valid = false;
            return minimum;
        }
        json::error_code error;
        const auto number = value->to_number<std::int64_t>(error);
        if (error.failed() || number < minimum || number > maximum) {
            m_valid = false;
            return minimum;
        }
        return number;
    }

    upstream_state state(std::string_view key)
    {
        const std::string name = text(key);
        for (const auto &each : stateNames) {
            if (each.name == name) {
                return each.state;
            }
        }
        m_valid = false;
        return upstream_state::gone;
    }

    [[nodiscard]] bool valid() const
    {
        return m_valid;
    }

private:
    const json::object &m_object;
    bool m_valid = true;
};

} // namespace

std::optional<upstream_report> readAnnouncement(std::string_view text)
{
    json::error_code error;
    const auto parsed = json::parse(text, error);
    if (error || !parsed.is_object()) {
        return std::nullopt;
    }
    constexpr auto unbounded = std::numeric_limits<std::int64_t>::max();
    field_reader reader(parsed.get_object());
    upstream_report report;
    report.service = service_name(reader.text("service"));
    report.address = reader.text("address");
    report.instance = instance_name(reader.text("instance"));
    report.incarnation = static_cast<std::uint64_t>(reader.number("incarnation", 0, unbounded));
    report.domain = domain_name(reader.text("failureDomain"));
    report.slots = static_cast<std::uint32_t>(reader.number("slots", 0, maxSlots));
    report.connections = static_cast<std::uint32_t>(reader.number("connections", 0, maxConnections));
    report.state = reader.state("state");
    report.inFlight = static_cast<std::uint32_t>(reader.number("inFlight", 0, maxSlots));
    report.reportedAt = reader.number("reportedAtMs", 0, unbounded);
    if (!reader.valid()) {
        return std::nullopt;
    }
    return report;
}

} // namespace hornbeampick
