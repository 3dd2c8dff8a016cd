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
    // HTTP addresses of entry hosts, tried in turn.
    std::vector<std::string> announceTo;
    std::chrono::milliseconds announceEvery {300};
    // A request whose body holds this text ends the upstream.
    std::string poisonText;
    // An answer whose request body holds this text is cut in half.
    std::string halfAnswerText;
    // A request whose body holds this text takes `slowTime`.
    std::string slowText;
    std::chrono::milliseconds slowTime {60000};
};

/// A small upstream: announces itself, runs requests within its slots, counts them by idempotency key.
class upstream_fake
{
public:
    explicit upstream_fake(upstream_fake_options options);
    ~upstream_fake();
    upstream_fake(const upstream_fake &) = delete;
    upstream_fake &operator=(const upstream_fake &) = delete;

    /// Ends as a killed process would: sockets closed, no word to anyone.
    void die();
    /// Announces that it drains; requests that run go on.
    void drain();
    void mute(bool muted);
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::string address() const;
    [[nodiscard]] bool dead() const;
    /// Requests that were begun, by key; requests without a key count under "".
    [[nodiscard]] std::map<std::string, int> executions() const;
    [[nodiscard]] int total() const;
    /// Requests whose connection was closed while they ran.
    [[nodiscard]] int abandoned() const;
    /// When each request was begun, in order.
    [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> begun() const;
    /// Most requests that ran at once.
    [[nodiscard]] int peak() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
    std::thread m_acceptor;
    std::thread m_announcer;
};

/// One blocking HTTP/1.1 call for tests.
struct plain_response {
    // 0: no whole answer came.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
};

plain_response plainCall(const std::string &address, const std::string &method, const std::string &target,
                         const std::map<std::string, std::string> &headers = {}, const std::string &body = {},
                         std::chrono::milliseconds timeout = std::chrono::milliseconds(10000));

} // namespace hornbeampick::testing
