#include "observe/log.h"

#include "core/error.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <mutex>

// The library is compiled in its own source file, with the same definitions.
#include <easylogging++.h>

namespace hornbeampick
{

namespace
{

constexpr unsigned firstPrintable = 0x20;

// Set once before threads start.
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
    configurations.setGlobally(el::ConfigurationType::ToFile, "true");
    configurations.setGlobally(el::ConfigurationType::Filename, file.empty() ? "/dev/stderr" : file);
    configurations.setGlobally(el::ConfigurationType::LogFlushThreshold, "1");
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    el::Loggers::reconfigureAllLoggers(configurations);
}

void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields)
{
    std::string line = "{\"time\":\"" + timeNow() + "\",\"level\":\"" + std::string(textOf(level)) + "\",\"host\":" + jsonQuoted(logHost())
        + ",\"event\":" + jsonQuoted(event);
    for (const auto &field : fields) {
        line += "," + jsonQuoted(field.name) + ":" + valueText(field);
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

log_field errorField(std::error_code error)
{
    const bool ours = error.category() == errorCategory();
    return {.name = "error", .value = ours ? std::string(errorCode(static_cast<errc>(error.value()))) : error.message()};
}

std::string jsonQuoted(std::string_view text)
{
    std::string out = "\"";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out += '\\';
            out += c;
        } else if (byte < firstPrintable) {
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
