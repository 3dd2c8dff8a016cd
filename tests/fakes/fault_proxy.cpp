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

// The two sockets of one connection, shared by the threads of its two ways.
struct pair_of_sockets {
    explicit pair_of_sockets(asio::io_context &context)
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
    state(std::string to, const std::string &listen)
        : target(std::move(to))
        , acceptor(context, endpointOf(listen))
    {
    }

    asio::io_context context;
    std::mutex lock;
    std::condition_variable wake;
    std::string target;
    tcp::acceptor acceptor;
    std::list<std::weak_ptr<pair_of_sockets>> pairs;
    std::chrono::milliseconds delay {0};
    bool cutFromClient = false;
    bool cutToClient = false;
    bool frozen = false;
    bool ended = false;
    std::size_t breakAfter = 0;
    int threads = 0;

    // Holds bytes back as the faults ask; false: swallow them.
    bool admit(bool toClient)
    {
        std::unique_lock guard(lock);
        wake.wait(guard, [this] { return !frozen || ended; });
        if (delay.count() > 0) {
            wake.wait_for(guard, delay, [this] { return ended; });
        }
        return toClient ? !cutToClient : !cutFromClient;
    }

    void pump(const std::shared_ptr<pair_of_sockets> &pair, bool toClient)
    {
        auto &from = toClient ? pair->server : pair->client;
        auto &to = toClient ? pair->client : pair->server;
        std::array<char, 16384> buffer {};
        std::size_t passed = 0;
        error_code error;
        while (!error) {
            const auto count = from.read_some(asio::buffer(buffer), error);
            if (error || !admit(toClient)) {
                continue;
            }
            const bool breaks = toClient && breakAfter > 0 && passed + count > breakAfter;
            const auto allowed = breaks ? breakAfter - std::min(passed, breakAfter) : count;
            asio::write(to, asio::buffer(buffer.data(), allowed), error);
            passed += allowed;
            if (breaks) {
                pair->reset();
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
            auto pair = std::make_shared<pair_of_sockets>(context);
            error_code error;
            acceptor.accept(pair->client, error);
            std::string to;
            {
                const std::lock_guard guard(lock);
                if (error || ended) {
                    break;
                }
                to = target;
                pairs.push_back(pair);
            }
            pair->server.connect(endpointOf(to), error);
            if (error) {
                pair->reset();
                continue;
            }
            pair->client.set_option(tcp::no_delay(true), error);
            pair->server.set_option(tcp::no_delay(true), error);
            const std::lock_guard guard(lock);
            threads += 2;
            std::thread([self, pair] { self->pump(pair, true); }).detach();
            std::thread([self, pair] { self->pump(pair, false); }).detach();
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
        m_state->ended = true;
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
    for (const auto &each : m_state->pairs) {
        if (const auto pair = each.lock()) {
            pair->reset();
        }
    }
    m_state->pairs.clear();
}

void fault_proxy::breakAnswersAfter(std::size_t bytes)
{
    const std::lock_guard guard(m_state->lock);
    m_state->breakAfter = bytes;
}

} // namespace hornbeampick::testing
