#pragma once

#include <boost/outcome/result.hpp>
#include <string_view>
#include <system_error>

namespace hornbeampick
{

/// The error codes of the system. The values are part of the wire format: add new ones, never change or reuse one.
enum class errc {
    ok = 0,
    // Invalid requests.
    malformedRequest = 1,
    unknownService = 2,
    missingKey = 3,
    missingEpoch = 4,
    malformedEpoch = 5,
    keyReused = 6,
    bodyTooLarge = 7,
    headerTooLarge = 8,
    unknownPath = 9,
    malformedAnnouncement = 10,
    requestTooSlow = 11,
    // Request processing.
    noUpstream = 20,
    overloaded = 21,
    deadlineExceeded = 22,
    upstreamFailed = 23,
    upstreamShed = 24,
    capReached = 25,
    quarantined = 26,
    stopping = 27,
    peerUnreachable = 28,
    notOwner = 29,
    retryBudgetSpent = 30,
    callerLeft = 31,
    noRoute = 32,
    notReady = 33,
    routesOutdated = 34,
    unknownKey = 35,
    noRegionAllowed = 36,
    quotaExceeded = 37,
    // Claims of idempotency keys.
    claimHeld = 40,
    claimUnavailable = 41,
    epochClosed = 42,
    answerNotKept = 43,
    // Rules and the replicated log.
    rulesInvalid = 60,
    versionConflict = 61,
    notLeader = 62,
    noQuorum = 63,
    notAVoter = 64,
    configBusy = 65,
    routingInvalid = 66,
    notConfirmed = 67,
    logBusy = 68,
    // Storage.
    ioFailed = 80,
    corruptRecord = 81,
    unsupportedFormat = 82,
    diskFull = 83,
    // Settings and the command line.
    settingsInvalid = 100,
    fileUnreadable = 101,
    usage = 102,
    unreachable = 103,
    timedOut = 104,
    notInForceEverywhere = 105,
    tlsFailed = 106,
};

/// Returns the category of `errc`, named "hornbeampick".
const std::error_category &errorCategory() noexcept;

/// Converts to std::error_code; found by argument-dependent look-up.
std::error_code make_error_code(errc value) noexcept;

/// Returns the stable kebab-case code of an error, as used in JSON errors and in the documentation.
std::string_view errorCode(errc value) noexcept;

/// A value or an error.
template <typename T> using result = boost::outcome_v2::result<T, std::error_code>;

/// Success or an error.
using status = boost::outcome_v2::result<void, std::error_code>;

inline auto success()
{
    return boost::outcome_v2::success();
}

} // namespace hornbeampick

template <> struct std::is_error_code_enum<hornbeampick::errc> : std::true_type {
};
