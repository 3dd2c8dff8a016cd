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

/// One named value of a log line.
struct log_field {
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

/// Sends log lines to `file`, or to standard output when it is empty. Called once, before threads start.
/// A reader of standard output that falls behind loses lines; the process never waits for it.
void startLog(std::string_view host, const std::string &file);

/// Writes one JSON line with time, level, host, event and the fields. Thread-safe.
void logEvent(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// Like `logEvent`, but at most so many lines a second of each event; what was left out is counted in the next line that is
/// written. For events that come with requests.
void logBounded(log_level level, std::string_view event, std::initializer_list<log_field> fields = {});

/// A field that names a failure by its code.
log_field errorField(std::error_code error);

/// `text` as a JSON string, with its quotes.
std::string jsonQuoted(std::string_view text);

} // namespace hornbeampick
