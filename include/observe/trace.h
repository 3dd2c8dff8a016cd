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

/// Identity of a span within a trace, as W3C `traceparent` carries it.
struct trace_context {
    std::uint64_t traceHigh = 0;
    std::uint64_t traceLow = 0;
    std::uint64_t span = 0;

    [[nodiscard]] std::string header() const;
    /// Empty when malformed or all zero.
    static std::optional<trace_context> parse(std::string_view header);
};

/// One timed hop of a request.
struct trace_span {
    std::string_view name;
    trace_context context;
    // 0: the span has no parent.
    std::uint64_t parent = 0;
    wall_ms startedAt = 0;
    wall_ms endedAt = 0;
};

/// Writes finished spans as OTLP JSON lines. Thread-safe; without a file it does nothing.
class tracer
{
public:
    tracer(std::string_view host, const std::string &file, clock_source &clock, random_source &random);

    /// Begins a span below `parent`, or a new trace.
    trace_span begin(std::string_view name, const std::optional<trace_context> &parent);
    using attributes = std::initializer_list<std::pair<std::string_view, std::string_view>>;
    void end(trace_span span, attributes values);

private:
    std::string m_host;
    clock_source &m_clock;
    random_source &m_random;
    std::mutex m_lock;
    std::ofstream m_file;
};

} // namespace hornbeampick
