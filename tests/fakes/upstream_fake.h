#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hornbeampick::testing
{

struct upstream_fake_options {
    std::string service = "lookup";
    std::string instance = "up-1";
    std::string failureDomain = "gent-a";
    std::uint32_t slots = 4;
    std::chrono::milliseconds workTime {5};
    // HTTP addresses of entry hosts; a failed announcement moves on to the next.
    std::vector<std::string> announceTo;
    std::chrono::milliseconds announceEvery {300};
    // A request whose body contains this text crashes the upstream; empty disables this.
    std::string poisonText;
    // The answer to a request whose body contains this text is truncated; empty disables this.
    std::string truncatedAnswerText;
    // A request whose body contains this text takes `slowTime`; empty disables this.
    std::string slowText;
    std::chrono::milliseconds slowTime {60000};
};

/// A fake upstream that announces itself, runs requests within its slots and counts them by idempotency key.
class upstream_fake
{
public:
    explicit upstream_fake(upstream_fake_options options);
    ~upstream_fake();
    upstream_fake(const upstream_fake &) = delete;
    upstream_fake &operator=(const upstream_fake &) = delete;

    /// Simulates a killed process: shuts down all sockets without deregistering.
    void crash();
    /// Announces the draining state from now on; running requests continue.
    void drain();
    /// Suspends announcements, or resumes them.
    void suspendAnnouncements(bool suspended);
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] bool hasCrashed() const;
    /// Returns the number of started requests by idempotency key; requests without a key count under "".
    [[nodiscard]] std::map<std::string, int> executions() const;
    [[nodiscard]] int requestCount() const;
    /// Returns the number of requests whose connection was closed while they ran.
    [[nodiscard]] int abandoned() const;
    /// Returns the start times of all requests, in order.
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> startTimes() const;
    /// Returns the highest number of requests that ran concurrently.
    [[nodiscard]] int peakConcurrency() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
    std::thread m_acceptor;
    std::thread m_announcer;
};

/// Result of one HTTP/1.1 call.
struct http_result {
    // 0 if no complete answer arrived.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Sends one HTTP/1.1 request on a new connection and blocks until the answer or the timeout.
http_result sendHttpRequest(const std::string &address, const std::string &method, const std::string &target,
                            const std::map<std::string, std::string> &headers = {}, const std::string &body = {},
                            std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));

} // namespace hornbeampick::testing
