#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>

namespace hornbeampick
{

enum class log_level {
    info,
    warning,
    error,
};

/// A named value in a log line.
struct log_field {
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Configures logging to `file`, or to standard output when it is empty. Must be called once, before other threads start.
///
/// Lines are dropped when standard output is not writable at once; the process never waits for its reader.
void startLog(std::string_view host, const std::string &file);

/// Writes one line of JSON with the time, level, host, event and fields. Thread-safe.
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Like `logEvent`, but with a limited number of lines per second and event. The next line that is written tells the number of
/// suppressed lines. Meant for events that are triggered by requests.
void logRateLimited(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Returns the field "error" with the error's code, or its message when the error is not from this project's category.
log_field errorField(std::error_code error);

/// Returns `text` as a quoted JSON string.
std::string jsonQuoted(std::string_view text);

} // namespace hornbeampick
