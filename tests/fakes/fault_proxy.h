#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace hornbeampick::testing
{

/// A TCP proxy that injects faults between two processes.
class fault_proxy
{
public:
    /// Listens at `listen` ("ip:port"; port 0 picks a free one) and forwards each connection to `target` ("ip:port").
    explicit fault_proxy(std::string target, const std::string &listen = "127.0.0.1:0");
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    [[nodiscard]] std::string address() const;
    /// Applies to connections that are accepted from now on.
    void setTarget(const std::string &target);
    /// Delays each read block by `time`, in both directions.
    void delay(std::chrono::milliseconds time);
    /// Discards bytes sent by the client, to the client, or both (a full partition). Connections stay open.
    void cut(bool fromClient, bool toClient);
    /// Holds all bytes in both directions until called with false.
    void freeze(bool frozen);
    /// Resets every open connection.
    void resetAll();
    /// Resets each connection after `bytes` bytes were sent to its client; 0 disables this.
    void resetAfterAnswerBytes(std::size_t bytes);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace hornbeampick::testing
