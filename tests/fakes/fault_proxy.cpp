#include "fault_proxy.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <condition_variable>
#include <list>
#include <mutex>
#include <sys/socket.h>
#include <thread>

namespace hornbeampick::testing
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

tcp::endpoint endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

// Both sockets of a proxied connection, shared by the two threads that forward its directions.
struct proxied_connection {
    explicit proxied_connection(asio::io_context &context)
        : client(context)
        , server(context)
    {
    }
    void reset()
    {
        const linger abort {1, 0};
        ::setsockopt(client.native_handle(), SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        ::shutdown(client.native_handle(), SHUT_RDWR);
        ::shutdown(server.native_handle(), SHUT_RDWR);
    }
    tcp::socket client;
    tcp::socket server;
};

} // namespace

struct fault_proxy::state {
    state(std::string targetAddress, const std::string &listen)
        : target(std::move(targetAddress))
        , acceptor(context, endpointOf(listen))
    {
    }

    asio::io_context context;
    std::mutex lock;
    std::condition_variable wake;
    std::string target;
    tcp::acceptor acceptor;
    std::list<std::weak_ptr<proxied_connection>> connections;
    std::chrono::milliseconds delay {0};
    bool cutFromClient = false;
    bool cutToClient = false;
    bool frozen = false;
    bool stopping = false;
    std::size_t resetAfterBytes = 0;
    int threads = 0;

    // Blocks while the proxy is frozen, then for the configured delay. Returns false if the bytes must be discarded.
    bool applyFaults(bool toClient)
    {
        std::unique_lock guard(lock);
        wake.wait(guard, [this] { return !frozen || stopping; });
        if (delay.count() > 0) {
            wake.wait_for(guard, delay, [this] { return stopping; });
        }
        return toClient ? !cutToClient : !cutFromClient;
    }

    void pump(const std::shared_ptr<proxied_connection> &connection, bool toClient)
    {
        auto &from = toClient ? connection->server : connection->client;
        auto &to = toClient ? connection->client : connection->server;
        std::array<char, 16384> buffer {};
        std::size_t forwarded = 0;
        error_code error;
        while (!error) {
            const auto count = from.read_some(asio::buffer(buffer), error);
            if (error || !applyFaults(toClient)) {
                continue;
            }
            const bool resets = toClient && resetAfterBytes > 0 && forwarded + count > resetAfterBytes;
            const auto allowed = resets ? resetAfterBytes - std::min(forwarded, resetAfterBytes) : count;
            asio::write(to, asio::buffer(buffer.data(), allowed), error);
            forwarded += allowed;
            if (resets) {
                connection->reset();
            }
        }
        ::shutdown(to.native_handle(), SHUT_RDWR);
        ::shutdown(from.native_handle(), SHUT_RDWR);
        const std::lock_guard guard(lock);
        --threads;
        wake.notify_all();
    }

    void accept(const std::shared_ptr<state> &self)
    {
        while (true) {
            auto connection = std::make_shared<proxied_connection>(context);
            error_code error;
            acceptor.accept(connection->client, error);
            std::string targetAddress;
            {
                const std::lock_guard guard(lock);
                if (error || stopping) {
                    break;
                }
                targetAddress = target;
                connections.push_back(connection);
            }
            connection->server.connect(endpointOf(targetAddress), error);
            if (error) {
                connection->reset();
                continue;
            }
            connection->client.set_option(tcp::no_delay(true), error);
            connection->server.set_option(tcp::no_delay(true), error);
            const std::lock_guard guard(lock);
            threads += 2;
            std::thread([self, connection] { self->pump(connection, true); }).detach();
            std::thread([self, connection] { self->pump(connection, false); }).detach();
        }
        const std::lock_guard guard(lock);
        --threads;
        wake.notify_all();
    }
};

fault_proxy::fault_proxy(std::string target, const std::string &listen)
    : m_state(std::make_shared<state>(std::move(target), listen))
{
    m_state->threads = 1;
    std::thread([self = m_state] { self->accept(self); }).detach();
}

fault_proxy::~fault_proxy()
{
    {
        const std::lock_guard guard(m_state->lock);
        m_state->stopping = true;
        ::shutdown(m_state->acceptor.native_handle(), SHUT_RDWR);
    }
    m_state->wake.notify_all();
    resetAll();
    std::unique_lock guard(m_state->lock);
    m_state->wake.wait(guard, [this] { return m_state->threads == 0; });
}

std::string fault_proxy::address() const
{
    const auto at = m_state->acceptor.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
}

void fault_proxy::setTarget(const std::string &target)
{
    const std::lock_guard guard(m_state->lock);
    m_state->target = target;
}

void fault_proxy::delay(std::chrono::milliseconds time)
{
    const std::lock_guard guard(m_state->lock);
    m_state->delay = time;
}

void fault_proxy::cut(bool fromClient, bool toClient)
{
    const std::lock_guard guard(m_state->lock);
    m_state->cutFromClient = fromClient;
    m_state->cutToClient = toClient;
}

void fault_proxy::freeze(bool frozen)
{
    const std::lock_guard guard(m_state->lock);
    m_state->frozen = frozen;
    m_state->wake.notify_all();
}

void fault_proxy::resetAll()
{
    const std::lock_guard guard(m_state->lock);
    for (const auto &each : m_state->connections) {
        if (const auto connection = each.lock()) {
            connection->reset();
        }
    }
    m_state->connections.clear();
}

void fault_proxy::resetAfterAnswerBytes(std::size_t bytes)
{
    const std::lock_guard guard(m_state->lock);
    m_state->resetAfterBytes = bytes;
}

} // namespace hornbeampick::testing
