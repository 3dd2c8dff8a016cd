#pragma once

#include <csignal>

namespace hornbeampick
{

/// Holds back SIGHUP, SIGINT and SIGTERM in the calling thread and in threads that it starts, so that they do not end a process whose
/// handlers are not installed yet or are gone already. Ignores SIGPIPE: writes to closed pipes and sockets fail with an error instead.
void holdSignals();

/// Lets the calling thread receive the signals that holdSignals() holds back, including those that arrived since; holds them back again
/// when destroyed. Handlers must be installed for as long as an object of this class exists.
class signal_delivery
{
public:
    signal_delivery();
    ~signal_delivery();
    signal_delivery(const signal_delivery &) = delete;
    signal_delivery &operator=(const signal_delivery &) = delete;

private:
    sigset_t m_previous {};
};

} // namespace hornbeampick
