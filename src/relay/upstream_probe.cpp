#include "relay/upstream_probe.h"

#include "core/text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);

// The connection attempts of one probe. The timer ends when the probe has its result.
struct probe_state {
    explicit probe_state(const asio::any_io_executor &executor)
        : finished(executor, steady_time::max())
    {
    }

    asio::steady_timer finished;
    std::size_t pending = 0;
    bool reached = false;
    bool timedOut = false;
};

asio::awaitable<void> connectOnce(std::shared_ptr<probe_state> state, std::string address, milliseconds timeout)
{
    const auto [ip, port] = parseEndpoint(address);
    boost::system::error_code failed;
    const auto parsed = asio::ip::make_address(ip, failed);
    if (!failed) {
        boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(timeout);
        const auto [error] = co_await stream.async_connect(tcp::endpoint(parsed, port), noThrow);
        failed = error;
    }
    --state->pending;
    state->reached = state->reached || !failed;
    state->timedOut = state->timedOut || failed == boost::beast::error::timeout;
    if (state->reached || state->pending == 0) {
        state->finished.cancel();
    }
}

} // namespace

asio::awaitable<probe_outcome> probeUpstreams(std::vector<std::string> addresses, milliseconds timeout)
{
    const auto executor = co_await asio::this_coro::executor;
    auto state = std::make_shared<probe_state>(executor);
    state->pending = addresses.size();
    for (const auto &address : addresses) {
        asio::co_spawn(executor, connectOnce(state, address, timeout), asio::detached);
    }
    if (state->pending > 0 && !state->reached) {
        co_await state->finished.async_wait(noThrow);
    }
    if (state->reached) {
        co_return probe_outcome::reached;
    }
    co_return state->timedOut ? probe_outcome::silent : probe_outcome::refused;
}

} // namespace hornbeampick
