#pragma once

#include "core/clock.h"
#include "core/random_source.h"

#include <array>
#include <cstdint>
#include <fstream>
#include <initializer_list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeampick
{

/// Identifies a span within a trace, as in the W3C `traceparent` header.
struct trace_context {
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;

    /// Returns the value of a `traceparent` header.
    [[nodiscard]] std::string header() const;
    /// Parses a `traceparent` header. Returns empty when it is malformed or when the trace or span id is zero.
    static std::optional<trace_context> parse(std::string_view header);
};

/// A timed operation within a trace, such as one hop of a request.
struct trace_span {
    std::string_view name;
    trace_context context;
    /// Span id of the parent; 0 for a root span.
    std::uint64_t parent = 0;
    wall_ms startedAt = 0;
    wall_ms endedAt = 0;
};

/// Writes finished spans as lines of OTLP JSON; disabled when `file` is empty. Thread-safe.
class tracer
{
public:
    tracer(std::string_view host, const std::string &file, clock_source &clock, random_source &random);

    /// Starts a span below `parent`, or a new trace when there is none.
    trace_span begin(std::string_view name, const std::optional<trace_context> &parent);
    using attributes = std::initializer_list<std::pair<std::string_view, std::string_view>>;
    /// Ends a span and writes it with the given attributes.
    void end(trace_span span, attributes values);

private:
    std::string m_host;
    clock_source &m_clock;
    random_source &m_random;
    std::mutex m_lock;
    std::ofstream m_file;
};

} // namespace hornbeampick
