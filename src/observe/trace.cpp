#include "observe/trace.h"

#include "observe/log.h"

#include <charconv>
#include <cstdio>

namespace hornbeampick
{

namespace
{

constexpr int hexBase = 16;
constexpr std::size_t wordHexDigits = 16;
// Appended to a decimal number of milliseconds, it yields nanoseconds.
constexpr std::string_view nanosecondDigits = "000000";

std::string hexWord(std::uint64_t word)
{
    std::array<char, wordHexDigits + 1> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(word));
    return text.data();
}

std::optional<std::uint64_t> parseWord(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, hexBase);
    if (error != std::errc {} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string trace_context::header() const
{
    return "00-" + hexWord(traceHigh) + hexWord(traceLow) + "-" + hexWord(span) + "-01";
}

std::optional<trace_context> trace_context::parse(std::string_view header)
{
    constexpr std::size_t size = 55;
    constexpr std::size_t traceAt = 3;
    constexpr std::size_t spanAt = 36;
    if (header.size() != size || header[2] != '-' || header[spanAt - 1] != '-' || header[spanAt + wordHexDigits] != '-') {
        return std::nullopt;
    }
    const auto high = parseWord(header.substr(traceAt, wordHexDigits));
    const auto low = parseWord(header.substr(traceAt + wordHexDigits, wordHexDigits));
    const auto span = parseWord(header.substr(spanAt, wordHexDigits));
    if (!high || !low || !span || (*high | *low) == 0 || *span == 0) {
        return std::nullopt;
    }
    return trace_context {.traceHigh = *high, .traceLow = *low, .span = *span};
}

tracer::tracer(std::string_view host, const std::string &file, clock_source &clock, random_source &random)
    : m_host(host)
    , m_clock(clock)
    , m_random(random)
{
    if (!file.empty()) {
        m_file.open(file, std::ios::app);
    }
}

trace_span tracer::begin(std::string_view name, const std::optional<trace_context> &parent)
{
    trace_span span {.name = name, .context = parent.value_or(trace_context {}), .parent = 0, .startedAt = m_clock.wallNow(), .endedAt = 0};
    if (parent) {
        span.parent = parent->span;
    } else {
        span.context.traceHigh = m_random.next() | 1U;
        span.context.traceLow = m_random.next();
    }
    span.context.span = m_random.next() | 1U;
    return span;
}

void tracer::end(trace_span span, attributes values)
{
    const std::lock_guard guard(m_lock);
    if (!m_file.is_open()) {
        return;
    }
    span.endedAt = m_clock.wallNow();
    std::string line = R"({"resourceSpans":[{"resource":{"attributes":[{"key":"host.name","value":{"stringValue":)" + jsonQuoted(m_host)
        + R"(}}]},"scopeSpans":[{"spans":[{"traceId":")" + hexWord(span.context.traceHigh) + hexWord(span.context.traceLow) + R"(","spanId":")"
        + hexWord(span.context.span) + R"(","parentSpanId":")" + (span.parent == 0 ? std::string() : hexWord(span.parent)) + R"(","name":)"
        + jsonQuoted(span.name) + R"(,"startTimeUnixNano":")" + std::to_string(span.startedAt) + std::string(nanosecondDigits) + R"(","endTimeUnixNano":")"
        + std::to_string(span.endedAt) + std::string(nanosecondDigits) + R"(","attributes":[)";
    bool first = true;
    for (const auto &[key, value] : values) {
        line += (first ? "" : ",") + std::string(R"({"key":)") + jsonQuoted(key) + R"(,"value":{"stringValue":)" + jsonQuoted(value) + "}}";
        first = false;
    }
    m_file << line << "]}]}]}]}\n" << std::flush;
}

} // namespace hornbeampick
