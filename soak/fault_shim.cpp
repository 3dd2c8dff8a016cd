// Library for LD_PRELOAD that injects storage, clock and network faults into a process, as set in the file named by HORNBEAMPICK_FAULTS.

#include "fault_block.h"

#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <thread>
#include <time.h>
#include <unistd.h>

using hornbeampick::soak::fault_block;

namespace
{

constexpr long nanosecondsPerMillisecond = 1000000;
constexpr long millisecondsPerSecond = 1000;

const fault_block *block()
{
    static const fault_block *mapped = [] {
        const char *path = std::getenv("HORNBEAMPICK_FAULTS");
        const int file = path == nullptr ? -1 : ::open(path, O_RDONLY | O_CLOEXEC);
        void *at = file < 0 ? MAP_FAILED : ::mmap(nullptr, sizeof(fault_block), PROT_READ, MAP_SHARED, file, 0);
        return at == MAP_FAILED ? nullptr : static_cast<const fault_block *>(at);
    }();
    return mapped;
}

template <typename Function> Function next(const char *name)
{
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

bool isRegularFile(int file)
{
    struct stat status = {};
    return ::fstat(file, &status) == 0 && S_ISREG(status.st_mode);
}

// Applies the sync delay. Returns false if the call must fail with ENOSPC.
bool applySyncFaults()
{
    const auto *faults = block();
    if (faults == nullptr) {
        return true;
    }
    if (faults->syncDelayMs > 0) {
        const timespec pause {.tv_sec = faults->syncDelayMs / millisecondsPerSecond,
                              .tv_nsec = (faults->syncDelayMs % millisecondsPerSecond) * nanosecondsPerMillisecond};
        ::nanosleep(&pause, nullptr);
    }
    return faults->diskFull == 0;
}

} // namespace

extern "C" int fsync(int file)
{
    static const auto real = next<int (*)(int)>("fsync");
    if (!applySyncFaults()) {
        errno = ENOSPC;
        return -1;
    }
    return real(file);
}

extern "C" int fdatasync(int file)
{
    static const auto real = next<int (*)(int)>("fdatasync");
    if (!applySyncFaults()) {
        errno = ENOSPC;
        return -1;
    }
    return real(file);
}

extern "C" ssize_t write(int file, const void *bytes, size_t count)
{
    static const auto real = next<ssize_t (*)(int, const void *, size_t)>("write");
    const auto *faults = block();
    // Standard output and error are exempt: they may be regular files, and logging must continue on a full disk.
    if (faults != nullptr && faults->diskFull != 0 && file > STDERR_FILENO && isRegularFile(file)) {
        errno = ENOSPC;
        return -1;
    }
    return real(file, bytes, count);
}

extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    static const auto real = next<int (*)(clockid_t, timespec *)>("clock_gettime");
    const int result = real(clock, time);
    const auto *faults = clock == CLOCK_REALTIME ? block() : nullptr;
    if (result == 0 && faults != nullptr) {
        time->tv_sec += faults->clockAheadMs / millisecondsPerSecond;
    }
    return result;
}

extern "C" int connect(int socket, const sockaddr *address, socklen_t length)
{
    static const auto real = next<int (*)(int, const sockaddr *, socklen_t)>("connect");
    const auto *faults = block();
    const bool isUpstream
        = faults != nullptr && address->sa_family == AF_INET && reinterpret_cast<const sockaddr_in *>(address)->sin_addr.s_addr == htonl(INADDR_LOOPBACK);
    if (isUpstream && faults->upstreamsUnreachable != 0) {
        errno = ECONNREFUSED;
        return -1;
    }
    if (isUpstream && faults->upstreamConnectDelayMs > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(faults->upstreamConnectDelayMs));
    }
    return real(socket, address, length);
}
