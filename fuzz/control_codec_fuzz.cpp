// Checks that arbitrary bodies of calls to a control host are either refused or give values that the system can use.

#include "control_codec.h"

#include <cmath>
#include <cstdlib>

namespace
{

using namespace hornbeampick;

// 2026-01-01.
constexpr wall_ms wallNow = 1'767'225'600'000;

void checkAnnouncement(std::string_view body, bool isDeregistration)
{
    const auto report = platform::parseAnnouncement("i-1", body, isDeregistration);
    if (!report || !checkReport(report.value(), wallNow)) {
        return;
    }
    const auto &usable = report.value();
    const bool hasFields = isDeregistration || (!usable.service.empty() && !usable.address.empty());
    // The longest warm-up still fits into the clock.
    const bool hasRange = usable.reportedAt >= 0 && usable.warmupLeft >= milliseconds(0) && usable.warmupLeft <= std::chrono::hours(1);
    if (!hasFields || !hasRange) {
        std::abort();
    }
}

void checkConfiguration(std::string_view body)
{
    const auto table = platform::parseRouting(body);
    if (!table || !checkRouting(table.value())) {
        return;
    }
    for (const auto &service : table.value().services) {
        if (service.warmup < milliseconds(0) || !std::isfinite(service.warmupPerSecond)) {
            std::abort();
        }
    }
    if (table.value().version == 0 || table.value().document != body) {
        std::abort();
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char *>(data), size);
    checkAnnouncement(body, false);
    checkAnnouncement(body, true);
    checkConfiguration(body);
    return 0;
}
