#include "node/quota_client.h"

#include "daemon/await_callback.h"
#include "observe/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);

} // namespace

quota_client::quota_client(const quota_client_parts &parts, const quota_client_options &options, asio::io_context &context)
    : m_parts(parts)
    , m_options(options)
    , m_context(context)
    , m_timer(context)
{
}

void quota_client::start()
{
    asio::co_spawn(m_context, drawLoop(), asio::detached);
}

void quota_client::setFleet(const std::string &grantor, std::uint32_t hosts, std::uint32_t place)
{
    if (!grantor.empty() && grantor != m_grantor) {
        logEvent(log_level::info, "quota-grantor", {{"address", grantor}});
        m_grantor = grantor;
    }
    m_hosts = std::max(hosts, 1U);
    m_parts.account.setHosts(m_hosts, place, m_parts.clock.bootNow());
}

void quota_client::notifyDemand()
{
    if (!m_isWoken.exchange(true)) {
        asio::post(m_context, [this] { m_timer.cancel(); });
    }
}

asio::awaitable<void> quota_client::drawLoop()
{
    while (true) {
        const auto startedAt = m_parts.clock.now();
        m_isWoken = false;
        auto request = m_parts.account.makeDraw(m_options.host, m_options.incarnation, m_parts.clock.bootNow());
        if (request && !m_grantor.empty()) {
            co_await draw(std::move(*request));
        }
        const auto interval = m_options.interval * std::max<std::uint32_t>(1, m_hosts / m_options.smallFleet);
        const bool isUrgent = m_isWoken || m_parts.account.isUrgent(m_parts.clock.bootNow());
        m_timer.expires_at(startedAt + (isUrgent ? m_options.urgentInterval : interval));
        co_await m_timer.async_wait(noThrow);
        // A wake-up during the wait still keeps the shortest time between two draws.
        const auto earliest = startedAt + m_options.urgentInterval;
        if (m_parts.clock.now() < earliest) {
            m_timer.expires_at(earliest);
            co_await m_timer.async_wait(noThrow);
        }
    }
}

asio::awaitable<void> quota_client::draw(quota_draw request)
{
    const auto drawnAt = m_parts.clock.bootNow();
    const auto address = m_grantor;
    auto start = [&](std::function<void(result<quota_answer>)> done) { m_parts.peers.draw(address, request, m_options.timeout, std::move(done)); };
    const auto answer = co_await awaitCallback<result<quota_answer>>(start);
    if (!answer) {
        logRateLimited(log_level::warning, "quota-draw-failed", {{"address", address}, errorField(answer.error())});
        co_return;
    }
    if (!answer.value().isGranting) {
        logRateLimited(log_level::info, "quota-draw-refused", {{"address", address}});
    }
    m_parts.account.apply(answer.value(), drawnAt, m_parts.clock.bootNow());
}

} // namespace hornbeampick
