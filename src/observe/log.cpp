#include "observe/log.h"

#include "core/error.h"
#include "core/shards.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <poll.h>
#include <unistd.h>
#include <utility>

// The library itself is compiled in easylogging.cpp with the same preprocessor definitions.
#include <easylogging++.h>

namespace hornbeampick
{

namespace
{

constexpr unsigned firstPrintableCharacter = 0x20;
// Per event: enough lines to diagnose failing requests, at a cost that is small compared to the work of a second.
constexpr std::uint32_t maxLinesPerSecond = 20;

// Writes lines to standard output without blocking; lines are dropped while the pipe is full.
class stdout_dispatch final : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const std::string line = data->logMessage()->message() + "\n";
        pollfd ready {.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        if (::poll(&ready, 1, 0) == 1) {
            // A failure is ignored: there is no other place to report it.
            (void)!::write(STDOUT_FILENO, line.data(), line.size());
        }
    }
};

// Set once by startLog, before other threads start.
std::string &logHost()
{
    static std::string host;
    return host;
}

std::string timeNow()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t whole = std::chrono::system_clock::to_time_t(now);
    const auto part = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts {};
    gmtime_r(&whole, &parts);
    std::array<char, 32> date {};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 8> millis {};
    std::snprintf(millis.data(), millis.size(), ".%03dZ", static_cast<int>(part));
    return std::string(date.data()) + millis.data();
}

std::string_view textOf(log_level level)
{
    switch (level) {
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "";
}

std::string valueText(const log_field &field)
{
    if (const auto *text = std::get_if<std::string>(&field.value)) {
        return jsonQuoted(*text);
    }
    if (const auto *whole = std::get_if<std::int64_t>(&field.value)) {
        return std::to_string(*whole);
    }
    if (const auto *real = std::get_if<double>(&field.value)) {
        return std::to_string(*real);
    }
    return std::get<bool>(field.value) ? "true" : "false";
}

} // namespace

void startLog(std::string_view host, const std::string &file)
{
    logHost() = host;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    configurations.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    if (file.empty()) {
        el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
        el::Helpers::installLogDispatchCallback<stdout_dispatch>("output");
    } else {
        configurations.setGlobally(el::ConfigurationType::Filename, file);
        configurations.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
    }
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Loggers::reconfigureAllLoggers(configurations);
}

namespace
{

void writeLine(log_level level, std::string_view event, std::initializer_list<log_field> fields, std::uint64_t suppressed)
{
    std::string line = "{\"time\":\"" + timeNow() + "\",\"level\":\"" + std::string(textOf(level)) + "\",\"host\":" + jsonQuoted(logHost())
        + ",\"event\":" + jsonQuoted(event);
    for (const auto &field : fields) {
        line += "," + jsonQuoted(field.name) + ":" + valueText(field);
    }
    if (suppressed > 0) {
        line += ",\"leftOut\":" + std::to_string(suppressed);
    }
    line += "}";
    switch (level) {
    case log_level::info:
        LOG(INFO) << line;
        break;
    case log_level::warning:
        LOG(WARNING) << line;
        break;
    case log_level::error:
        LOG(ERROR) << line;
        break;
    }
}

// Rate limit state of one event in the current second.
struct event_rate_limit {
    std::int64_t second = 0;
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
};

// Returns the number of lines that were suppressed before this one, or empty when this line is to be suppressed as well.
std::optional<std::uint64_t> acquireLine(std::string_view event)
{
    static shards<std::map<std::string, event_rate_limit, std::less<>>> limits;
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
    return limits.with(std::hash<std::string_view> {}(event), [&](auto &all) -> std::optional<std::uint64_t> {
        auto found = all.find(event);
        if (found == all.end()) {
            found = all.emplace(std::string(event), event_rate_limit {}).first;
        }
        auto &limit = found->second;
        if (limit.second != second) {
            limit.second = second;
            limit.written = 0;
        }
        if (limit.written >= maxLinesPerSecond) {
            ++limit.suppressed;
            return std::nullopt;
        }
        ++limit.written;
        return std::exchange(limit.suppressed, 0);
    });
}

} // namespace

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    writeLine(level, event, fields, 0);
}

void logRateLimited(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    if (const auto suppressed = acquireLine(event)) {
        writeLine(level, event, fields, *suppressed);
    }
}

log_field errorField(std::error_code error)
{
    const bool isOwn = error.category() == errorCategory();
    return {.name = "error", .value = isOwn ? std::string(errorCode(static_cast<errc>(error.value()))) : error.message()};
}

std::string jsonQuoted(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < firstPrintableCharacter) {
            std::array<char, 8> escaped {};
            std::snprintf(escaped.data(), escaped.size(), "\\u%04x", byte);
            out += escaped.data();
        } else {
            out += c;
        }
    }
    return out + "\"";
}

} // namespace hornbeampick
