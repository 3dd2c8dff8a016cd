#include "daemon/process_signals.h"

#include <initializer_list>

namespace hornbeampick
{

namespace
{

sigset_t operatorSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : {SIGHUP, SIGINT, SIGTERM}) {
        sigaddset(&signals, number);
    }
    return signals;
}

} // namespace

void holdSignals()
{
    const auto signals = operatorSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    (void)std::signal(SIGPIPE, SIG_IGN);
}

signal_delivery::signal_delivery()
{
    const auto signals = operatorSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, &m_previous);
}

signal_delivery::~signal_delivery()
{
    pthread_sigmask(SIG_SETMASK, &m_previous, nullptr);
}

} // namespace hornbeampick
