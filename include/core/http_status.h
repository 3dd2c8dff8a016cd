#pragma once

namespace hornbeampick
{

/// Returns true when `status` is that of a final response, which is the only kind that answers a request.
[[nodiscard]] constexpr bool isFinalStatus(unsigned status)
{
    constexpr unsigned firstFinal = 200;
    constexpr unsigned lastFinal = 599;
    return status >= firstFinal && status <= lastFinal;
}

/// Returns true when `status` is that of an interim response, which a final one follows. 101 is none: it ends HTTP on the connection, and
/// requests to upstreams and to other hosts never ask for that.
[[nodiscard]] constexpr bool isInterimStatus(unsigned status)
{
    constexpr unsigned firstInterim = 100;
    constexpr unsigned lastInterim = 199;
    constexpr unsigned switchingProtocols = 101;
    return status >= firstInterim && status <= lastInterim && status != switchingProtocols;
}

} // namespace hornbeampick
