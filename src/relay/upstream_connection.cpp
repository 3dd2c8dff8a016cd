#include "upstream_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace hornbeampick
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Returns true when there is nothing to read. On an idle connection, bytes belong to no request, and end of stream means that the
// upstream has closed it.
bool hasNoPendingInput(upstream_connection &connection)
{
    if (connection.buffer.size() > 0) {
        return false;
    }
    boost::system::error_code error;
    auto &socket = connection.stream.socket();
    socket.non_blocking(true, error);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

std::unique_ptr<upstream_connection> upstream_connection_pool::acquire(const std::string &address, const instance_name &instance, std::uint64_t incarnation,
                                                                       std::string_view id, steady_time now)
{
    const auto found = m_idle.find({.address = address, .instance = instance, .incarnation = incarnation});
    if (found == m_idle.end() || id.empty()) {
        return nullptr;
    }
    auto &connections = found->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        const bool wasRefused = std::ranges::find(connection->refusedIds, id) != connection->refusedIds.end();
        if (!wasRefused && now < connection->idleDeadline && hasNoPendingInput(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void upstream_connection_pool::release(const std::string &address, const instance_name &instance, std::uint64_t incarnation,
                                       std::unique_ptr<upstream_connection> connection)
{
    connection->stream.expires_never();
    m_idle[{.address = address, .instance = instance, .incarnation = incarnation}].push_back(std::move(connection));
}

void upstream_connection_pool::closeUpstreams()
{
    std::erase_if(m_idle, [](const auto &item) { return !item.first.instance.empty(); });
}

void upstream_connection_pool::closeExpired(steady_time now)
{
    for (auto it = m_idle.begin(); it != m_idle.end();) {
        std::erase_if(it->second, [&](const auto &connection) { return now >= connection->idleDeadline; });
        it = it->second.empty() ? m_idle.erase(it) : std::next(it);
    }
}

} // namespace hornbeampick
