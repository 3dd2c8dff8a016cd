#include "relay/relay_server.h"

#include "core/text.h"
#include "observe/log.h"
#include "relay_session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <thread>
#include <vector>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr auto noThrow = asio::as_tuple(asio::use_awaitable);
constexpr int listenBacklog = 1024;
// Delay before accepting again after a failure or at the connection limit, to let some connections end.
constexpr milliseconds acceptRetryDelay {50};
// Delay before an account is asked for again, to let the connections close that were asked to.
constexpr milliseconds accountRetryDelay {10};
constexpr milliseconds expiryInterval {1000};

// A thread with its own connections to callers and its own pool of upstream connections.
struct relay_worker {
    // Outlives the context, whose pending sessions remove their requests when they are destroyed.
    active_requests requests;
    asio::io_context context {1};
    asio::executor_work_guard<asio::io_context::executor_type> work {context.get_executor()};
    upstream_connection_pool pool;
    std::thread thread;
};

asio::awaitable<void> runSession(std::shared_ptr<relay_session> session, relay_state &state)
{
    co_await session->run();
    --state.connections;
}

// Also closes kept connections while no upstream can be reached: an upstream may have closed its end meanwhile, which becomes known
// only when a request is sent.
asio::awaitable<void> closeUnusableConnections(upstream_connection_pool &pool, const upstream_reachability &reachability, clock_source &clock)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (true) {
        timer.expires_after(expiryInterval);
        co_await timer.async_wait(noThrow);
        pool.closeExpired(clock.now());
        if (reachability.isIsolated()) {
            pool.closeUpstreams();
        }
    }
}

class threaded_relay final : public relay_server
{
public:
    threaded_relay(const relay_options &options, const relay_parts &parts)
        : m_options(options)
        , m_parts(parts)
    {
        for (std::size_t i = 0; i < std::max<std::size_t>(options.threads, 1); ++i) {
            m_workers.push_back(std::make_unique<relay_worker>());
        }
    }

    ~threaded_relay() override
    {
        threaded_relay::stop();
    }

    threaded_relay(const threaded_relay &) = delete;
    threaded_relay &operator=(const threaded_relay &) = delete;

    bool listen()
    {
        m_callerAcceptor = listenAt(m_options.address);
        if (!m_options.peerAddress.empty()) {
            m_peerAcceptor = listenAt(m_options.peerAddress);
        }
        if (!m_callerAcceptor || (!m_peerAcceptor && !m_options.peerAddress.empty())) {
            return false;
        }
        m_port = m_callerAcceptor->local_endpoint().port();
        m_peerPort = m_peerAcceptor ? m_peerAcceptor->local_endpoint().port() : 0;
        return true;
    }

    void start()
    {
        asio::co_spawn(m_workers.front()->context, acceptLoop(*m_callerAcceptor, session_origin::caller), asio::detached);
        if (m_peerAcceptor) {
            asio::co_spawn(m_workers.front()->context, acceptLoop(*m_peerAcceptor, session_origin::entryHost), asio::detached);
        }
        for (auto &worker : m_workers) {
            asio::co_spawn(worker->context, closeUnusableConnections(worker->pool, m_parts.reachability, m_parts.clock), asio::detached);
            worker->thread = std::thread([&context = worker->context] { context.run(); });
        }
    }

    [[nodiscard]] std::uint16_t port() const override
    {
        return m_port;
    }

    [[nodiscard]] std::uint16_t peerPort() const override
    {
        return m_peerPort;
    }

    [[nodiscard]] std::size_t activeRequests() const override
    {
        return m_state.active;
    }

    void beginDrain(const drain_schedule &schedule) override
    {
        m_drainBeganAt = m_parts.clock.now();
        m_state.drain.set(std::make_shared<const drain_schedule>(schedule));
    }

    void stopAccepting() override
    {
        m_state.refusing = true;
        asio::post(m_workers.front()->context, [this] {
            error_code ignored;
            m_callerAcceptor->close(ignored);
            if (m_peerAcceptor) {
                m_peerAcceptor->close(ignored);
            }
        });
    }

    void stop() override
    {
        for (auto &worker : m_workers) {
            worker->context.stop();
        }
        for (auto &worker : m_workers) {
            if (worker->thread.joinable()) {
                worker->thread.join();
            }
        }
        for (auto &worker : m_workers) {
            for (const auto *each : worker->requests.takeAll()) {
                logAborted(*each);
            }
        }
    }

private:
    // Times are relative to the start of the drain, negative before it. A time that the request does not have is logged as text.
    void logAborted(const request_context &request) const
    {
        if (request.arrivedAt == steady_time {}) {
            return;
        }
        const auto sinceDrain = [this](steady_time at, bool exists = true) -> decltype(log_field::value) {
            if (!exists) {
                return std::string("none");
            }
            return static_cast<std::int64_t>(std::chrono::duration_cast<milliseconds>(at - m_drainBeganAt).count());
        };
        logRateLimited(log_level::warning, "request-aborted",
                       {{"request", request.id},
                        {"service", request.service.string()},
                        {"takenMs", sinceDrain(request.arrivedAt)},
                        {"sentMs", sinceDrain(request.lastSentAt, request.attemptsSent > 0)},
                        {"deadlineMs", sinceDrain(request.deadline, request.matched != nullptr)},
                        {"attempts", static_cast<std::int64_t>(request.attemptsSent)}});
    }

    // Returns null when the address cannot be bound.
    std::unique_ptr<tcp::acceptor> listenAt(std::string_view text)
    {
        const auto [ip, port] = parseEndpoint(text);
        error_code error;
        const auto address = asio::ip::make_address(ip, error);
        if (error) {
            return nullptr;
        }
        auto acceptor = std::make_unique<tcp::acceptor>(m_workers.front()->context);
        const tcp::endpoint endpoint(address, port);
        acceptor->open(endpoint.protocol(), error);
        if (!error) {
            acceptor->set_option(asio::socket_base::reuse_address(true), error);
        }
        if (!error) {
            acceptor->bind(endpoint, error);
        }
        if (!error) {
            acceptor->listen(listenBacklog, error);
        }
        return error ? nullptr : std::move(acceptor);
    }

    asio::awaitable<void> acceptLoop(tcp::acceptor &acceptor, session_origin origin)
    {
        asio::steady_timer retryTimer(co_await asio::this_coro::executor);
        std::size_t nextWorker = 0;
        while (true) {
            auto &worker = *m_workers[nextWorker++ % m_workers.size()];
            auto [failed, socket] = co_await acceptor.async_accept(worker.context, noThrow);
            if (m_state.refusing) {
                co_return;
            }
            if (failed) {
                logRateLimited(log_level::warning, "accept-failed", {errorField(failed)});
                retryTimer.expires_after(acceptRetryDelay);
                co_await retryTimer.async_wait(noThrow);
                continue;
            }
            ++m_state.connections;
            auto session = std::make_shared<relay_session>(std::move(socket), m_parts, m_state, worker.pool, worker.requests, origin);
            while (m_options.intake != nullptr && origin == session_origin::caller && !session->openAccount(*m_options.intake) && !m_state.refusing) {
                retryTimer.expires_after(accountRetryDelay);
                co_await retryTimer.async_wait(noThrow);
            }
            asio::co_spawn(worker.context, runSession(std::move(session), m_state), asio::detached);
            while (m_state.connections >= m_options.maxConnections) {
                retryTimer.expires_after(acceptRetryDelay);
                co_await retryTimer.async_wait(noThrow);
            }
        }
    }

    relay_options m_options;
    relay_parts m_parts;
    relay_state m_state;
    steady_time m_drainBeganAt {};
    std::vector<std::unique_ptr<relay_worker>> m_workers;
    std::unique_ptr<tcp::acceptor> m_callerAcceptor;
    // Null when no other entry hosts are served.
    std::unique_ptr<tcp::acceptor> m_peerAcceptor;
    std::uint16_t m_port = 0;
    std::uint16_t m_peerPort = 0;
};

} // namespace

result<std::unique_ptr<relay_server>> startRelay(const relay_options &options, const relay_parts &parts)
{
    auto relay = std::make_unique<threaded_relay>(options, parts);
    if (!relay->listen()) {
        return errc::ioFailed;
    }
    relay->start();
    return std::unique_ptr<relay_server>(std::move(relay));
}

} // namespace hornbeampick
