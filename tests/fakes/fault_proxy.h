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
    /// Listens at `listen` ("ip:port"), or on a free port of 127.0.0.1, and connects on to `target`.
    explicit fault_proxy(std::string target, const std::string &listen = "127.0.0.1:0");
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    [[nodiscard]] std::string address() const;
    void setTarget(const std::string &target);
    /// Bytes are held back this long, each way.
    void delay(std::chrono::milliseconds time);
    /// Bytes from the client, or to it, are swallowed from now on; both: a cut.
    void cut(bool fromClient, bool toClient);
    /// Bytes wait on both ways until thawed.
    void freeze(bool frozen);
    /// Resets every open connection.
    void resetAll();
    /// Each connection is reset after so many bytes to the client; 0: never.
    void breakAnswersAfter(std::size_t bytes);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace hornbeampick::testing
